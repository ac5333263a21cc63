//! Messages, events and actions of the membership protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::coordination::member_record::MemberRecord;
use crate::state::HostName;

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// Record of the sending host.
    pub sender: MemberRecord,
    /// Request or answer.
    pub body: MemberBody,
    /// Updates about any hosts, of bounded total size; may be empty.
    pub updates: Vec<MemberRecord>,
}

/// Request or answer of a membership message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberBody {
    /// Asks for the hosts that the receiver knows.
    Join,
    /// Answers a join. The updates of the message are the known hosts.
    Welcome,
    /// Asks for an acknowledgement.
    Ping {
        /// Sequence number that the acknowledgement repeats.
        sequence: u64,
    },
    /// Asks the receiver to ping another host.
    PingRequest {
        /// Sequence number that the acknowledgement repeats.
        sequence: u64,
        /// Host to ping.
        target: HostName,
        /// Address of the host to ping.
        address: SocketAddr,
    },
    /// Acknowledges a ping.
    Ack {
        /// Sequence number of the ping or ping request.
        sequence: u64,
        /// Host that answered the ping.
        subject: HostName,
    },
    /// Carries only updates.
    Gossip,
}

/// Destination of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Name of the host; `None` if only its address is known.
    pub name: Option<HostName>,
    /// Address of the host.
    pub address: SocketAddr,
}

/// Input of the membership machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A periodic tick.
    Tick,
    /// A message arrived from an authenticated host.
    Received(MemberMessage),
    /// An address that may belong to an entry host.
    Contact(SocketAddr),
    /// This host is about to leave.
    Leave,
}

/// Action requested by the membership machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message. It may be lost.
    Send(PeerTarget, MemberMessage),
    /// Publish the member table, which changed.
    Publish,
    /// Close the connection to a host that does not answer.
    Disconnect(HostName),
}
