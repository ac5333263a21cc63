//! Command that exports usage records for billing.

use std::time::{Duration, UNIX_EPOCH};

use clap::{Arg, ArgMatches, Command};

use crate::commands::admin::admin_client::AdminClient;
use crate::commands::admin::admin_error::AdminError;
use crate::commands::admin::admin_output::AdminOutput;
use crate::generated::operator as wire;
use crate::generated::operator::usage_service_client::UsageServiceClient;

/// Name of the command.
pub(super) const USAGE: &str = "usage";

/// Builds the command.
pub(super) fn command() -> Command {
    let workspace = Arg::new("workspace")
        .long("workspace")
        .value_name("WORKSPACE")
        .help("Workspace to export; all by default");
    let time = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("TIME")
            .help(help)
            .value_parser(parse_time)
    };
    Command::new(USAGE)
        .about("Export usage records, each request once")
        .arg(workspace)
        .arg(time(
            "from",
            "Earliest end of a request, such as 2026-01-31T00:00:00Z",
        ))
        .arg(time("until", "End of the time range, exclusive"))
}

/// Parses a time in RFC 3339 form as milliseconds since the Unix epoch.
fn parse_time(text: &str) -> Result<u64, String> {
    let time = humantime::parse_rfc3339(text).map_err(|error| error.to_string())?;
    let since_epoch: Duration = time
        .duration_since(UNIX_EPOCH)
        .map_err(|_| "must not be before 1970".to_owned())?;
    u64::try_from(since_epoch.as_millis()).map_err(|error| error.to_string())
}

/// Exports usage records, one line of JSON or of tab-separated fields each.
pub(super) async fn run(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let time = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
    let workspace = matches.get_one::<String>("workspace").cloned();
    let mut calls = UsageServiceClient::new(client.channel.clone());
    let request = client.request(wire::ExportUsageRequest {
        workspace: workspace.unwrap_or_default(),
        from_unix_ms: time("from"),
        until_unix_ms: time("until"),
    });
    let mut records = client.call(calls.export_usage(request)).await?;
    while let Some(record) = records.message().await? {
        output.show_line(&record, &format_row(&record))?;
    }
    Ok(())
}

/// Formats a record as tab-separated fields.
fn format_row(record: &wire::UsageRecord) -> String {
    let version = record.version.as_ref();
    let version = version.map_or_else(
        || "-".to_owned(),
        |name| format!("{}@{}", name.model, name.version),
    );
    format!(
        "{}\t{}\t{}\t{version}\t{}\t{}\t{}\t{}",
        record.request_id,
        record.workspace,
        record.task,
        record.input_tokens,
        record.output_tokens,
        record.price_micros,
        record.ended_unix_ms
    )
}
