//! Arguments shared by all commands that change the configuration, and `--wait`.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tokio::time::Instant;

use crate::commands::admin::admin_client::AdminClient;
use crate::commands::admin::admin_error::AdminError;
use crate::generated::operator as wire;
use crate::generated::operator::status_service_client::StatusServiceClient;

/// Time between two polls of whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Adds the arguments of a change to a command.
pub fn change_args(command: Command) -> Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .action(ArgAction::SetTrue)
    };
    let based_on = text(
        "based-on",
        "GENERATION",
        "Configuration generation that the change is based on",
    )
    .value_parser(value_parser!(u64));
    let timeout = text("wait-timeout", "DURATION", "Maximum time that --wait takes")
        .default_value("30s")
        .value_parser(parse_duration);
    command
        .arg(text("reason", "TEXT", "Why the change is made").required(true))
        .arg(text(
            "change-id",
            "ID",
            "Identifier of the change; generated if left out",
        ))
        .arg(text(
            "author",
            "NAME",
            "Person on whose behalf the change is made",
        ))
        .arg(based_on)
        .arg(flag(
            "dry-run",
            "Check and report the change without making it",
        ))
        .arg(flag(
            "wait",
            "Wait until the change is in force and show the progress",
        ))
        .arg(timeout)
}

/// Parses a duration such as `30s`.
pub(super) fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|error| error.to_string())
}

/// Returns the metadata of a change from the arguments; generates and prints a missing identifier.
pub fn change_from_args(matches: &ArgMatches) -> wire::Change {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let mut change_id = text("change-id");
    if change_id.is_empty() {
        change_id = uuid::Uuid::now_v7().to_string();
        eprintln!("change identifier: {change_id}");
    }
    wire::Change {
        change_id,
        based_on_generation: matches.get_one::<u64>("based-on").copied(),
        author: text("author"),
        reason: text("reason"),
        dry_run: matches.get_flag("dry-run"),
    }
}

/// Waits until a change is in force everywhere if `--wait` was given.
///
/// # Errors
///
/// Returns an error if the change is not in force in time or a call to the host fails.
pub async fn wait_in_force(
    client: &AdminClient,
    matches: &ArgMatches,
    receipt: &wire::ChangeReceipt,
) -> Result<(), AdminError> {
    if !matches.get_flag("wait") || receipt.dry_run {
        return Ok(());
    }
    let timeout = matches.get_one::<Duration>("wait-timeout").copied();
    let deadline = Instant::now() + timeout.unwrap_or_default();
    loop {
        let mut calls = StatusServiceClient::new(client.channel.clone());
        let request = client.request(wire::GetStatusRequest {
            generation: Some(receipt.generation),
        });
        let status = client.call(calls.get_status(request)).await?;
        let propagation = status.propagation.unwrap_or_default();
        let missing = missing_domains(&propagation);
        eprintln!(
            "generation {}: reports from {} domains; missing: {}",
            receipt.generation,
            propagation.domains.len(),
            match missing.join(", ") {
                missing if missing.is_empty() => "none".into(),
                missing => missing,
            },
        );
        if propagation.everywhere {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(AdminError::NotInForce {
                generation: receipt.generation,
                missing: missing.join(", "),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Lists the failure domains that the change has not reached yet, with the hosts that are behind.
fn missing_domains(propagation: &wire::Propagation) -> Vec<String> {
    let is_behind = |domain: &&wire::DomainPropagation| {
        domain.lowest_generation < propagation.generation || domain.live_hosts == 0
    };
    let domains = propagation.domains.iter().filter(is_behind);
    let mut missing: Vec<String> = domains
        .map(|domain| match domain.hosts_behind.join(" ") {
            hosts if hosts.is_empty() => format!("domain {}", domain.domain),
            hosts => format!("domain {} ({hosts})", domain.domain),
        })
        .collect();
    let not_reached = propagation.domains_not_reached.iter();
    missing.extend(not_reached.map(|domain| format!("domain {domain}")));
    missing
}
