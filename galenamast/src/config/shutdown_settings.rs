//! Section `[shutdown]` of the settings file.

use std::time::Duration;

use crate::config::setting_key::{SettingKey, parse_duration, store};

/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq)]
pub struct ShutdownSettings {
    /// Time during which requests are still accepted after the host reports itself unready.
    pub balancer_lag: Duration,
    /// Maximum time that requests in flight have to finish.
    pub drain_timeout: Duration,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            balancer_lag: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(120),
        }
    }
}

/// Keys of section `[shutdown]`.
pub(crate) const KEYS: &[SettingKey] = &[
    SettingKey {
        section: "shutdown",
        name: "balancer_lag",
        unit: "duration",
        default: "5s",
        range: "0s to 2m",
        description: "Time during which requests are still accepted after the host reports itself unready.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.shutdown.balancer_lag,
                parse_duration(text, Duration::from_millis(0), Duration::from_secs(120)),
            )
        },
    },
    SettingKey {
        section: "shutdown",
        name: "drain_timeout",
        unit: "duration",
        default: "2m",
        range: "0s to 1h",
        description: "Maximum time that requests in flight have to finish.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.shutdown.drain_timeout,
                parse_duration(text, Duration::from_millis(0), Duration::from_secs(3600)),
            )
        },
    },
];
