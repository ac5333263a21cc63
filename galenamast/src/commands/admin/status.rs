//! Command that shows the status of a host and what it knows about other hosts.

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::commands::admin::admin_client::AdminClient;
use crate::commands::admin::admin_error::AdminError;
use crate::commands::admin::admin_output::AdminOutput;
use crate::generated::operator as wire;
use crate::generated::operator::status_service_client::StatusServiceClient;

/// Name of the command.
pub(super) const STATUS: &str = "status";

/// Builds the command.
pub(super) fn command() -> Command {
    let generation = Arg::new("generation")
        .long("generation")
        .value_name("GENERATION")
        .help("Generation whose propagation is shown")
        .value_parser(value_parser!(u64));
    Command::new(STATUS)
        .about("Show the status of the called host and what it knows about other hosts")
        .arg(generation)
}

/// Shows the status of the called host.
pub(super) async fn run(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let mut calls = StatusServiceClient::new(client.channel.clone());
    let request = client.request(wire::GetStatusRequest {
        generation: matches.get_one::<u64>("generation").copied(),
    });
    let status = client.call(calls.get_status(request)).await?;
    output.show(&status)?;
    Ok(())
}
