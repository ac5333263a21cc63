//! The command `check-config`, which validates a settings file and the files that it refers to.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::commands::EXIT_INVALID;
use crate::config::{Settings, check_files};

/// Name of the command.
pub const NAME: &str = "check-config";

/// Builds the command's arguments.
pub fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .help("Settings file to check")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    Command::new(NAME).about("Check a settings file").arg(file)
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> ExitCode {
    match matches.get_one::<PathBuf>("file") {
        Some(path) => check(path),
        None => ExitCode::from(EXIT_INVALID),
    }
}

/// Checks a settings file and prints that it is valid, or all its problems.
pub(crate) fn check(path: &Path) -> ExitCode {
    match load(path) {
        Ok(_) => {
            println!("{}: ok", path.display());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

/// Loads and checks settings; on failure prints all problems and returns the exit code.
pub(crate) fn load(path: &Path) -> Result<Settings, ExitCode> {
    check_files(path).map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_INVALID)
    })
}
