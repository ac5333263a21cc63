//! Events and actions of configuration distribution.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::coordination::config_documents::{EncodedObject, ObjectDigest};
use crate::coordination::config_notice::{ConfigEntries, ConfigNotice, ConfigProbe};
use crate::coordination::member_table::MemberTable;
use crate::state::{ConfigGeneration, ConfigImage, HostName, StateError, TimePoint};

/// Source of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// The platform.
    Platform,
    /// Another entry host.
    Peer(HostName),
}

/// Input of [`ConfigSync`](crate::coordination::ConfigSync).
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigEvent {
    /// A periodic tick.
    Tick,
    /// The known hosts changed.
    Members(Arc<MemberTable>),
    /// The platform's head was read.
    HeadRead {
        /// Generation of the head.
        generation: ConfigGeneration,
        /// Digests by entry name.
        entries: BTreeMap<String, ObjectDigest>,
        /// A time at which the head was known to be the newest.
        confirmed: TimePoint,
    },
    /// A watch ended without a change, so the generation was still the newest.
    HeadUnchanged {
        /// Generation of the watched head.
        generation: ConfigGeneration,
        /// A time at which the head was known to be the newest.
        confirmed: TimePoint,
    },
    /// Another host announced that a generation is in force there.
    GenerationAnnounced(HostName, ConfigGeneration),
    /// Another host answered a probe; the time is when the probe was sent.
    Probed(HostName, ConfigNotice, TimePoint),
    /// Another host did not answer a probe.
    ProbeFailed(HostName),
    /// Another host sent its entries.
    EntriesArrived(HostName, ConfigEntries),
    /// Objects arrived, possibly fewer than requested.
    ObjectsArrived(ConfigSource, Vec<EncodedObject>),
    /// A fetch from this source failed.
    FetchFailed(ConfigSource),
}

/// Action requested by [`ConfigSync`](crate::coordination::ConfigSync).
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAction {
    /// Start (`true`) or stop (`false`) watching the platform's head.
    Watch(bool),
    /// Read the platform's head once.
    ReadHead,
    /// Probe another host.
    Probe(HostName, ConfigProbe),
    /// Request the entries that changed since a generation from another host.
    FetchEntries(HostName, ConfigGeneration),
    /// Request objects from a source.
    FetchObjects(ConfigSource, Vec<ObjectDigest>),
    /// Put a configuration into force.
    Adopt(Arc<ConfigImage>),
    /// Announce to other hosts that a generation is in force here.
    Announce(ConfigGeneration),
    /// Report that the platform's head is older than the configuration in force.
    ReportRegression(ConfigGeneration),
    /// Report that a fetched configuration is invalid.
    ReportInvalid(ConfigGeneration, Vec<StateError>),
}
