//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Exit code of a command whose claim did not hold.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a command with invalid arguments or settings.
pub const EXIT_INVALID: u8 = 2;

/// Builds the command line.
///
/// ```
/// use galenamast::cli::build_command;
///
/// let matches = build_command().try_get_matches_from(["galenamast", "check-config", "host.ini"]);
/// assert!(matches.is_ok());
/// ```
pub fn build_command() -> Command {
    Command::new("galenamast")
        .about("A model-aware router for versions and cascades")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve_command())
        .subcommand(check_command())
}

/// Builds the command `serve`.
fn serve_command() -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .help("Settings file of the entry host")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let check = Arg::new("check")
        .long("check")
        .help("Check the settings and exit")
        .action(ArgAction::SetTrue);
    Command::new("serve")
        .about("Run an entry host")
        .arg(config)
        .arg(check)
}

/// Builds the command `check-config`.
fn check_command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .help("Settings file to check")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    Command::new("check-config")
        .about("Check a settings file")
        .arg(file)
}

/// Returns a path argument that the command requires.
pub fn required_path<'a>(matches: &'a ArgMatches, name: &str) -> &'a PathBuf {
    matches
        .get_one::<PathBuf>(name)
        .expect("clap enforces required arguments")
}
