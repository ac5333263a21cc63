//! Section `[platform]` of the settings file.

use std::net::SocketAddr;
use std::time::Duration;

use crate::config::setting_key::{
    SettingKey, parse_duration, parse_integer, parse_optional_address, store,
};

/// Addresses and limits of the platform's services.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address of the object API.
    pub objects: Option<SocketAddr>,
    /// Address of the host list.
    pub host_list: Option<SocketAddr>,
    /// Address of the rating service.
    pub rating: Option<SocketAddr>,
    /// Address of the weight store.
    pub weight_store: Option<SocketAddr>,
    /// Maximum time of one call of the object API.
    pub call_timeout: Duration,
    /// Time between reads of the host list.
    pub host_list_period: Duration,
    /// Maximum rate of calls of the object API by this host.
    pub calls_per_second: u32,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            objects: None,
            host_list: None,
            rating: None,
            weight_store: None,
            call_timeout: Duration::from_secs(2),
            host_list_period: Duration::from_secs(1),
            calls_per_second: 50,
        }
    }
}

/// Keys of section `[platform]`.
pub(crate) const KEYS: &[SettingKey] = &[
    SettingKey {
        section: "platform",
        name: "objects",
        unit: "ip:port",
        default: "",
        range: "an IP address and a port, or empty for none",
        description: "Address of the object API.",
        reloadable: false,
        apply: |settings, text| store(&mut settings.platform.objects, parse_optional_address(text)),
    },
    SettingKey {
        section: "platform",
        name: "host_list",
        unit: "ip:port",
        default: "",
        range: "an IP address and a port, or empty for none",
        description: "Address of the host list.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.platform.host_list,
                parse_optional_address(text),
            )
        },
    },
    SettingKey {
        section: "platform",
        name: "rating",
        unit: "ip:port",
        default: "",
        range: "an IP address and a port, or empty for none",
        description: "Address of the rating service.",
        reloadable: false,
        apply: |settings, text| store(&mut settings.platform.rating, parse_optional_address(text)),
    },
    SettingKey {
        section: "platform",
        name: "weight_store",
        unit: "ip:port",
        default: "",
        range: "an IP address and a port, or empty for none",
        description: "Address of the weight store.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.platform.weight_store,
                parse_optional_address(text),
            )
        },
    },
    SettingKey {
        section: "platform",
        name: "call_timeout",
        unit: "duration",
        default: "2s",
        range: "50ms to 1m",
        description: "Maximum time of one call of the object API.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.platform.call_timeout,
                parse_duration(text, Duration::from_millis(50), Duration::from_secs(60)),
            )
        },
    },
    SettingKey {
        section: "platform",
        name: "host_list_period",
        unit: "duration",
        default: "1s",
        range: "100ms to 1m",
        description: "Time between reads of the host list.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.platform.host_list_period,
                parse_duration(text, Duration::from_millis(100), Duration::from_secs(60)),
            )
        },
    },
    SettingKey {
        section: "platform",
        name: "calls_per_second",
        unit: "calls/s",
        default: "50",
        range: "1 to 10000",
        description: "Maximum rate of calls of the object API by this host.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.platform.calls_per_second,
                parse_integer(text, 1, 10000).and_then(|value| u32::try_from(value).ok()),
            )
        },
    },
];
