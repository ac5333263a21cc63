//! Section `[operators]` of the settings file.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use crate::config::setting_key::{SettingKey, parse_address, store};

/// Listener for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorsSettings {
    /// Address that operators connect to.
    pub listen: SocketAddr,
    /// PEM file with the certificate chain for operators.
    pub tls_certificate: Option<PathBuf>,
    /// PEM file with the private key for operators.
    pub tls_key: Option<PathBuf>,
    /// PEM file with the certificate authority of operators.
    pub client_authority: Option<PathBuf>,
    /// File with the digests and roles of operator tokens.
    pub tokens_file: Option<PathBuf>,
}

impl Default for OperatorsSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8081)),
            tls_certificate: None,
            tls_key: None,
            client_authority: None,
            tokens_file: None,
        }
    }
}

/// Keys of section `[operators]`.
pub(crate) const KEYS: &[SettingKey] = &[
    SettingKey {
        section: "operators",
        name: "listen",
        unit: "ip:port",
        default: "127.0.0.1:8081",
        range: "an IP address and a port; port 0 takes a free one",
        description: "Address that operators connect to.",
        reloadable: false,
        apply: |settings, text| store(&mut settings.operators.listen, parse_address(text)),
    },
    SettingKey {
        section: "operators",
        name: "tls_certificate",
        unit: "path",
        default: "",
        range: "a readable file, or empty for none",
        description: "PEM file with the certificate chain for operators.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.operators.tls_certificate,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
    SettingKey {
        section: "operators",
        name: "tls_key",
        unit: "path",
        default: "",
        range: "a readable file, or empty for none",
        description: "PEM file with the private key for operators.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.operators.tls_key,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
    SettingKey {
        section: "operators",
        name: "client_authority",
        unit: "path",
        default: "",
        range: "a readable file, or empty for none",
        description: "PEM file with the certificate authority of operators.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.operators.client_authority,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
    SettingKey {
        section: "operators",
        name: "tokens_file",
        unit: "path",
        default: "",
        range: "a readable file, or empty for none",
        description: "File with the digests and roles of operator tokens.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.operators.tokens_file,
                Some((!text.is_empty()).then(|| PathBuf::from(text))),
            )
        },
    },
];
