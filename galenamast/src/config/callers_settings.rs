//! Section `[callers]` of the settings file.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use crate::config::setting_key::{SettingKey, parse_address, parse_duration, parse_integer, store};

/// Listener and limits for callers.
#[derive(Clone, Debug, PartialEq)]
pub struct CallersSettings {
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum size of the request headers.
    pub max_header_bytes: usize,
    /// Maximum number of requests in flight on the host.
    pub max_streams: u32,
    /// Maximum time that a caller may take to send a request.
    pub read_timeout: Duration,
    /// Maximum time that a caller may leave an answer unread.
    pub write_timeout: Duration,
    /// Deadline of a request that does not set one.
    pub default_deadline: Duration,
    /// PEM file with the certificate chain for callers.
    pub tls_certificate: Option<PathBuf>,
    /// PEM file with the private key for callers.
    pub tls_key: Option<PathBuf>,
}

impl Default for CallersSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8080)),
            max_body_bytes: 1_048_576,
            max_header_bytes: 16_384,
            max_streams: 10_000,
            read_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
            default_deadline: Duration::from_secs(60),
            tls_certificate: None,
            tls_key: None,
        }
    }
}

/// Keys of section `[callers]`.
pub(crate) const KEYS: &[SettingKey] = &[
    SettingKey {
        section: "callers",
        name: "listen",
        unit: "ip:port",
        default: "127.0.0.1:8080",
        range: "an IP address and a port; port 0 takes a free one",
        description: "Address that callers connect to.",
        reloadable: false,
        apply: |settings, text| store(&mut settings.callers.listen, parse_address(text)),
    },
    SettingKey {
        section: "callers",
        name: "max_body_bytes",
        unit: "bytes",
        default: "1048576",
        range: "1024 to 67108864",
        description: "Maximum size of a request body.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.callers.max_body_bytes,
                parse_integer(text, 1024, 67108864).and_then(|value| usize::try_from(value).ok()),
            )
        },
    },
    SettingKey {
        section: "callers",
        name: "max_header_bytes",
        unit: "bytes",
        default: "16384",
        range: "4096 to 262144",
        description: "Maximum size of the request headers.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.callers.max_header_bytes,
                parse_integer(text, 4096, 262144).and_then(|value| usize::try_from(value).ok()),
            )
        },
    },
    SettingKey {
        section: "callers",
        name: "max_streams",
        unit: "requests",
        default: "10000",
        range: "1 to 1000000",
        description: "Maximum number of requests in flight on the host.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.callers.max_streams,
                parse_integer(text, 1, 1000000).and_then(|value| u32::try_from(value).ok()),
            )
        },
    },
    SettingKey {
        section: "callers",
        name: "read_timeout",
        unit: "duration",
        default: "10s",
        range: "100ms to 5m",
        description: "Maximum time that a caller may take to send a request.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.callers.read_timeout,
                parse_duration(text, Duration::from_millis(100), Duration::from_secs(300)),
            )
        },
    },
    SettingKey {
        section: "callers",
        name: "write_timeout",
        unit: "duration",
        default: "30s",
        range: "100ms to 10m",
        description: "Maximum time that a caller may leave an answer unread.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.callers.write_timeout,
                parse_duration(text, Duration::from_millis(100), Duration::from_secs(600)),
            )
        },
    },
    SettingKey {
        section: "callers",
        name: "default_deadline",
        unit: "duration",
        default: "60s",
        range: "100ms to 1h",
        description: "Deadline of a request that does not set one.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.callers.default_deadline,
                parse_duration(text, Duration::from_millis(100), Duration::from_secs(3600)),
            )
        },
    },
    SettingKey {
        section: "callers",
        name: "tls_certificate",
        unit: "path",
        default: "",
        range: "a readable file, or empty for none",
        description: "PEM file with the certificate chain for callers.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.callers.tls_certificate,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
    SettingKey {
        section: "callers",
        name: "tls_key",
        unit: "path",
        default: "",
        range: "a readable file, or empty for none",
        description: "PEM file with the private key for callers.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.callers.tls_key,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
];
