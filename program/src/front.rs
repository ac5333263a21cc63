//! The command `front`, which runs an entry host on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use galenamast::commands::{EXIT_FAILED, EXIT_INVALID};
use galenamast_gateway::transport::{GatewaySettings, RecordLog, run_gateway};
use galenamast_platform::{PLATFORM, SETTINGS_VARIABLE, read_settings};

/// Name of the command.
pub(crate) const NAME: &str = "front";
/// Longest time that the process waits at its end for its log lines to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Builds the command's arguments.
pub(crate) fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("Settings file; by default the one named by GALENAMAST_SETTINGS")
        .value_parser(value_parser!(PathBuf));
    let check = Arg::new("check")
        .long("check")
        .help("Check the settings and exit")
        .action(ArgAction::SetTrue);
    Command::new(NAME)
        .about("Run an entry host on the users' platform")
        .arg(settings)
        .arg(check)
}

/// Runs the command.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let path = matches.get_one::<PathBuf>("settings").cloned();
    let Some(path) = path.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)) else {
        eprintln!("galenamast: no settings file; give --settings or set {SETTINGS_VARIABLE}");
        return ExitCode::from(EXIT_INVALID);
    };
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("galenamast: {}: {error}", path.display());
            return ExitCode::from(EXIT_INVALID);
        }
    };
    if matches.get_flag("check") {
        println!("{}: valid", path.display());
        return ExitCode::SUCCESS;
    }
    match serve(settings, &path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenamast: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Starts logging and the runtime, and runs the entry host until it is stopped.
fn serve(
    settings: GatewaySettings,
    path: &std::path::Path,
) -> Result<(), Box<dyn std::error::Error>> {
    RecordLog::start(std::io::stdout())?;
    // The process gets a fraction of one core, so more threads would only add wake-ups.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run_gateway(settings, PLATFORM, || read_settings(path).ok()))?;
    // Remaining tasks, such as those of idle connections, end with the process.
    runtime.shutdown_background();
    RecordLog::flush(LOG_FLUSH_TIMEOUT);
    Ok(())
}
