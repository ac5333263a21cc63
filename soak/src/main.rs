//! Plays seeded faults on real processes and checks what callers and servers see.

mod address_map;
mod attempt_end;
mod budget_rule;
mod caller_connection;
mod caller_traffic;
mod config_plan;
mod crowd_callers;
mod endless_pacing;
mod failure_pacing;
mod fault_driver;
mod fault_event;
mod fault_profile;
mod host_balancer;
mod host_link;
mod host_links;
mod host_process;
mod late_servers;
mod link_direction;
mod link_driver;
mod link_fault;
mod link_proxy;
mod link_state;
mod lost_rule;
mod operator_driver;
mod platform_config;
mod recover_rule;
mod request_class;
mod request_form;
mod request_plan;
mod request_rules;
mod request_trace;
mod rule_break;
mod run_pacing;
mod run_rules;
mod server_pool;
mod side_store;
mod soak_options;
mod soak_record;
mod soak_report;
mod soak_run;
mod soak_state;

use std::io::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::fault_profile::FaultProfile;
use crate::soak_options::SoakOptions;

/// Exit code of a run in which a rule was broken.
const EXIT_BROKEN: u8 = 1;
/// Exit code of a run that could not be played.
const EXIT_FAILED: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let options = read_options(&command().get_matches());
    let interrupt = CancellationToken::new();
    if let Err(error) = cancel_on_signals(&interrupt) {
        eprintln!("galenamast-soak: {error}");
        return ExitCode::from(EXIT_FAILED);
    }
    let played = soak_run::play(&options, &interrupt).await;
    let report = match played {
        Ok(report) => report,
        Err(error) => {
            eprintln!("galenamast-soak: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    print!("{}{}", report.details, report.summary);
    let text = format!("{}\n{}", report.summary, report.details);
    if let Err(error) = std::fs::write(&options.report, text) {
        eprintln!("galenamast-soak: {}: {error}", options.report.display());
        return ExitCode::from(EXIT_FAILED);
    }
    println!("report: {}", options.report.display());
    if report.breaks.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_BROKEN)
    }
}

/// Cancels the token when SIGINT or SIGTERM arrives, from now on.
fn cancel_on_signals(interrupt: &CancellationToken) -> Result<(), Error> {
    for kind in [SignalKind::interrupt(), SignalKind::terminate()] {
        let (mut arrivals, interrupt) = (signal(kind)?, interrupt.clone());
        tokio::spawn(async move {
            arrivals.recv().await;
            interrupt.cancel();
        });
    }
    Ok(())
}

/// Builds the command's arguments.
fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    let path = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    Command::new("galenamast-soak")
        .about("Plays seeded faults on real processes and checks what callers and servers see")
        .arg(number("seed", "1", "Seed of all that is drawn"))
        .arg(number("seconds", "60", "Seconds of faults"))
        .arg(number("hosts", "9", "Number of hosts"))
        .arg(
            Arg::new("profile")
                .long("profile")
                .default_value("mixed")
                .value_parser(PossibleValuesParser::new(FaultProfile::NAMES))
                .help("Set of faults"),
        )
        .arg(path(
            "report",
            "File of the report; logs are kept beside it",
        ))
        .arg(path("program", "Program of the hosts").default_value("target/release/galenamast"))
}

/// Reads the options from the command line.
fn read_options(matches: &ArgMatches) -> SoakOptions {
    let number = |name| *matches.get_one::<u64>(name).expect("it has a default");
    let seed = number("seed");
    let profile: &String = matches.get_one("profile").expect("it has a default");
    let report = matches.get_one::<PathBuf>("report").cloned();
    let program: &PathBuf = matches.get_one("program").expect("it has a default");
    SoakOptions {
        seed,
        seconds: number("seconds"),
        hosts: number("hosts").max(1) as usize,
        profile: profile.clone(),
        report: report
            .unwrap_or_else(|| PathBuf::from(format!("target/soak/{profile}-{seed}.txt"))),
        program: program.clone(),
    }
}
