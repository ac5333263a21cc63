//! Datagrams between hosts. Any of them may be lost, and hosts of earlier and later builds run side by
//! side while a fleet is upgraded.
//!
//! A datagram is the kind's number followed by its fields in order. The number and the layout of a kind
//! never change: a message with another layout is a new kind at the end, and the old one stays in its
//! place as retired. A host skips and counts the kinds that it does not know, and decides without them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::coordination::placement::{HostLoad, PrefixRead};
use crate::coordination::speeds::SpeedReport;
use crate::protocol::datagram_error::DatagramError;
use crate::state::{
    ColdReport, CrashReport, DemandReport, EvacuationReport, FreshnessReport, PartReport,
    RequestReport, TrialReport,
};

/// Number of kinds of datagrams that this build knows.
const KNOWN_KINDS: u32 = 16;
/// Version of the messages between hosts; it rises with each new kind. Hosts state it in the store, those
/// of earlier builds do not.
pub const WIRE_VERSION: u8 = 3;

/// Contents of a datagram. It is encoded by position, so the order of variants and fields is fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Load that the host puts on servers.
    Loads {
        /// The host's current load on each server.
        loads: Vec<HostLoad>,
        /// Prompt prefixes that engines read for the host since its last report.
        reads: Vec<PrefixRead>,
    },
    /// A server crashed while a request of the host was unanswered there.
    Crash(CrashReport),
    /// The host's counts of a version on trial.
    Trial(TrialReport),
    /// Sessions that the previous version serves during a roll-out.
    HeldSessions(Vec<u64>),
    /// Retired: two layouts of [`Self::Freshness`] were sent under this number.
    RetiredFreshness,
    /// What a server asks of the hosts has changed.
    Demand(DemandReport),
    /// Prompt parts that the host saw answered though servers crashed with them.
    AnsweredParts(Vec<PartReport>),
    /// Prompt parts that the host refuses because servers crash with them.
    RefusedParts(Vec<PartReport>),
    /// Services of which the host reaches no server. Sent within a failure domain.
    LostPaths(Vec<Arc<str>>),
    /// Failure domains that are evacuated, or no longer.
    Evacuations(Vec<EvacuationReport>),
    /// Servers that are cold, which the host learned from the list or an answer.
    ColdServers(Vec<ColdReport>),
    /// Servers of the host's failure domain, by short identifier, that any host is known to have used a
    /// moment ago. Sent to a few hosts of other domains.
    UsedServers(Vec<u32>),
    /// Retired: requests that waited in a host's queue.
    RetiredBacklog,
    /// Lasting speeds of servers by the host's own samples. Sent to one random host at a time.
    Speeds(Vec<SpeedReport>),
    /// The host knew all changes of the store a short time ago. Sent within a failure domain.
    Freshness(FreshnessReport),
    /// Requests that the host holds crashes against. Sent to a few hosts at a time.
    SuspectedRequests(Vec<RequestReport>),
}

impl PeerMessage {
    /// Encodes the message; `None` if it cannot be encoded.
    ///
    /// ```
    /// use galenamast_gateway::protocol::PeerMessage;
    ///
    /// let message = PeerMessage::UsedServers(vec![7, 9]);
    /// let datagram = message.encode().unwrap();
    /// assert_eq!(PeerMessage::decode(&datagram), Ok(message));
    /// ```
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the kind is unknown or retired, or if the content is longer or shorter than
    /// the kind's layout.
    pub fn decode(datagram: &[u8]) -> Result<Self, DatagramError> {
        let (kind, _) =
            postcard::take_from_bytes::<u32>(datagram).map_err(|_| DatagramError::Malformed)?;
        if kind >= KNOWN_KINDS {
            return Err(DatagramError::UnknownKind(kind));
        }
        match postcard::take_from_bytes(datagram) {
            Ok((Self::RetiredFreshness | Self::RetiredBacklog, _)) => {
                Err(DatagramError::UnknownKind(kind))
            }
            Ok((message, [])) => Ok(message),
            Ok(_) | Err(_) => Err(DatagramError::Malformed),
        }
    }
}
