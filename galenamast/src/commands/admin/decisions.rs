//! Command that streams routing decisions.

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::commands::admin::admin_client::AdminClient;
use crate::commands::admin::admin_error::AdminError;
use crate::commands::admin::admin_output::AdminOutput;
use crate::generated::operator as wire;
use crate::generated::operator::decision_service_client::DecisionServiceClient;

/// Name of the command.
pub(super) const DECISIONS: &str = "decisions";

/// Builds the command.
pub(super) fn command() -> Command {
    let workspace = Arg::new("workspace")
        .long("workspace")
        .value_name("WORKSPACE")
        .help("Workspace whose decisions are shown; all by default");
    let count = Arg::new("count")
        .long("count")
        .value_name("N")
        .help("Number of decisions after which the command ends; no limit by default")
        .value_parser(value_parser!(u64));
    Command::new(DECISIONS)
        .about("Follow the routing decisions of the called host")
        .arg(workspace)
        .arg(count)
}

/// Streams the decisions of the called host, until it ends the stream or the count is reached.
pub(super) async fn run(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let workspace = matches.get_one::<String>("workspace").cloned();
    let mut remaining = matches.get_one::<u64>("count").copied();
    let mut calls = DecisionServiceClient::new(client.channel.clone());
    let request = client.request(wire::TailDecisionsRequest {
        workspace: workspace.unwrap_or_default(),
    });
    let mut decisions = client.call(calls.tail_decisions(request)).await?;
    while remaining != Some(0) {
        let Some(decision) = decisions.message().await? else {
            return Ok(());
        };
        output.show_line(&decision, &decision.line_json)?;
        remaining = remaining.map(|remaining| remaining - 1);
    }
    Ok(())
}
