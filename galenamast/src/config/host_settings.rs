//! Section `[host]` of the settings file.

use crate::config::setting_key::{SettingKey, parse_name, store};
use crate::state::{DomainName, HostName};

/// Name and location of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the entry host, unique in the fleet.
    pub name: HostName,
    /// Failure domain of the entry host.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: String,
}

impl Default for HostSettings {
    fn default() -> Self {
        Self {
            name: HostName::default(),
            domain: DomainName::default(),
            region: String::from("local"),
        }
    }
}

/// Keys of section `[host]`.
pub(crate) const KEYS: &[SettingKey] = &[
    SettingKey {
        section: "host",
        name: "name",
        unit: "name",
        default: "",
        range: "a name of at most 64 letters, digits and `._-`",
        description: "Name of the entry host, unique in the fleet.",
        reloadable: false,
        apply: |settings, text| store(&mut settings.host.name, parse_name(text).map(HostName::new)),
    },
    SettingKey {
        section: "host",
        name: "domain",
        unit: "name",
        default: "",
        range: "a name of at most 64 letters, digits and `._-`",
        description: "Failure domain of the entry host.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.host.domain,
                parse_name(text).map(DomainName::new),
            )
        },
    },
    SettingKey {
        section: "host",
        name: "region",
        unit: "name",
        default: "local",
        range: "a name of at most 64 letters, digits and `._-`",
        description: "Region of the failure domain.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.host.region,
                parse_name(text).map(String::from),
            )
        },
    },
];
