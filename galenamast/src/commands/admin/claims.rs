//! Command that resolves claims of requests whose outcome is unknown.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::commands::admin::admin_client::{AdminClient, read_file};
use crate::commands::admin::admin_error::AdminError;
use crate::commands::admin::admin_output::AdminOutput;
use crate::generated::operator as wire;
use crate::generated::operator::claim_service_client::ClaimServiceClient;

/// Name of the command.
pub(super) const CLAIM: &str = "claim";

/// Builds the command.
pub(super) fn command() -> Command {
    let argument = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).value_name(value).help(help).required(true)
    };
    let base = |outcome: &'static str, about: &'static str| {
        Command::new(outcome)
            .about(about)
            .arg(argument(
                "workspace",
                "WORKSPACE",
                "Workspace of the request",
            ))
            .arg(argument("key", "KEY", "Idempotency key of the request"))
            .arg(argument("reason", "TEXT", "How the outcome was determined").long("reason"))
    };
    let status = argument("status", "STATUS", "HTTP status that a resend receives")
        .long("status")
        .value_parser(value_parser!(u32));
    let content_type = Arg::new("content-type")
        .long("content-type")
        .value_name("TYPE")
        .help("Media type of the body")
        .default_value("application/json");
    let body = Arg::new("body")
        .long("body")
        .value_name("FILE")
        .help("File with the body that a resend receives")
        .value_parser(value_parser!(PathBuf));
    let ran = base(
        "ran",
        "The request was run; a resend receives the given answer",
    );
    Command::new(CLAIM)
        .about("Resolve the claim of a non-idempotent request whose outcome is unknown")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(base("not-run", "The request was not run; a resend runs it"))
        .subcommand(ran.arg(status).arg(content_type).arg(body))
}

/// Resolves a claim.
pub(super) async fn run(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let Some((outcome, matches)) = matches.subcommand() else {
        return Err(AdminError::Arguments("no subcommand was given".into()));
    };
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let answer = match outcome {
        "ran" => Some(wire::ClaimAnswer {
            status: matches.get_one::<u32>("status").copied().unwrap_or(0),
            content_type: text("content-type"),
            body: match matches.get_one::<PathBuf>("body") {
                Some(path) => read_file(path)?,
                None => Vec::new(),
            },
        }),
        _ => None,
    };
    let mut calls = ClaimServiceClient::new(client.channel.clone());
    let request = client.request(wire::ResolveClaimRequest {
        workspace: text("workspace"),
        idempotency_key: text("key"),
        reason: text("reason"),
        answer,
    });
    let response = client.call(calls.resolve_claim(request)).await?;
    output.show(&response)?;
    Ok(())
}
