//! Messages by which entry hosts exchange the state of their configurations.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::config_documents::ObjectDigest;
use crate::state::{ConfigGeneration, DomainName, HostName};

/// Asks a host for the state of its configuration and reports the sender's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProbe {
    /// Generation in force on the sender.
    pub generation: ConfigGeneration,
    /// Time since that generation was confirmed to be the newest; not used by receivers.
    pub age: Duration,
}

/// Answers a [`ConfigProbe`] with the state of the receiver's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigNotice {
    /// Generation in force on the answering host.
    pub generation: ConfigGeneration,
    /// Time since that generation was confirmed to be the newest.
    pub age: Duration,
    /// Progress of each failure domain, as far as the host knows.
    pub domain_progress: Vec<DomainProgress>,
}

/// How far a failure domain has adopted new configuration generations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainProgress {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Number of live hosts of the failure domain.
    pub hosts: u32,
    /// Lowest generation in force on a host of the domain; the default if a host has not reported.
    pub lowest: ConfigGeneration,
    /// Names of hosts at the lowest generation, up to a limit; empty if no host is behind.
    pub behind: Vec<HostName>,
    /// Time since this was determined.
    pub age: Duration,
}

/// Entries of a configuration, complete or as the difference from an earlier generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntries {
    /// Generation of the configuration.
    pub generation: ConfigGeneration,
    /// Generation that the difference starts from; `None` if the entries are complete.
    pub base: Option<ConfigGeneration>,
    /// Digests of the added or changed entries, by entry name.
    pub changed: BTreeMap<String, ObjectDigest>,
    /// Names of the removed entries; empty if the entries are complete.
    pub removed: Vec<String>,
}
