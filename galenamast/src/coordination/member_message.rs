//! Messages, events and actions of the membership protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::coordination::member_record::MemberRecord;
use crate::state::HostName;

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// The host that sent the message, as it sees itself.
    pub sender: MemberRecord,
    /// What the message asks or answers.
    pub body: MemberBody,
    /// News of other hosts, of bounded size.
    pub updates: Vec<MemberRecord>,
}

/// What a membership message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberBody {
    /// Asks for the hosts that the receiver knows.
    Join,
    /// Answers a join; the updates hold the hosts.
    Welcome,
    /// Asks for an acknowledgement.
    Ping {
        /// Number that the acknowledgement repeats.
        sequence: u64,
    },
    /// Asks the receiver to ping another host.
    PingRequest {
        /// Number that the acknowledgement repeats.
        sequence: u64,
        /// Host to ping.
        target: HostName,
        /// Address of the host to ping.
        address: SocketAddr,
    },
    /// Acknowledges a ping.
    Ack {
        /// Number of the ping or of the request to ping.
        sequence: u64,
        /// Host that answered the ping.
        subject: HostName,
    },
    /// Brings updates alone.
    Gossip,
}

/// Where a message goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Name of the host, if it is known.
    pub name: Option<HostName>,
    /// Address of the host.
    pub address: SocketAddr,
}

/// Something that the membership machine reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// Time went on.
    Tick,
    /// A message arrived from an authenticated host.
    Received(MemberMessage),
    /// An address may be that of an entry host.
    Contact(SocketAddr),
    /// The host is about to leave.
    Leave,
}

/// Something that the membership machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Sends a message, which may be lost.
    Send(PeerTarget, MemberMessage),
    /// Publishes the table, which changed.
    Publish,
    /// Closes the connection to a host that does not answer.
    Disconnect(HostName),
}
