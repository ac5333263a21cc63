//! The command `admin`, a client of the operator protocol of entry hosts.

pub mod admin_client;
pub mod admin_error;
pub mod admin_output;
pub mod change_args;
mod claims;
mod configuration;
mod decisions;
mod drains;
mod keys;
mod rollouts;
mod status;
mod usage;

use std::io::Write;
use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::commands::admin::admin_client::AdminClient;
use crate::commands::admin::admin_error::AdminError;
use crate::commands::admin::admin_output::AdminOutput;

/// Name of the command.
pub const NAME: &str = "admin";

/// List of exit codes at the end of the help text.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused: not found, wrong state, invalid for the host, change identifier already used
  2  invalid arguments or files
  3  conflict with another operator's change
  4  not authenticated, or the role does not permit the call
  5  the host or the platform cannot be reached; nothing was changed
  6  outcome unknown; repeat the call with the same --change-id
  7  accepted, but not in force everywhere within --wait-timeout
  8  `diff` found differences";

/// Builds the command's arguments.
pub fn command() -> Command {
    let base = Command::new(NAME)
        .about("Call the operator protocol of an entry host")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES);
    let base = admin_client::connection_args(base);
    base.subcommands(configuration::commands())
        .subcommand(rollouts::rollout_command())
        .subcommand(rollouts::withdraw_command())
        .subcommand(keys::command())
        .subcommand(claims::command())
        .subcommands(drains::commands())
        .subcommand(status::command())
        .subcommand(usage::command())
        .subcommand(decisions::command())
}

/// Runs the command and prints its result.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(execute(matches, &mut std::io::stdout())),
        Err(error) => Err(AdminError::Output(error)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenamast admin: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs the command and writes its result.
///
/// # Errors
///
/// Returns an error if the command failed; its `exit_code` is the exit code of the program.
pub async fn execute(matches: &ArgMatches, writer: &mut dyn Write) -> Result<(), AdminError> {
    let mut output = AdminOutput::new(matches, writer);
    let client = AdminClient::from_matches(matches)?;
    match matches.subcommand() {
        Some((configuration::APPLY, matches)) => {
            configuration::apply(&client, matches, &mut output).await
        }
        Some((configuration::DIFF, matches)) => {
            configuration::diff(&client, matches, &mut output).await
        }
        Some((configuration::REMOVE, matches)) => {
            configuration::remove(&client, matches, &mut output).await
        }
        Some((configuration::SHOW, _)) => configuration::show(&client, &mut output).await,
        Some((rollouts::ROLLOUT, matches)) => rollouts::run(&client, matches, &mut output).await,
        Some((rollouts::WITHDRAW, matches)) => {
            rollouts::withdraw(&client, matches, &mut output).await
        }
        Some((keys::KEY, matches)) => keys::run(&client, matches, &mut output).await,
        Some((claims::CLAIM, matches)) => claims::run(&client, matches, &mut output).await,
        Some((drains::HOST, matches)) => drains::run_host(&client, matches, &mut output).await,
        Some((drains::SERVER, matches)) => drains::run_server(&client, matches, &mut output).await,
        Some((usage::USAGE, matches)) => usage::run(&client, matches, &mut output).await,
        Some((status::STATUS, matches)) => status::run(&client, matches, &mut output).await,
        Some((decisions::DECISIONS, matches)) => {
            decisions::run(&client, matches, &mut output).await
        }
        _ => Err(AdminError::Arguments("no subcommand was given".into())),
    }
}
