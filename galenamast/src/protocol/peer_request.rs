//! Requests from one entry host to another, and their replies.

use serde::{Deserialize, Serialize};

use crate::coordination::{
    ConfigEntries, ConfigNotice, ConfigProbe, CrashNote, EncodedObject, ObjectDigest, UsageCopy,
};
use crate::state::ConfigGeneration;

/// A request to another entry host.
///
/// Variants are encoded by position: add new ones at the end, and never change the shape of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerRequest {
    /// Asks for the configuration in force on the host, and announces the sender's.
    ProbeConfig(ConfigProbe),
    /// Asks for the entries that changed since a generation.
    ReadEntries {
        /// Generation in force on the asking host.
        since: ConfigGeneration,
    },
    /// Asks for configuration objects; the reply contains as many as fit.
    ReadObjects {
        /// Digests of the objects.
        digests: Vec<ObjectDigest>,
    },
    /// Asks the host to store copies of usage records.
    StoreUsage(Vec<UsageCopy>),
    /// Asks which requests crashed servers.
    ReadCrashNotes,
}

impl PeerRequest {
    /// Returns whether the number of such requests grows with the callers' traffic.
    ///
    /// These are not subject to the byte rate limit for control messages.
    ///
    /// ```
    /// use galenamast::protocol::PeerRequest;
    ///
    /// assert!(PeerRequest::StoreUsage(Vec::new()).scales_with_traffic());
    /// assert!(!PeerRequest::ReadObjects { digests: Vec::new() }.scales_with_traffic());
    /// ```
    pub const fn scales_with_traffic(&self) -> bool {
        matches!(self, Self::StoreUsage(_))
    }
}

/// The reply of another entry host.
///
/// Variants are encoded by position: add new ones at the end, and never change the shape of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerReply {
    /// The host does not know the request or cannot answer it now.
    Unsupported,
    /// The request was carried out.
    Done,
    /// The configuration in force on the host.
    ConfigNotice(ConfigNotice),
    /// Entries of the configuration.
    ConfigEntries(ConfigEntries),
    /// Configuration objects.
    ConfigObjects(Vec<EncodedObject>),
    /// Requests that crashed servers, as many as fit.
    CrashNotes(Vec<CrashNote>),
}
