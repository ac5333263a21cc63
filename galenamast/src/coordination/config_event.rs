//! Events and actions of the distribution of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::coordination::config_documents::{EncodedObject, ObjectDigest};
use crate::coordination::config_notice::{ConfigEntries, ConfigNotice, ConfigProbe};
use crate::coordination::member_table::MemberTable;
use crate::state::{ConfigGeneration, ConfigImage, HostName, StateError, TimePoint};

/// Where a configuration comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// The platform.
    Platform,
    /// Another entry host.
    Peer(HostName),
}

/// Something that the keeper of the configuration reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigEvent {
    /// Time went on.
    Tick,
    /// The known hosts changed.
    Members(Arc<MemberTable>),
    /// The platform's head was read, or confirmed by a watch that ended without a change.
    HeadRead {
        /// Generation of the head.
        generation: ConfigGeneration,
        /// Digests by entry name.
        entries: BTreeMap<String, ObjectDigest>,
        /// A time at which the head was certainly the newest.
        confirmed: TimePoint,
    },
    /// A watch ended without a change, so that the generation was still the newest.
    HeadUnchanged {
        /// Generation of the watched head.
        generation: ConfigGeneration,
        /// A time at which the head was certainly the newest.
        confirmed: TimePoint,
    },
    /// Another host said that a generation is in force.
    GenerationAnnounced(HostName, ConfigGeneration),
    /// Another host answered a probe that was sent at this time.
    Probed(HostName, ConfigNotice, TimePoint),
    /// Another host did not answer a probe.
    ProbeFailed(HostName),
    /// Another host sent its entries.
    EntriesArrived(HostName, ConfigEntries),
    /// Objects arrived, perhaps fewer than were asked for.
    ObjectsArrived(ConfigSource, Vec<EncodedObject>),
    /// Nothing arrived.
    FetchFailed(ConfigSource),
}

/// Something that the keeper of the configuration wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAction {
    /// Starts or stops to watch the platform's head.
    Watch(bool),
    /// Reads the platform's head once.
    ReadHead,
    /// Probes another host.
    Probe(HostName, ConfigProbe),
    /// Asks another host for the entries that changed since a generation.
    FetchEntries(HostName, ConfigGeneration),
    /// Asks for objects.
    FetchObjects(ConfigSource, Vec<ObjectDigest>),
    /// Puts a configuration into force.
    Adopt(Arc<ConfigImage>),
    /// Tells other hosts that a generation is in force here.
    Announce(ConfigGeneration),
    /// Reports that an older configuration than the one in force was offered.
    ReportRegression(ConfigGeneration),
    /// Reports that an offered configuration is invalid.
    ReportInvalid(ConfigGeneration, Vec<StateError>),
}
