//! Requests that an entry host makes of another one, and their replies.

use serde::{Deserialize, Serialize};

use crate::coordination::{
    ConfigEntries, ConfigNotice, ConfigProbe, CrashNote, EncodedObject, ObjectDigest, UsageCopy,
};
use crate::state::ConfigGeneration;

/// A request of another entry host.
///
/// New variants go to the end, and a variant never changes its shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerRequest {
    /// Asks which configuration the host serves by, and tells it the own one.
    ProbeConfig(ConfigProbe),
    /// Asks for the entries that changed since a generation.
    ReadEntries {
        /// Generation that the asking host serves by.
        since: ConfigGeneration,
    },
    /// Asks for configuration objects; the reply holds as many as fit.
    ReadObjects {
        /// Digests of the objects.
        digests: Vec<ObjectDigest>,
    },
    /// Asks the host to hold a copy of a usage record.
    StoreUsage(UsageCopy),
    /// Asks which requests servers died of.
    ReadCrashNotes,
}

/// The reply of another entry host.
///
/// New variants go to the end, and a variant never changes its shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerReply {
    /// The host does not know the request, or cannot answer it now.
    Unsupported,
    /// The request was carried out.
    Done,
    /// The configuration that the host serves by.
    ConfigNotice(ConfigNotice),
    /// Entries of the configuration.
    ConfigEntries(ConfigEntries),
    /// Configuration objects.
    ConfigObjects(Vec<EncodedObject>),
    /// Requests that servers died of, as many as fit.
    CrashNotes(Vec<CrashNote>),
}
