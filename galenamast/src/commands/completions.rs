//! The command `completions`, which prints a completion script for a shell.

use std::io::Write;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

use crate::commands::{EXIT_FAILED, EXIT_INVALID};

/// Name of the command.
pub const NAME: &str = "completions";

/// Builds the command's arguments.
pub fn command() -> Command {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .help("Shell to generate the script for")
        .required(true)
        .value_parser(value_parser!(Shell));
    Command::new(NAME)
        .about("Print a completion script for a shell")
        .arg(shell)
}

/// Prints the completion script for the program's command line.
pub fn run(matches: &ArgMatches, program: Command) -> ExitCode {
    let Some(shell) = matches.get_one::<Shell>("shell") else {
        return ExitCode::from(EXIT_INVALID);
    };
    let script = completion_script(program, *shell);
    match std::io::stdout().write_all(&script) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(EXIT_FAILED),
    }
}

/// Returns the completion script of a command line, for the program name `galenamast`.
///
/// ```
/// use clap_complete::Shell;
/// use galenamast::cli::build_command;
/// use galenamast::commands::completions::completion_script;
///
/// let script = completion_script(build_command(), Shell::Bash);
/// assert!(String::from_utf8(script).unwrap().contains("galenamast"));
/// ```
pub fn completion_script(mut program: Command, shell: Shell) -> Vec<u8> {
    let mut script = Vec::new();
    generate(shell, &mut program, "galenamast", &mut script);
    script
}
