//! Reads and validates the settings file of an entry host.

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

/// Lowest Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.7;

/// Settings of an entry host, one field per section of the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Name and location of the host.
    pub host: HostSettings,
    /// Listener and limits for callers.
    pub callers: CallersSettings,
    /// Listener for operators.
    pub operators: OperatorsSettings,
    /// Connections to other entry hosts.
    pub peers: PeersSettings,
    /// Addresses and limits of the platform's services.
    pub platform: PlatformSettings,
    /// Load reports, queues, the crash quarantine and claims.
    pub routing: RoutingSettings,
    /// Graceful shutdown.
    pub shutdown: ShutdownSettings,
    /// Log output.
    pub logging: LoggingSettings,
    /// Metrics output.
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
/// Returns an error if the file cannot be read, or all problems found in it.
pub fn load_settings(path: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse_settings(&path.display().to_string(), &text)
}

/// Parses the text of a settings file; `file` names it in error messages.
///
/// # Errors
///
/// Returns all problems found in the text, each with its line.
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
    problems.extend(repetition_problems(file, &lines));
    for (section, properties) in &document {
        let section = section.unwrap_or("");
        for (name, value) in properties {
            if let Err(message) = apply_value(&mut settings, section, name, value) {
                let line = lines.key_line(section, name);
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

/// Returns a problem for every repetition of a section or key.
pub(crate) fn repetition_problems(file: &str, lines: &IniLines) -> Vec<SettingsProblem> {
    let describe = |repeated: crate::config::ini_lines::RepeatedEntry| SettingsProblem {
        file: file.into(),
        line: repeated.line,
        message: format!(
            "{} is repeated; first on line {}",
            repeated.subject, repeated.first_line
        ),
    };
    lines.repetitions().into_iter().map(describe).collect()
}

/// Returns the problem of a missing required key.
fn missing_key(file: &str, section: &str, name: &str) -> SettingsProblem {
    let message = format!("[{section}] needs the key `{name}`, which is missing or empty");
    SettingsProblem {
        file: file.into(),
        line: 1,
        message,
    }
}

/// Applies one value; the error message names the allowed values or a similar key.
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
        return Err(unknown_key_message(&keys, section, name));
    };
    if (key.apply)(settings, value.trim()) {
        return Ok(());
    }
    Err(format!(
        "[{section}] {name} = {value}: must be {} ({})",
        key.range, key.unit
    ))
}

/// Returns the message for an unknown key or section, with the most similar known one.
fn unknown_key_message(keys: &[SettingKey], section: &str, name: &str) -> String {
    if !keys.iter().any(|key| key.section == section) {
        let sections = keys.iter().map(|key| key.section);
        return format!(
            "unknown section [{section}]{}",
            suggest_similar(section, sections)
        );
    }
    let names = keys
        .iter()
        .filter(|key| key.section == section)
        .map(|key| key.name);
    format!(
        "unknown key `{name}` in [{section}]{}",
        suggest_similar(name, names)
    )
}

/// Returns the end of a message that suggests the most similar known name; empty if none is similar
/// enough.
pub(crate) fn suggest_similar<'a>(unknown: &str, known: impl Iterator<Item = &'a str>) -> String {
    known
        .map(|candidate| (strsim::jaro_winkler(unknown, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SUGGESTION_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map_or_else(String::new, |(_, candidate)| {
            format!("; did you mean `{candidate}`?")
        })
}
