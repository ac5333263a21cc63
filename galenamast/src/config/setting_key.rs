//! Description of one key of the settings file, and parsers of values.

use std::net::SocketAddr;
use std::time::Duration;

use crate::config::settings_file::Settings;

/// A key of the settings file: its documentation and how its value is applied.
#[derive(Clone, Copy, Debug)]
pub struct SettingKey {
    /// Section that holds the key, without brackets.
    pub section: &'static str,
    /// Name of the key within its section.
    pub name: &'static str,
    /// Unit or type of the value.
    pub unit: &'static str,
    /// Default value as written in a file; empty for none.
    pub default: &'static str,
    /// Allowed values, in words.
    pub range: &'static str,
    /// What the value controls.
    pub description: &'static str,
    /// Whether a changed value takes effect when the settings are reloaded.
    pub reloadable: bool,
    /// Parses a value into the settings; returns false if it is not allowed.
    pub apply: fn(&mut Settings, &str) -> bool,
}

/// Stores a value if parsing succeeded; returns whether it did.
pub(crate) fn store<T>(field: &mut T, value: Option<T>) -> bool {
    match value {
        Some(value) => {
            *field = value;
            true
        }
        None => false,
    }
}

/// Parses an unsigned integer within inclusive bounds.
pub(crate) fn parse_integer(text: &str, low: u64, high: u64) -> Option<u64> {
    text.parse()
        .ok()
        .filter(|value| (low..=high).contains(value))
}

/// Parses a duration such as `250ms` or `10s` within inclusive bounds.
pub(crate) fn parse_duration(text: &str, low: Duration, high: Duration) -> Option<Duration> {
    humantime::parse_duration(text)
        .ok()
        .filter(|value| (low..=high).contains(value))
}

/// Parses a socket address, `ip:port`.
pub(crate) fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses an optional socket address; an empty value means none.
pub(crate) fn parse_optional_address(text: &str) -> Option<Option<SocketAddr>> {
    if text.is_empty() {
        return Some(None);
    }
    parse_address(text).map(Some)
}

/// Parses a comma-separated list of socket addresses; an empty value means none.
pub(crate) fn parse_address_list(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(parse_address)
        .collect()
}

/// Parses `true` or `false`.
pub(crate) fn parse_flag(text: &str) -> Option<bool> {
    text.parse().ok()
}

/// Parses a name of 1 to 64 ASCII letters, digits, dots, underscores and hyphens.
pub(crate) fn parse_name(text: &str) -> Option<&str> {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "._-".contains(character);
    (!text.is_empty() && text.len() <= 64 && text.chars().all(allowed)).then_some(text)
}
