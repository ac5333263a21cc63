//! Errors of decoding datagrams of other hosts.

/// Why a datagram was skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// Its kind is one of a later build, or one that is no longer used.
    #[error("the datagram has the unknown kind {0}")]
    UnknownKind(u32),
    /// Its content does not have the kind's layout.
    #[error("the datagram is malformed")]
    Malformed,
}
