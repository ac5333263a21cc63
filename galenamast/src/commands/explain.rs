//! The command `explain`, which shows the logged routing decisions of one request.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::commands::{EXIT_FAILED, EXIT_INVALID};
use crate::protocol::explain_log;

/// Name of the command.
pub const NAME: &str = "explain";

/// Builds the command's arguments.
pub fn command() -> Command {
    let log = Arg::new("log")
        .value_name("LOG")
        .help("Log file of an entry host")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let request = Arg::new("request")
        .long("request")
        .value_name("ID")
        .help("Identifier of the request")
        .required(true);
    Command::new(NAME)
        .about("Explain where a request went and why")
        .args([log, request])
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let path = matches.get_one::<PathBuf>("log");
    let (Some(path), Some(request)) = (path, matches.get_one::<String>("request")) else {
        return ExitCode::from(EXIT_INVALID);
    };
    let lines = File::open(path).and_then(|file| BufReader::new(file).lines().collect());
    let lines: Vec<String> = match lines {
        Ok(lines) => lines,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(EXIT_INVALID);
        }
    };
    let explanation = explain_log(lines.iter().map(String::as_str), request);
    for (line, reason) in &explanation.malformed {
        eprintln!("{}:{line}: not a log line: {reason}", path.display());
    }
    if explanation.text.is_empty() {
        eprintln!("{}: no decision for request `{request}`", path.display());
        for near in &explanation.similar_ids {
            eprintln!("did you mean `{near}`?");
        }
        return ExitCode::from(EXIT_FAILED);
    }
    print!("{}", explanation.text);
    ExitCode::SUCCESS
}
