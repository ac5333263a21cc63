//! The hidden command `docs`, which prints the pages that are generated from the code.

use std::fmt::Write;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};

use crate::commands::EXIT_INVALID;
use crate::config::pool_fields::{POOL_FIELDS, SERVICE_FIELDS};
use crate::config::{ObjectField, SettingKey, Settings};
use crate::config::{rollout_fields, version_fields, workspace_fields};
use crate::transport::metrics_catalogue::{METRICS, MetricKind};

/// Name of the command.
pub const NAME: &str = "docs";
/// Pages that are generated from the code.
pub const PAGES: [&str; 3] = ["settings", "configuration", "metrics"];

/// Builds the command's arguments.
pub fn command() -> Command {
    let page = Arg::new("page")
        .value_name("PAGE")
        .help("Page to print")
        .required(true)
        .value_parser(PAGES);
    Command::new(NAME)
        .about("Print a page that is generated from the code")
        .hide(true)
        .arg(page)
}

/// Prints a page.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let page = matches.get_one::<String>("page");
    match page.and_then(|page| page_text(page)) {
        Some(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        None => ExitCode::from(EXIT_INVALID),
    }
}

/// Returns the text of a generated page; `None` for an unknown one.
///
/// ```
/// use galenamast::commands::docs::page_text;
///
/// assert!(page_text("settings").unwrap().contains("| `domain` |"));
/// assert!(page_text("novels").is_none());
/// ```
pub fn page_text(page: &str) -> Option<String> {
    match page {
        "settings" => Some(settings_page()),
        "configuration" => Some(configuration_page()),
        "metrics" => Some(metrics_page()),
        _ => None,
    }
}

/// Writes the page of the settings.
fn settings_page() -> String {
    let mut text = String::from(
        "# Settings\n\n\
         The settings of an entry host are an INI file. `galenamast check-config FILE` checks it and\n\
         names file, line, key and allowed range of each error. The last column but one says when a changed\n\
         key takes effect: at reload, which SIGHUP asks of a running host, or at restart. At SIGHUP the\n\
         file is read and checked anew; if it has an error, the settings in force stay and the error is\n\
         logged. This page is printed by `galenamast docs settings`.\n",
    );
    let mut section = "";
    for key in Settings::keys() {
        if key.section != section {
            section = key.section;
            let _ = write!(
                text,
                "\n## [{section}]\n\n| key | unit | default | range | takes effect | meaning |\n|---|---|---|---|---|---|\n"
            );
        }
        setting_row(&mut text, &key);
    }
    text
}

/// Writes the row of a key.
fn setting_row(text: &mut String, key: &SettingKey) {
    let _ = writeln!(
        text,
        "| `{}` | {} | {} | {} | {} | {} |",
        key.name,
        key.unit,
        default_cell(key.default),
        escaped(key.range),
        if key.reloadable {
            "at reload"
        } else {
            "at restart"
        },
        escaped(key.description)
    );
}

/// Shows a default value.
fn default_cell(default: &str) -> String {
    match default {
        "" => "none".into(),
        default => format!("`{default}`"),
    }
}

/// Escapes what would end a cell.
fn escaped(text: &str) -> String {
    text.replace('|', "\\|")
}

/// Writes the page of the declarative files.
fn configuration_page() -> String {
    let mut text = String::from(
        "# Declarative files\n\n\
         `galenamast admin apply FILE...` makes one change of all files, and `galenamast admin diff\n\
         FILE...` shows what would change. A key that a file leaves out has its default, but for\n\
         those that say otherwise; bearer keys of workspaces and the progress of roll-outs are never\n\
         touched. Versions that no file names stay as they are; `galenamast admin remove KIND/NAME`\n\
         removes an entry. This page is printed by `galenamast docs configuration`.\n",
    );
    field_table(&mut text, "[workspace NAME]", workspace_fields::FIELDS);
    field_table(&mut text, "[version MODEL@VERSION]", version_fields::FIELDS);
    field_table(&mut text, "[pool NAME]", POOL_FIELDS);
    field_table(&mut text, "[service NAME]", SERVICE_FIELDS);
    field_table(&mut text, "[rollout NAME]", rollout_fields::FIELDS);
    text
}

/// Writes the table of a kind of section.
fn field_table<T>(text: &mut String, section: &str, fields: &[ObjectField<T>]) {
    let _ = write!(
        text,
        "\n## {section}\n\n| key | default | range | meaning |\n|---|---|---|---|\n"
    );
    for field in fields {
        let shown = match field.name.strip_suffix('.') {
            Some(prefix) => format!("{prefix}.*"),
            None => field.name.into(),
        };
        let _ = writeln!(
            text,
            "| `{shown}` | {} | {} | {} |",
            default_cell(field.default),
            escaped(field.range),
            escaped(field.description)
        );
    }
}

/// Writes the page of the metrics.
fn metrics_page() -> String {
    let mut text = String::from(
        "# Metrics\n\n\
         With `[metrics] statsd` set, an entry host sends these metrics by UDP, each with the prefix\n\
         of `[metrics] prefix` and with tags in the DogStatsD form. Metrics that wait are bounded;\n\
         those beyond are dropped, and requests never wait for them. This page is printed by\n\
         `galenamast docs metrics`.\n\n\
         | metric | kind | unit | tags | meaning |\n|---|---|---|---|---|\n",
    );
    for metric in METRICS {
        let kind = match metric.kind {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
            MetricKind::Timer => "timer",
        };
        let tags = match metric.tags.join(", ") {
            tags if tags.is_empty() => "none".into(),
            tags => tags,
        };
        let _ = writeln!(
            text,
            "| `{}` | {kind} | {} | {tags} | {} |",
            metric.name, metric.unit, metric.description
        );
    }
    text
}
