//! The `galenamast` program: parses the command line, loads settings and runs a command.

use std::path::Path;
use std::process::ExitCode;

use galenamast::cli::{self, EXIT_FAILED, EXIT_INVALID};
use galenamast::config::{Settings, load_settings};
use galenamast::event_loop;
use galenamast::logging::start_logging;

fn main() -> ExitCode {
    let matches = cli::build_command().get_matches();
    match matches.subcommand() {
        Some(("serve", matches)) => serve(
            cli::required_path(matches, "config"),
            matches.get_flag("check"),
        ),
        Some(("check-config", matches)) => check(cli::required_path(matches, "file")),
        _ => ExitCode::from(EXIT_INVALID),
    }
}

/// Loads settings, or prints what is wrong with them.
fn load(path: &Path) -> Result<Settings, ExitCode> {
    load_settings(path).map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_INVALID)
    })
}

/// Checks a settings file.
fn check(path: &Path) -> ExitCode {
    match load(path) {
        Ok(_) => {
            println!("{}: ok", path.display());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

/// Runs an entry host.
fn serve(path: &Path, check_only: bool) -> ExitCode {
    if check_only {
        return check(path);
    }
    let settings = match load(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenamast: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Sets up logging and the runtime, and runs the entry host until it is stopped.
fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    start_logging(&settings.logging)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(event_loop::run(settings))?;
    Ok(())
}
