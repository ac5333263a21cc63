//! Section `[logging]` of the settings file.

use std::path::PathBuf;

use log::LevelFilter;

use crate::config::setting_key::{SettingKey, parse_flag, store};

/// Log output.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggingSettings {
    /// Least severe level that is logged.
    pub level: LevelFilter,
    /// File that log lines are appended to.
    pub file: Option<PathBuf>,
    /// Whether each routing and placement decision is logged.
    pub decisions: bool,
}

impl Default for LoggingSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            file: None,
            decisions: true,
        }
    }
}

/// Keys of section `[logging]`.
pub(crate) const KEYS: &[SettingKey] = &[
    SettingKey {
        section: "logging",
        name: "level",
        unit: "level",
        default: "info",
        range: "off, error, warn, info, debug or trace",
        description: "Least severe level that is logged.",
        reloadable: false,
        apply: |settings, text| store(&mut settings.logging.level, text.parse().ok()),
    },
    SettingKey {
        section: "logging",
        name: "file",
        unit: "path",
        default: "",
        range: "a writable file, or empty for standard error",
        description: "File that log lines are appended to.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.logging.file,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
    SettingKey {
        section: "logging",
        name: "decisions",
        unit: "flag",
        default: "true",
        range: "true or false",
        description: "Whether each routing and placement decision is logged.",
        reloadable: false,
        apply: |settings, text| store(&mut settings.logging.decisions, parse_flag(text)),
    },
];
