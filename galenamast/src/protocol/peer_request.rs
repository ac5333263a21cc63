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
    /// Asks the host to hold copies of usage records.
    StoreUsage(Vec<UsageCopy>),
    /// Asks which requests servers died of.
    ReadCrashNotes,
}

impl PeerRequest {
    /// Returns whether the number of such requests follows the callers' traffic.
    ///
    /// These are not held back by the byte rate for control messages.
    ///
    /// ```
    /// use galenamast::protocol::PeerRequest;
    ///
    /// assert!(PeerRequest::StoreUsage(Vec::new()).follows_traffic());
    /// assert!(!PeerRequest::ReadObjects { digests: Vec::new() }.follows_traffic());
    /// ```
    pub const fn scales_with_traffic(&self) -> bool {
        matches!(self, Self::StoreUsage(_))
    }
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
