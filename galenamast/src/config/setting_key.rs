//! The description of one key of the settings file.

use std::net::SocketAddr;
use std::time::Duration;

use crate::config::settings_file::Settings;

/// A key of the settings file: its documentation and how its value is applied.
#[derive(Clone, Copy, Debug)]
pub struct SettingKey {
    /// Section of the key.
    pub section: &'static str,
    /// Name of the key within its section.
    pub name: &'static str,
    /// Unit or type of the value.
    pub unit: &'static str,
    /// Default value as it would be written.
    pub default: &'static str,
    /// Allowed values.
    pub range: &'static str,
    /// What the value does.
    pub description: &'static str,
    /// Whether a changed value takes effect when the settings are reloaded.
    pub reloadable: bool,
    /// Applies a value; returns whether it is allowed.
    pub apply: fn(&mut Settings, &str) -> bool,
}

/// Stores a parsed value and returns whether there was one.
pub(crate) fn store<T>(field: &mut T, value: Option<T>) -> bool {
    match value {
        Some(value) => {
            *field = value;
            true
        }
        None => false,
    }
}

/// Parses a whole number within bounds.
pub(crate) fn whole(text: &str, low: u64, high: u64) -> Option<u64> {
    text.parse()
        .ok()
        .filter(|value| (low..=high).contains(value))
}

/// Parses a duration such as `250ms` or `10s` within bounds.
pub(crate) fn duration(text: &str, low: Duration, high: Duration) -> Option<Duration> {
    humantime::parse_duration(text)
        .ok()
        .filter(|value| (low..=high).contains(value))
}

/// Parses a socket address, `ip:port`.
pub(crate) fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses an optional socket address; an empty value stands for none.
pub(crate) fn optional_address(text: &str) -> Option<Option<SocketAddr>> {
    if text.is_empty() {
        return Some(None);
    }
    address(text).map(Some)
}

/// Parses a list of socket addresses separated by commas.
pub(crate) fn address_list(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(address)
        .collect()
}

/// Parses `true` or `false`.
pub(crate) fn flag(text: &str) -> Option<bool> {
    text.parse().ok()
}

/// Parses a name of letters, digits, dots, underscores and hyphens.
pub(crate) fn name(text: &str) -> Option<&str> {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "._-".contains(character);
    (!text.is_empty() && text.len() <= 64 && text.chars().all(allowed)).then_some(text)
}
