//! The command `serve`, which runs an entry host.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::commands::check_config::{check, load};
use crate::commands::{EXIT_FAILED, EXIT_INVALID};
use crate::config::Settings;
use crate::event_loop;
use crate::logging::start_logging;

/// Name of the command.
pub const NAME: &str = "serve";

/// Builds the command's arguments.
pub fn command() -> Command {
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
    Command::new(NAME)
        .about("Run an entry host")
        .arg(config)
        .arg(check)
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let Some(path) = matches.get_one::<PathBuf>("config") else {
        return ExitCode::from(EXIT_INVALID);
    };
    if matches.get_flag("check") {
        return check(path);
    }
    serve(path)
}

/// Loads the settings, runs an entry host and returns the exit code.
fn serve(path: &Path) -> ExitCode {
    let settings = match load(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run_host(settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenamast: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Starts logging and the runtime, and runs the entry host until it is stopped.
fn run_host(settings: Settings, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    start_logging(&settings.logging)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let path = path.to_owned();
    runtime.block_on(event_loop::run(settings, move || load(&path).ok()))?;
    Ok(())
}
