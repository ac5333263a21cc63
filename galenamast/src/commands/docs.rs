//! The hidden command `docs`, which prints the documentation pages generated from the code.

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
/// Names of the documentation pages that are generated from the code.
pub const PAGES: [&str; 3] = ["settings", "configuration", "metrics"];

/// Builds the command's arguments.
pub fn command() -> Command {
    let page = Arg::new("page")
        .value_name("PAGE")
        .help("Page to print")
        .required(true)
        .value_parser(PAGES);
    Command::new(NAME)
        .about("Print a documentation page generated from the code")
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

/// Returns the text of a generated page; `None` for an unknown name.
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

/// Returns the page on the settings file.
fn settings_page() -> String {
    let mut text = String::from(
        "# Settings\n\n\
         The settings of an entry host are an INI file. `galenamast check-config FILE` checks it and\n\
         reports file, line, key and allowed range of each error. The column next to the last says when\n\
         a changed key takes effect: at reload, which SIGHUP triggers in a running host, or at restart. On\n\
         SIGHUP the file is read and checked again; if it has an error, the settings in force stay and the\n\
         error is logged. This page is printed by `galenamast docs settings`.\n",
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
        push_setting_row(&mut text, &key);
    }
    text
}

/// Appends the table row of a key.
fn push_setting_row(text: &mut String, key: &SettingKey) {
    let _ = writeln!(
        text,
        "| `{}` | {} | {} | {} | {} | {} |",
        key.name,
        key.unit,
        default_cell(key.default),
        escape_cell(key.range),
        if key.reloadable {
            "at reload"
        } else {
            "at restart"
        },
        escape_cell(key.description)
    );
}

/// Formats a default value for a table cell.
fn default_cell(default: &str) -> String {
    match default {
        "" => "none".into(),
        default => format!("`{default}`"),
    }
}

/// Escapes the characters that would end a table cell.
fn escape_cell(text: &str) -> String {
    text.replace('|', "\\|")
}

/// Returns the page on declarative files.
fn configuration_page() -> String {
    let mut text = String::from(
        "# Declarative files\n\n\
         `galenamast admin apply FILE...` applies all files as one change, and `galenamast admin diff\n\
         FILE...` shows what would change. A key that a file leaves out has its default unless its\n\
         description says otherwise; bearer keys of workspaces and the progress of roll-outs are never\n\
         changed. Versions that no file names stay as they are; `galenamast admin remove KIND/NAME`\n\
         removes an entry. This page is printed by `galenamast docs configuration`.\n",
    );
    push_field_table(&mut text, "[workspace NAME]", workspace_fields::FIELDS);
    push_field_table(&mut text, "[version MODEL@VERSION]", version_fields::FIELDS);
    push_field_table(&mut text, "[pool NAME]", POOL_FIELDS);
    push_field_table(&mut text, "[service NAME]", SERVICE_FIELDS);
    push_field_table(&mut text, "[rollout NAME]", rollout_fields::FIELDS);
    text
}

/// Appends the table of one kind of section.
fn push_field_table<T>(text: &mut String, section: &str, fields: &[ObjectField<T>]) {
    let _ = write!(
        text,
        "\n## {section}\n\n| key | default | range | meaning |\n|---|---|---|---|\n"
    );
    for field in fields {
        let key = match field.name.strip_suffix('.') {
            Some(prefix) => format!("{prefix}.*"),
            None => field.name.into(),
        };
        let _ = writeln!(
            text,
            "| `{key}` | {} | {} | {} |",
            default_cell(field.default),
            escape_cell(field.range),
            escape_cell(field.description)
        );
    }
}

/// Returns the page on metrics.
fn metrics_page() -> String {
    let mut text = String::from(
        "# Metrics\n\n\
         With `[metrics] statsd` set, an entry host sends these metrics by UDP, each with the prefix\n\
         of `[metrics] prefix` and with tags in the DogStatsD format. The queue of metrics is bounded;\n\
         metrics that do not fit are dropped, and requests never wait for them. This page is printed by\n\
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
