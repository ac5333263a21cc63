//! Commands on the bearer keys of callers and the keys of session tokens.

use clap::{Arg, ArgMatches, Command};

use crate::commands::admin::admin_client::AdminClient;
use crate::commands::admin::admin_error::AdminError;
use crate::commands::admin::admin_output::AdminOutput;
use crate::commands::admin::change_args::{change_args, change_from_args, wait_in_force};
use crate::generated::operator as wire;
use crate::generated::operator::key_service_client::KeyServiceClient;

/// Name of the command on keys.
pub(super) const KEY: &str = "key";

/// Builds the command.
pub(super) fn command() -> Command {
    let workspace = Arg::new("workspace")
        .value_name("WORKSPACE")
        .help("Workspace of the key")
        .required(true);
    let digest = Arg::new("digest")
        .value_name("DIGEST")
        .help("SHA-256 digest of the key, as hexadecimal text")
        .required(true);
    let create = Command::new("create").about("Create a key and show it; it cannot be shown again");
    let rotate =
        Command::new("rotate").about("Create a key and revoke all earlier ones but the newest");
    let sessions = Command::new("rotate-sessions")
        .about("Create a new key of session tokens; the previous one stays valid");
    let revoke = Command::new("revoke").about("Revoke a key by its digest");
    Command::new(KEY)
        .about("Create, rotate or revoke bearer keys of callers")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(change_args(create.arg(workspace.clone())))
        .subcommand(change_args(rotate.arg(workspace.clone())))
        .subcommand(change_args(revoke.arg(workspace).arg(digest)))
        .subcommand(change_args(sessions))
}

/// Creates, rotates or revokes a bearer key, or rotates the keys of session tokens.
pub(super) async fn run(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let Some((action, matches)) = matches.subcommand() else {
        return Err(AdminError::Arguments("no subcommand was given".into()));
    };
    let text = |name: &str| {
        let value = matches.try_get_one::<String>(name).ok().flatten();
        value.cloned().unwrap_or_default()
    };
    let change = Some(change_from_args(matches));
    let workspace = text("workspace");
    let mut calls = KeyServiceClient::new(client.channel.clone());
    let receipt = match action {
        "revoke" => {
            let request = client.request(wire::RevokeKeyRequest {
                change,
                workspace,
                digest: text("digest"),
            });
            let receipt = client.call(calls.revoke_key(request)).await?;
            output.show(&receipt)?;
            receipt
        }
        "rotate-sessions" => {
            let request = client.request(wire::RotateSessionKeysRequest { change });
            let receipt = client.call(calls.rotate_session_keys(request)).await?;
            output.show(&receipt)?;
            receipt
        }
        action => {
            let response = match action {
                "rotate" => {
                    let request = client.request(wire::RotateKeyRequest { change, workspace });
                    client.call(calls.rotate_key(request)).await?
                }
                _ => {
                    let request = client.request(wire::CreateKeyRequest { change, workspace });
                    client.call(calls.create_key(request)).await?
                }
            };
            output.show(&response)?;
            response.receipt.unwrap_or_default()
        }
    };
    wait_in_force(client, matches, &receipt).await
}
