//! Section `[peers]` of the settings file.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use crate::config::setting_key::{
    SettingKey, parse_address, parse_address_list, parse_duration, parse_integer, store,
};

/// Connections to other entry hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersSettings {
    /// Address that other entry hosts connect to.
    pub listen: SocketAddr,
    /// Addresses of entry hosts to contact first.
    pub seeds: Vec<SocketAddr>,
    /// PEM file with the certificate of the host.
    pub certificate: Option<PathBuf>,
    /// PEM file with the private key of the host.
    pub key: Option<PathBuf>,
    /// PEM file with the certificate authority of the entry hosts.
    pub authority: Option<PathBuf>,
    /// File with the serial numbers of revoked certificates, one per line.
    pub revoked: Option<PathBuf>,
    /// Time between membership probes.
    pub probe_period: Duration,
    /// Time that a suspected host has to refute the suspicion.
    pub suspicion_time: Duration,
    /// Maximum rate of control messages to all peers together.
    pub bytes_per_second: u32,
    /// Hosts per failure domain that watch the platform for configuration.
    pub watchers_per_domain: u32,
}

impl Default for PeersSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8082)),
            seeds: Vec::new(),
            certificate: None,
            key: None,
            authority: None,
            revoked: None,
            probe_period: Duration::from_secs(1),
            suspicion_time: Duration::from_secs(4),
            bytes_per_second: 19_000,
            watchers_per_domain: 2,
        }
    }
}

/// Keys of section `[peers]`.
pub(crate) const KEYS: &[SettingKey] = &[
    SettingKey {
        section: "peers",
        name: "listen",
        unit: "ip:port",
        default: "127.0.0.1:8082",
        range: "an IP address and a port; port 0 takes a free one",
        description: "Address that other entry hosts connect to.",
        reloadable: false,
        apply: |settings, text| store(&mut settings.peers.listen, parse_address(text)),
    },
    SettingKey {
        section: "peers",
        name: "seeds",
        unit: "ip:port, ...",
        default: "",
        range: "IP addresses and ports separated by commas",
        description: "Addresses of entry hosts to contact first.",
        reloadable: false,
        apply: |settings, text| store(&mut settings.peers.seeds, parse_address_list(text)),
    },
    SettingKey {
        section: "peers",
        name: "certificate",
        unit: "path",
        default: "",
        range: "a readable file, or empty for none",
        description: "PEM file with the certificate of the host.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.peers.certificate,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
    SettingKey {
        section: "peers",
        name: "key",
        unit: "path",
        default: "",
        range: "a readable file, or empty for none",
        description: "PEM file with the private key of the host.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.peers.key,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
    SettingKey {
        section: "peers",
        name: "authority",
        unit: "path",
        default: "",
        range: "a readable file, or empty for none",
        description: "PEM file with the certificate authority of the entry hosts.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.peers.authority,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
    SettingKey {
        section: "peers",
        name: "revoked",
        unit: "path",
        default: "",
        range: "a readable file, or empty for none",
        description: "File with the serial numbers of revoked certificates, one per line.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.peers.revoked,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
    SettingKey {
        section: "peers",
        name: "probe_period",
        unit: "duration",
        default: "1s",
        range: "100ms to 30s",
        description: "Time between membership probes.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.peers.probe_period,
                parse_duration(text, Duration::from_millis(100), Duration::from_secs(30)),
            )
        },
    },
    SettingKey {
        section: "peers",
        name: "suspicion_time",
        unit: "duration",
        default: "4s",
        range: "500ms to 2m",
        description: "Time that a suspected host has to refute the suspicion.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.peers.suspicion_time,
                parse_duration(text, Duration::from_millis(500), Duration::from_secs(120)),
            )
        },
    },
    SettingKey {
        section: "peers",
        name: "bytes_per_second",
        unit: "bytes/s",
        default: "19000",
        range: "1000 to 100000000",
        description: "Maximum rate of control messages to all peers together.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.peers.bytes_per_second,
                parse_integer(text, 1000, 100000000).and_then(|value| u32::try_from(value).ok()),
            )
        },
    },
    SettingKey {
        section: "peers",
        name: "watchers_per_domain",
        unit: "hosts",
        default: "2",
        range: "1 to 16",
        description: "Hosts per failure domain that watch the platform for configuration.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.peers.watchers_per_domain,
                parse_integer(text, 1, 16).and_then(|value| u32::try_from(value).ok()),
            )
        },
    },
];
