//! The `galenamast` program: the command line of the library and the command `front`.

mod front;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = galenamast::cli::build_command().subcommand(front::command());
    let matches = command.get_matches();
    match matches.subcommand() {
        Some((front::NAME, matches)) => front::run(matches),
        _ => galenamast::cli::run_matches(&matches),
    }
}
