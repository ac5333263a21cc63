//! The command `replay`, which replays a trace and checks its expected outcomes.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::commands::{EXIT_FAILED, EXIT_INVALID};
use crate::replay::baseline_policy::POLICY_NAMES;
use crate::replay::{
    PolicyName, ReplayReport, Trace, TraceError, check_outcomes, plot_reports, read_trace,
    replay_trace,
};

/// Name of the command.
pub const NAME: &str = "replay";

/// Builds the command's arguments.
pub fn command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .help("Trace to replay")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let policy = Arg::new("policy")
        .long("policy")
        .value_name("NAME")
        .help("Only policy to replay; all policies by default")
        .value_parser(|text: &str| text.parse::<PolicyName>());
    let format = Arg::new("format")
        .long("format")
        .value_name("FORMAT")
        .help("Format of the report")
        .default_value("table")
        .value_parser(["table", "json"]);
    let plot = Arg::new("plot")
        .long("plot")
        .value_name("FILE")
        .help("SVG file to plot the reports to")
        .value_parser(value_parser!(PathBuf));
    Command::new(NAME)
        .about("Replay a trace, check its expected outcomes and compare baseline policies")
        .args([file, policy, format, plot])
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let Some(path) = matches.get_one::<PathBuf>("file") else {
        return ExitCode::from(EXIT_INVALID);
    };
    let trace = match load(path) {
        Ok(trace) => trace,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(EXIT_INVALID);
        }
    };
    let selected = matches.get_one::<PolicyName>("policy").copied();
    let policies = POLICY_NAMES.iter().map(|(_, policy)| *policy);
    let reports: Vec<ReplayReport> = policies
        .filter(|policy| selected.is_none_or(|selected| selected == *policy))
        .map(|policy| replay_trace(&trace, policy))
        .collect();
    match matches.get_one::<String>("format").map(String::as_str) {
        Some("json") => print_json(&reports),
        _ => print_table(&reports),
    }
    if let Some(plot) = matches.get_one::<PathBuf>("plot") {
        let workspaces = trace.header.image.workspaces.values();
        let target = workspaces
            .map(|spec| spec.quality_target)
            .fold(0.0, f64::max);
        if let Err(error) = plot_reports(&reports, target, trace.header.duration_ms, plot) {
            eprintln!("{}: {error}", plot.display());
            return ExitCode::from(EXIT_FAILED);
        }
    }
    // Outcomes are checked for the selected policy, or else for the first, which entry hosts use.
    let Some(checked) = reports.first() else {
        return ExitCode::from(EXIT_FAILED);
    };
    let missed = check_outcomes(&trace, checked);
    for outcome in &missed {
        eprintln!("{}: outcome missed: {outcome}", checked.policy);
    }
    if missed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    }
}

/// Reads a trace from a file.
fn load(path: &PathBuf) -> Result<Trace, TraceError> {
    read_trace(BufReader::new(File::open(path)?))
}

/// Prints reports as JSON.
fn print_json(reports: &[ReplayReport]) {
    match serde_json::to_string_pretty(reports) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("galenamast: {error}"),
    }
}

/// Prints reports as a table.
fn print_table(reports: &[ReplayReport]) {
    println!(
        "{:<16} {:>8} {:>7} {:>7} {:>8} {:>6} {:>7} {:>7} {:>7} {:>8} {:>6}",
        "policy",
        "answered",
        "refused",
        "quality",
        "worst",
        "cost",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "exposure",
        "brakes"
    );
    for report in reports {
        println!(
            "{:<16} {:>8} {:>7} {:>7.4} {:>+8.4} {:>6.3} {:>7} {:>7} {:>7} {:>8} {:>6}",
            report.policy,
            report.answered,
            report.refused,
            report.quality,
            report.worst_margin,
            report.cost_ratio,
            report.p50_ms,
            report.p95_ms,
            report.p99_ms,
            report.exposure,
            report.brakes.len()
        );
    }
}
