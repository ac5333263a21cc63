//! Commands on the whole configuration: `apply`, `diff`, `remove` and `show`.

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;
use serde_json::Value;

use crate::commands::admin::admin_client::AdminClient;
use crate::commands::admin::admin_error::AdminError;
use crate::commands::admin::admin_output::AdminOutput;
use crate::commands::admin::change_args::{change_args, change_from_args, wait_in_force};
use crate::config::load_objects;
use crate::config::object_merge::find_object;
use crate::coordination::{ConfigObject, assemble_image};
use crate::generated::operator as wire;
use crate::generated::operator::configuration_service_client::ConfigurationServiceClient;
use crate::protocol::operator_objects::{object_from_wire, object_to_wire};
use crate::state::{ConfigGeneration, ConfigImage};

/// Name of the command that applies declarative files.
pub(super) const APPLY: &str = "apply";
/// Name of the command that compares declarative files with the configuration in force.
pub(super) const DIFF: &str = "diff";
/// Name of the command that removes entries.
pub(super) const REMOVE: &str = "remove";
/// Name of the command that shows the configuration in force.
pub(super) const SHOW: &str = "show";

/// A field that differs, with its path; a side that lacks it has `null`.
#[derive(Debug, Serialize)]
struct FieldChange {
    field: String,
    old: Value,
    new: Value,
}

/// An entry that differs, with the action that applying the files would take.
#[derive(Debug, Serialize)]
struct EntryDifference {
    entry: String,
    action: &'static str,
    fields: Vec<FieldChange>,
}

/// Builds the commands.
pub(super) fn commands() -> [Command; 4] {
    let files = Arg::new("files")
        .value_name("FILE")
        .help("Declarative files, read as one set")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf));
    let entries = Arg::new("entries")
        .value_name("ENTRY")
        .help("Entries to remove, as KIND/NAME")
        .required(true)
        .num_args(1..);
    let apply = Command::new(APPLY).about("Apply declarative files as one change");
    let remove = Command::new(REMOVE).about("Remove entries as one change");
    [
        change_args(apply.arg(files.clone())),
        Command::new(DIFF)
            .about("Compare declarative files with the configuration in force")
            .arg(files),
        change_args(remove.arg(entries)),
        Command::new(SHOW).about("Show the configuration in force"),
    ]
}

/// Applies declarative files; if nothing differs, only shows the current generation.
pub(super) async fn apply(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let declared = load_objects(&file_paths(matches))?;
    let image = read_image(client).await?;
    let mut change = change_from_args(matches);
    change.based_on_generation.get_or_insert(image.generation.0);
    let objects = declared.changes(&image);
    if objects.is_empty() {
        let receipt = wire::ChangeReceipt {
            generation: image.generation.0,
            dry_run: change.dry_run,
            ..Default::default()
        };
        output.show(&receipt)?;
        return Ok(());
    }
    let request = wire::ApplyRequest {
        change: Some(change),
        objects: objects.iter().map(object_to_wire).collect(),
        removals: Vec::new(),
    };
    send_apply(client, matches, request, output).await
}

/// Sends a change, shows its receipt and waits if asked to.
async fn send_apply(
    client: &AdminClient,
    matches: &ArgMatches,
    request: wire::ApplyRequest,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let mut calls = ConfigurationServiceClient::new(client.channel.clone());
    let receipt = client.call(calls.apply(client.request(request))).await?;
    output.show(&receipt)?;
    wait_in_force(client, matches, &receipt).await
}

/// Compares declarative files with the configuration in force.
pub(super) async fn diff(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let declared = load_objects(&file_paths(matches))?;
    let image = read_image(client).await?;
    let objects = declared.changes(&image);
    let mut differences = Vec::new();
    for object in &objects {
        differences.push(compare_object(&image, object)?);
    }
    for difference in &differences {
        output.show_line(difference, &format_difference(difference))?;
    }
    match differences.len() {
        0 => Ok(()),
        count => Err(AdminError::EntriesDiffer(count)),
    }
}

/// Removes entries.
pub(super) async fn remove(
    client: &AdminClient,
    matches: &ArgMatches,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let entries = matches.get_many::<String>("entries").unwrap_or_default();
    let request = wire::ApplyRequest {
        change: Some(change_from_args(matches)),
        objects: Vec::new(),
        removals: entries.cloned().collect(),
    };
    send_apply(client, matches, request, output).await
}

/// Shows the configuration in force.
pub(super) async fn show(
    client: &AdminClient,
    output: &mut AdminOutput<'_>,
) -> Result<(), AdminError> {
    let configuration = read_configuration(client).await?;
    output.show(&configuration)?;
    Ok(())
}

/// Returns the paths of the declarative files.
fn file_paths(matches: &ArgMatches) -> Vec<PathBuf> {
    let paths = matches.get_many::<PathBuf>("files").unwrap_or_default();
    paths.cloned().collect()
}

/// Reads the configuration in force.
async fn read_configuration(client: &AdminClient) -> Result<wire::Configuration, AdminError> {
    let mut calls = ConfigurationServiceClient::new(client.channel.clone());
    let request = client.request(wire::GetConfigurationRequest {});
    client.call(calls.get_configuration(request)).await
}

/// Reads the configuration in force as an image.
async fn read_image(client: &AdminClient) -> Result<ConfigImage, AdminError> {
    let configuration = read_configuration(client).await?;
    let converted = configuration.objects.iter().map(object_from_wire);
    let objects = converted
        .collect::<Result<Vec<ConfigObject>, _>>()
        .map_err(|error| AdminError::Interrupted(error.to_string()))?;
    let generation = ConfigGeneration(configuration.generation);
    Ok(assemble_image(generation, objects))
}

/// Compares an object with the one in force.
fn compare_object(
    image: &ConfigImage,
    object: &ConfigObject,
) -> Result<EntryDifference, AdminError> {
    let current = find_object(image, object);
    let action = if current.is_some() {
        "update"
    } else {
        "create"
    };
    let old = current.map_or(Ok(BTreeMap::new()), |current| object_fields(&current))?;
    let new = object_fields(object)?;
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    let value = |fields: &BTreeMap<String, Value>, name: &String| {
        fields.get(name).cloned().unwrap_or(Value::Null)
    };
    let changed = names.into_iter().map(|name| FieldChange {
        field: name.clone(),
        old: value(&old, name),
        new: value(&new, name),
    });
    Ok(EntryDifference {
        entry: object.entry_name(),
        action,
        fields: changed.filter(|change| change.old != change.new).collect(),
    })
}

/// Returns the fields of an object by their dotted path.
fn object_fields(object: &ConfigObject) -> Result<BTreeMap<String, Value>, AdminError> {
    let value = serde_json::to_value(object).map_err(std::io::Error::other)?;
    let mut fields = BTreeMap::new();
    let inner = value.as_object().and_then(|kinds| kinds.values().next());
    if let Some(inner) = inner {
        collect_fields("", inner, &mut fields);
    }
    Ok(fields)
}

/// Collects the fields below a value by their dotted path.
fn collect_fields(path: &str, value: &Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(inner) if !inner.is_empty() => {
            for (name, value) in inner {
                let path = match path {
                    "" => name.clone(),
                    path => format!("{path}.{name}"),
                };
                collect_fields(&path, value, fields);
            }
        }
        leaf => {
            fields.insert(path.to_owned(), leaf.clone());
        }
    }
}

/// Formats a difference as text.
fn format_difference(difference: &EntryDifference) -> String {
    let mut text = format!("{} {}", difference.action, difference.entry);
    for change in &difference.fields {
        text.push_str(&format!(
            "\n  {}: {} -> {}",
            change.field, change.old, change.new
        ));
    }
    text
}
