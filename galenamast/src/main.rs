//! The `galenamast` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    galenamast::cli::run_command()
}
