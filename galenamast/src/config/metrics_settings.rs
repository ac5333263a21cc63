//! Section `[metrics]` of the settings file.

use std::net::SocketAddr;

use crate::config::setting_key::{SettingKey, parse_name, parse_optional_address, store};

/// Metrics output.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricsSettings {
    /// Address of the statsd collector.
    pub statsd: Option<SocketAddr>,
    /// Prefix of every metric.
    pub prefix: String,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: String::from("galenamast"),
        }
    }
}

/// Keys of section `[metrics]`.
pub(crate) const KEYS: &[SettingKey] = &[
    SettingKey {
        section: "metrics",
        name: "statsd",
        unit: "ip:port",
        default: "",
        range: "an IP address and a port, or empty for none",
        description: "Address of the statsd collector.",
        reloadable: false,
        apply: |settings, text| store(&mut settings.metrics.statsd, parse_optional_address(text)),
    },
    SettingKey {
        section: "metrics",
        name: "prefix",
        unit: "name",
        default: "galenamast",
        range: "a name of at most 64 letters, digits and `._-`",
        description: "Prefix of every metric.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.metrics.prefix,
                parse_name(text).map(String::from),
            )
        },
    },
];
