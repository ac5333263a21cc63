//! Commands that start and control roll-outs and withdraw versions.

use clap::{Arg, ArgMatches, Command};

use crate::commands::admin::admin_client::AdminClient;
use crate::commands::admin::admin_error::AdminError;
use crate::commands::admin::admin_output::AdminOutput;
use crate::commands::admin::change_args::{change_args, change_from_args, wait_in_force};
use crate::config::ObjectField;
use crate::config::rollout_fields::FIELDS;
use crate::generated::operator as wire;
use crate::generated::operator::rollout_service_client::RolloutServiceClient;
use crate::protocol::operator_rollout::rollout_to_wire;
use crate::state::RolloutSpec;

/// Name of the command on roll-outs.
pub(super) const ROLLOUT: &str = "rollout";
/// Name of the command that withdraws a version.
pub(super) const WITHDRAW: &str = "withdraw";
/// Keys of a roll-out that must be given.
const REQUIRED_KEYS: [&str; 3] = ["model", "candidate", "baseline"];

/// Builds the command on roll-outs.
pub(super) fn rollout_command() -> Command {
    let name = Arg::new("name")
        .value_name("ROLLOUT")
        .help("Name of the roll-out")
        .required(true);
    let step = |step: &'static str, about: &'static str| {
        change_args(Command::new(step).about(about).arg(name.clone()))
    };
    let mut start = Command::new("start")
        .about("Start a roll-out of a version")
        .arg(name.clone());
    for field in FIELDS {
        start = start.arg(field_arg(field));
    }
    Command::new(ROLLOUT)
        .about("Start or control a roll-out")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(change_args(start))
        .subcommand(step(
            "advance",
            "Take the next step, or complete the roll-out",
        ))
        .subcommand(step("pause", "Pause the roll-out at its current share"))
        .subcommand(step("resume", "Continue after a pause or a brake"))
        .subcommand(step("abort", "End the roll-out and withdraw the candidate"))
}

/// Builds the argument for a key of a roll-out.
fn field_arg(field: &ObjectField<RolloutSpec>) -> Arg {
    let long = field.name.replace('_', "-");
    Arg::new(field.name)
        .long(long)
        .value_name("VALUE")
        .help(format!("{} {}", field.description, field.range))
        .required(REQUIRED_KEYS.contains(&field.name))
}

/// Builds the command that withdraws a version.
pub(super) fn withdraw_command() -> Command {
    let version = Arg::new("version")
        .value_name("MODEL@VERSION")
        .help("Version to withdraw")
        .required(true);
    let command = Command::new(WITHDRAW).about("Withdraw a version, so that it takes no new work");
    change_args(command.arg(version))
}

/// Starts or controls a roll-out.
pub(super) async fn run(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let Some((step, matches)) = matches.subcommand() else {
        return Err(AdminError::Arguments("no subcommand was given".into()));
    };
    let name = matches.get_one::<String>("name").cloned();
    let name = name.unwrap_or_default();
    let mut calls = RolloutServiceClient::new(client.channel.clone());
    let receipt = match parse_action(step) {
        None => {
            let rollout = rollout_from_args(&name, matches)?;
            let request = client.request(wire::StartRolloutRequest {
                change: Some(change_from_args(matches)),
                rollout: Some(rollout_to_wire(&rollout)),
            });
            client.call(calls.start_rollout(request)).await?
        }
        Some(action) => {
            let request = client.request(wire::SteerRolloutRequest {
                change: Some(change_from_args(matches)),
                rollout: name,
                action: action.into(),
            });
            client.call(calls.steer_rollout(request)).await?
        }
    };
    output.show(&receipt)?;
    wait_in_force(client, matches, &receipt).await
}

/// Returns the action of a subcommand on a running roll-out; `None` for `start`.
fn parse_action(step: &str) -> Option<wire::RolloutAction> {
    match step {
        "advance" => Some(wire::RolloutAction::Advance),
        "pause" => Some(wire::RolloutAction::Pause),
        "resume" => Some(wire::RolloutAction::Resume),
        "abort" => Some(wire::RolloutAction::Abort),
        _ => None,
    }
}

/// Builds a roll-out from the arguments.
fn rollout_from_args(name: &str, matches: &ArgMatches) -> Result<RolloutSpec, AdminError> {
    let mut spec = RolloutSpec {
        name: name.into(),
        ..Default::default()
    };
    for field in FIELDS {
        let Some(value) = matches.get_one::<String>(field.name) else {
            continue;
        };
        if !(field.apply)(&mut spec, "", value) {
            let long = field.name.replace('_', "-");
            let text = format!("--{long} {value}: must be {}", field.range);
            return Err(AdminError::Arguments(text));
        }
    }
    Ok(spec)
}

/// Withdraws a version.
pub(super) async fn withdraw(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let text = matches.get_one::<String>("version").cloned();
    let text = text.unwrap_or_default();
    let Some((model, version)) = text.split_once('@') else {
        let text = format!("{text}: must be MODEL@VERSION");
        return Err(AdminError::Arguments(text));
    };
    let mut calls = RolloutServiceClient::new(client.channel.clone());
    let request = client.request(wire::WithdrawVersionRequest {
        change: Some(change_from_args(matches)),
        version: Some(wire::VersionName {
            model: model.into(),
            version: version.into(),
        }),
    });
    let response = client.call(calls.withdraw_version(request)).await?;
    output.show(&response)?;
    let receipt = response.receipt.unwrap_or_default();
    wait_in_force(client, matches, &receipt).await
}
