//! The subcommands of the program; each module defines the arguments of one and runs it.

pub mod admin;
pub mod check_config;
pub mod completions;
pub mod docs;
pub mod explain;
pub mod keygen;
pub mod replay;
pub mod serve;
pub mod trace;

/// Exit code of a command that ran and failed, or whose check did not pass.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a command with invalid arguments or settings.
pub const EXIT_INVALID: u8 = 2;
