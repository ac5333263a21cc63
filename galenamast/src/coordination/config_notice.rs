//! What entry hosts tell each other about the configuration that they serve by.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::config_documents::ObjectDigest;
use crate::state::{ConfigGeneration, DomainName, HostName};

/// Asks a host for its configuration and tells the own one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProbe {
    /// Generation that the asking host serves by.
    pub generation: ConfigGeneration,
    /// Time since that generation was confirmed to be the newest.
    pub age: Duration,
}

/// Tells the configuration that a host serves by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigNotice {
    /// Generation that the host serves by.
    pub generation: ConfigGeneration,
    /// Time since that generation was confirmed to be the newest.
    pub age: Duration,
    /// Where generations are in force, as far as the host knows.
    pub domain_progress: Vec<DomainProgress>,
}

/// Which generation is in force throughout a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainProgress {
    /// The failure domain.
    pub domain: DomainName,
    /// Live hosts of the failure domain.
    pub hosts: u32,
    /// Lowest generation that a host of the domain serves by.
    pub lowest: ConfigGeneration,
    /// Hosts at the lowest generation, or not heard of, as far as they fit.
    pub behind: Vec<HostName>,
    /// Time since this was found out.
    pub age: Duration,
}

/// Entries of a configuration, whole or as the difference from an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntries {
    /// Generation of the configuration.
    pub generation: ConfigGeneration,
    /// Generation that the entries are the difference from; `None` if they are whole.
    pub base: Option<ConfigGeneration>,
    /// Digests by entry name.
    pub changed: BTreeMap<String, ObjectDigest>,
    /// Names of the entries that the difference removes.
    pub removed: Vec<String>,
}
