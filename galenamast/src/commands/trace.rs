//! The command `trace`, which generates synthetic traces.

use std::fs::File;
use std::io::{self, BufWriter};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::commands::{EXIT_FAILED, EXIT_INVALID};
use crate::replay::{
    FaultName, SynthSettings, TraceError, WorkloadName, synthesize_trace, write_trace,
};

/// Name of the command.
pub const NAME: &str = "trace";

/// Builds the command's arguments.
pub fn command() -> Command {
    let synth = Command::new("synth")
        .about("Generate a synthetic trace")
        .arg(
            Arg::new("workload")
                .long("workload")
                .value_name("NAME")
                .help("Workload: nieve-alta or saurashtra")
                .required(true)
                .value_parser(|text: &str| text.parse::<WorkloadName>()),
        )
        .arg(integer_arg("seed", "Seed of the random numbers", "1"))
        .arg(integer_arg(
            "minutes",
            "Length of the trace, in minutes",
            "60",
        ))
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("NUMBER")
                .help("Mean number of requests per second")
                .default_value("6")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("NAME")
                .help("Fault to include; may be repeated")
                .action(ArgAction::Append)
                .value_parser(|text: &str| text.parse::<FaultName>()),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .help("File to write; standard output by default")
                .value_parser(value_parser!(PathBuf)),
        );
    Command::new(NAME)
        .about("Work with traces")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(synth)
}

/// Builds an argument that takes an unsigned integer.
fn integer_arg(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let Some(("synth", matches)) = matches.subcommand() else {
        return ExitCode::from(EXIT_INVALID);
    };
    let Some(workload) = matches.get_one::<WorkloadName>("workload") else {
        return ExitCode::from(EXIT_INVALID);
    };
    let defaults = SynthSettings::default();
    let minutes = matches.get_one::<u64>("minutes").copied().unwrap_or(60);
    let faults = matches.get_many::<FaultName>("fault").into_iter().flatten();
    let settings = SynthSettings {
        workload: *workload,
        seed: matches.get_one("seed").copied().unwrap_or(defaults.seed),
        faults: faults.copied().collect(),
        duration: Duration::from_secs(minutes * 60),
        rate: matches.get_one("rate").copied().unwrap_or(defaults.rate),
    };
    if minutes == 0 || !settings.rate.is_finite() || settings.rate <= 0.0 {
        eprintln!("galenamast: --minutes and --rate must be above 0");
        return ExitCode::from(EXIT_INVALID);
    }
    match generate_trace(&settings, matches.get_one("out")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenamast: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Generates a trace and writes it to a file, or to standard output without a path.
fn generate_trace(settings: &SynthSettings, path: Option<&PathBuf>) -> Result<(), TraceError> {
    let trace = synthesize_trace(settings);
    match path {
        Some(path) => write_trace(&trace, BufWriter::new(File::create(path)?)),
        None => write_trace(&trace, io::stdout().lock()),
    }
}
