//! Commands that take entry hosts and backend servers out of service and restore them.

use clap::{Arg, ArgMatches, Command};

use crate::commands::admin::admin_client::AdminClient;
use crate::commands::admin::admin_error::AdminError;
use crate::commands::admin::admin_output::AdminOutput;
use crate::commands::admin::change_args::{change_args, change_from_args, wait_in_force};
use crate::generated::operator as wire;
use crate::generated::operator::drain_service_client::DrainServiceClient;

/// Name of the command on entry hosts.
pub(super) const HOST: &str = "host";
/// Name of the command on backend servers.
pub(super) const SERVER: &str = "server";

/// Builds the commands.
pub(super) fn commands() -> [Command; 2] {
    let argument = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).value_name(value).help(help).required(true)
    };
    let host = argument(
        "host",
        "HOST",
        "Name of the entry host; it must be the host that is called",
    );
    let reason = argument("reason", "TEXT", "Why the host is drained or restored").long("reason");
    let host_step = |step: &'static str, about: &'static str| {
        let command = Command::new(step).about(about);
        command.arg(host.clone()).arg(reason.clone())
    };
    let pool = argument("pool", "POOL", "Pool of the server");
    let server = argument("name", "SERVER", "Name of the server");
    let server_step = |step: &'static str, about: &'static str| {
        let command = Command::new(step).about(about);
        change_args(command.arg(pool.clone()).arg(server.clone()))
    };
    [
        Command::new(HOST)
            .about("Take the called entry host out of the load balancer or restore it")
            .subcommand_required(true)
            .arg_required_else_help(true)
            .subcommand(host_step(
                "drain",
                "Report the host unready to the load balancer",
            ))
            .subcommand(host_step("restore", "Report the host ready again")),
        Command::new(SERVER)
            .about("Take a backend server out of service or restore it")
            .subcommand_required(true)
            .arg_required_else_help(true)
            .subcommand(server_step("drain", "Give the server no new work"))
            .subcommand(server_step("restore", "Give the server new work again")),
    ]
}

/// Drains or restores the called host.
pub(super) async fn run_host(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let Some((step, matches)) = matches.subcommand() else {
        return Err(AdminError::Arguments("no subcommand was given".into()));
    };
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let mut calls = DrainServiceClient::new(client.channel.clone());
    let request = client.request(wire::DrainHostRequest {
        host: text("host"),
        restore: step == "restore",
        reason: text("reason"),
    });
    let response = client.call(calls.drain_host(request)).await?;
    output.show(&response)?;
    Ok(())
}

/// Drains or restores a backend server.
pub(super) async fn run_server(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let Some((step, matches)) = matches.subcommand() else {
        return Err(AdminError::Arguments("no subcommand was given".into()));
    };
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let mut calls = DrainServiceClient::new(client.channel.clone());
    let request = client.request(wire::DrainServerRequest {
        change: Some(change_from_args(matches)),
        pool: text("pool"),
        server: text("name"),
        restore: step == "restore",
    });
    let receipt = client.call(calls.drain_server(request)).await?;
    output.show(&receipt)?;
    wait_in_force(client, matches, &receipt).await
}
