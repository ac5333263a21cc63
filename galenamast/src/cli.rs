//! The command line of the program and its dispatch to the subcommands.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::commands::{
    EXIT_INVALID, admin, check_config, completions, docs, explain, keygen, replay, serve, trace,
};

/// Builds the parser of the command line with the subcommands of this crate.
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
        .subcommand(serve::command())
        .subcommand(check_config::command())
        .subcommand(keygen::command())
        .subcommand(admin::command())
        .subcommand(completions::command())
        .subcommand(docs::command())
        .subcommand(explain::command())
        .subcommand(replay::command())
        .subcommand(trace::command())
}

/// Runs the selected subcommand and returns the exit code of the program.
pub fn run_matches(matches: &ArgMatches) -> ExitCode {
    match matches.subcommand() {
        Some((serve::NAME, matches)) => serve::run(matches),
        Some((keygen::NAME, matches)) => keygen::run(matches),
        Some((check_config::NAME, matches)) => check_config::run(matches),
        Some((admin::NAME, matches)) => admin::run(matches),
        Some((completions::NAME, matches)) => completions::run(matches, build_command()),
        Some((docs::NAME, matches)) => docs::run(matches),
        Some((explain::NAME, matches)) => explain::run(matches),
        Some((replay::NAME, matches)) => replay::run(matches),
        Some((trace::NAME, matches)) => trace::run(matches),
        _ => ExitCode::from(EXIT_INVALID),
    }
}
