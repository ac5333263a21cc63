//! Reading and checking of a settings file.

use std::path::Path;

use ini::Ini;

use crate::config::callers_settings::{self, CallersSettings};
use crate::config::host_settings::{self, HostSettings};
use crate::config::ini_lines::IniLines;
use crate::config::logging_settings::{self, LoggingSettings};
use crate::config::metrics_settings::{self, MetricsSettings};
use crate::config::operators_settings::{self, OperatorsSettings};
use crate::config::peers_settings::{self, PeersSettings};
use crate::config::platform_settings::{self, PlatformSettings};
use crate::config::routing_settings::{self, RoutingSettings};
use crate::config::setting_key::SettingKey;
use crate::config::settings_error::{SettingsError, SettingsProblem};
use crate::config::shutdown_settings::{self, ShutdownSettings};

/// Lowest similarity, from 0 to 1, at which a known key is suggested for an unknown one.
const SUGGESTION_SIMILARITY: f64 = 0.7;

/// Settings of an entry host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Identity of the host.
    pub host: HostSettings,
    /// Face towards callers.
    pub callers: CallersSettings,
    /// Face towards operators.
    pub operators: OperatorsSettings,
    /// Face towards other entry hosts.
    pub peers: PeersSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Routing, retries and queues.
    pub routing: RoutingSettings,
    /// Graceful shutdown.
    pub shutdown: ShutdownSettings,
    /// Log lines.
    pub logging: LoggingSettings,
    /// Metrics.
    pub metrics: MetricsSettings,
}

impl Settings {
    /// Lists every key of the settings file, section by section.
    ///
    /// ```
    /// use galenamast::config::Settings;
    ///
    /// assert!(Settings::keys().iter().any(|key| key.section == "host" && key.name == "domain"));
    /// ```
    pub fn keys() -> Vec<SettingKey> {
        [
            host_settings::KEYS,
            callers_settings::KEYS,
            operators_settings::KEYS,
            peers_settings::KEYS,
            platform_settings::KEYS,
            routing_settings::KEYS,
            shutdown_settings::KEYS,
            logging_settings::KEYS,
            metrics_settings::KEYS,
        ]
        .concat()
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or every problem that it holds.
pub fn load_settings(path: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse_settings(&path.display().to_string(), &text)
}

/// Checks the text of a settings file and returns the settings.
///
/// # Errors
///
/// Returns every problem of the text, each with its line.
///
/// ```
/// use galenamast::config::parse_settings;
///
/// let text = "[host]\nname = host-1\ndomain = cumbre\n";
/// assert_eq!(parse_settings("host.ini", text).unwrap().host.domain.as_str(), "cumbre");
/// let error = parse_settings("host.ini", "[host]\ndomian = cumbre\n").unwrap_err();
/// assert!(error.to_string().contains("host.ini:2: unknown key `domian`"));
/// ```
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let mut problems = Vec::new();
    let mut settings = Settings::default();
    let document = Ini::load_from_str_noescape(text).map_err(|error| {
        let message = error.msg.to_string();
        SettingsError::Invalid(vec![SettingsProblem {
            file: file.into(),
            line: error.line,
            message,
        }])
    })?;
    let lines = IniLines::scan(text);
    problems.extend(repeated_problems(file, &lines));
    for (section, properties) in &document {
        let section = section.unwrap_or("");
        for (name, value) in properties {
            if let Err(message) = apply_value(&mut settings, section, name, value) {
                let line = lines.line_of(section, name);
                problems.push(SettingsProblem {
                    file: file.into(),
                    line,
                    message,
                });
            }
        }
    }
    if settings.host.name.as_str().is_empty() {
        problems.push(missing_key(file, "host", "name"));
    }
    if settings.host.domain.as_str().is_empty() {
        problems.push(missing_key(file, "host", "domain"));
    }
    if problems.is_empty() {
        return Ok(settings);
    }
    problems.sort_by_key(|problem| problem.line);
    Err(SettingsError::Invalid(problems))
}

/// Describes the sections and keys that stand more than once.
pub(crate) fn repeated_problems(file: &str, lines: &IniLines) -> Vec<SettingsProblem> {
    let describe = |repeated: crate::config::ini_lines::RepeatedLine| SettingsProblem {
        file: file.into(),
        line: repeated.line,
        message: format!(
            "{} stands again; first in line {}",
            repeated.subject, repeated.first
        ),
    };
    lines.repeated().into_iter().map(describe).collect()
}

/// Describes a required key that is missing.
fn missing_key(file: &str, section: &str, name: &str) -> SettingsProblem {
    let message = format!("[{section}] needs the key `{name}`, which is missing or empty");
    SettingsProblem {
        file: file.into(),
        line: 1,
        message,
    }
}

/// Applies one value, or says what is wrong with it.
fn apply_value(
    settings: &mut Settings,
    section: &str,
    name: &str,
    value: &str,
) -> Result<(), String> {
    let keys = Settings::keys();
    let Some(key) = keys
        .iter()
        .find(|key| key.section == section && key.name == name)
    else {
        return Err(unknown_key(&keys, section, name));
    };
    if (key.apply)(settings, value.trim()) {
        return Ok(());
    }
    Err(format!(
        "[{section}] {name} = {value}: must be {} ({})",
        key.range, key.unit
    ))
}

/// Describes an unknown key, with the nearest known one.
fn unknown_key(keys: &[SettingKey], section: &str, name: &str) -> String {
    if !keys.iter().any(|key| key.section == section) {
        let sections = keys.iter().map(|key| key.section);
        return format!(
            "unknown section [{section}]{}",
            suggestion(section, sections)
        );
    }
    let names = keys
        .iter()
        .filter(|key| key.section == section)
        .map(|key| key.name);
    format!(
        "unknown key `{name}` in [{section}]{}",
        suggestion(name, names)
    )
}

/// Words a suggestion of the most similar known word.
pub(crate) fn suggestion<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    known
        .map(|candidate| (strsim::jaro_winkler(word, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= SUGGESTION_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map_or_else(String::new, |(_, candidate)| {
            format!("; did you mean `{candidate}`?")
        })
}
