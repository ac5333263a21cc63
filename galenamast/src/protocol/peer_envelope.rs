//! Framing of the messages between entry hosts: a version byte, then the postcard encoding.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::coordination::{GossipItem, LoadEntry, MemberMessage};
use crate::protocol::protocol_error::ProtocolError;

/// Version of the framing; a host rejects messages of any other version.
pub const FRAME_VERSION: u8 = 1;

/// A message that is sent without a reply and may be lost.
///
/// Variants are encoded by position: add new ones at the end, and never change the shape of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum PeerMessage {
    /// A message of the membership protocol.
    Member(MemberMessage),
    /// Items of soft state, spread by gossip.
    Gossip(Vec<GossipItem>),
    /// Measurements of the load of backend servers.
    Loads(Vec<LoadEntry>),
}

/// Encodes a message.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded.
///
/// ```
/// use galenamast::protocol::{PeerMessage, decode_frame, encode_frame};
///
/// let bytes = encode_frame(&PeerMessage::Gossip(Vec::new()))?;
/// assert_eq!(decode_frame(&bytes)?, Some(PeerMessage::Gossip(Vec::new())));
/// // A variant that a later release added is skipped.
/// assert_eq!(decode_frame::<PeerMessage>(&[1, 99])?, None);
/// # Ok::<(), galenamast::protocol::ProtocolError>(())
/// ```
pub fn encode_frame(message: &impl Serialize) -> Result<Vec<u8>, ProtocolError> {
    postcard::to_extend(message, vec![FRAME_VERSION]).map_err(|error| ProtocolError::Invalid {
        what: "peer message",
        reason: error.to_string(),
    })
}

/// Decodes a message; `None` if this release cannot decode its content.
///
/// # Errors
///
/// Returns an error if the frame is empty or of another version.
pub fn decode_frame<T: DeserializeOwned>(bytes: &[u8]) -> Result<Option<T>, ProtocolError> {
    match bytes.split_first() {
        Some((&FRAME_VERSION, rest)) => Ok(postcard::from_bytes(rest).ok()),
        _ => Err(ProtocolError::Invalid {
            what: "peer message",
            reason: "the frame is empty or of an unsupported version".into(),
        }),
    }
}
