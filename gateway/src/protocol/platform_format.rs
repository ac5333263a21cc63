//! The seam to a platform: how its messages are read and written.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use thiserror::Error;

use crate::protocol::{ObjectChanges, ObjectKind, ObjectPage, ObjectQuery, StoredObject};
use crate::state::{
    AttemptHead, CallerHead, ConfigSnapshot, HostPresence, RolloutOrder, RolloutReport, ServerEntry,
};

/// A message of the platform cannot be read.
#[derive(Debug, Error)]
pub enum FormatError {
    /// The body is not of the format.
    #[error("a message cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// A field is missing or has no sensible value.
    #[error("field {0} is missing or of no use")]
    Field(&'static str),
}

/// What the head of a backend server's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Identifier of the request that is answered.
    pub request: Option<String>,
    /// Whether the server vouches for the answer.
    pub signed: bool,
    /// Whether the server states that the request did not run.
    pub not_run: bool,
    /// Whether another server has the address.
    pub wrong_server: bool,
    /// The model's opinion of its answer, from 0 to 100.
    pub confidence: Option<f64>,
    /// Time for which the server keeps the connection.
    pub idle_limit: Option<Duration>,
    /// Whether the server closes the connection.
    pub closes: bool,
    /// Whether the body is encoded, which no server does.
    pub encoded: bool,
}

/// How the messages of a platform are read and written.
#[derive(Clone, Copy, Debug)]
pub struct PlatformFormat {
    /// Path on which the host tells whether it takes new connections.
    pub ready_path: &'static str,
    /// Returns the path and query of a read.
    pub query_path: fn(&ObjectQuery) -> String,
    /// Returns the path of an object.
    pub object_path: fn(ObjectKind, &str) -> String,
    /// Returns the path of an object's status.
    pub status_path: fn(ObjectKind, &str) -> String,
    /// Reads a page of a list.
    pub read_page: fn(&[u8]) -> Result<ObjectPage, FormatError>,
    /// Reads the answer to a watch.
    pub read_changes: fn(&[u8]) -> Result<ObjectChanges, FormatError>,
    /// Reads an object.
    pub read_object: fn(&[u8]) -> Result<StoredObject, FormatError>,
    /// Reads the configuration from its object.
    pub read_snapshot: fn(&StoredObject) -> Result<ConfigSnapshot, FormatError>,
    /// Reads a backend server; `None` if the object names none that can be used.
    pub read_server: fn(&StoredObject) -> Option<ServerEntry>,
    /// Reads a roll-out; `None` if the object orders none.
    pub read_rollout: fn(&StoredObject) -> Option<RolloutOrder>,
    /// Writes the report of a roll-out, on condition of the order's revision.
    pub write_rollout: fn(&RolloutOrder, &RolloutReport) -> Vec<u8>,
    /// Reads where a host is reached.
    pub read_presence: fn(&StoredObject) -> Option<HostPresence>,
    /// Writes where a host is reached; its object has the host's name.
    pub write_presence: fn(&HostPresence) -> Vec<u8>,
    /// Reads the head of a caller's request.
    pub read_request: fn(&HeaderMap) -> CallerHead,
    /// Turns a caller's headers into those of an attempt.
    pub write_attempt: fn(&mut HeaderMap, &AttemptHead),
    /// Reads the head of a backend server's answer.
    pub read_answer: fn(StatusCode, &HeaderMap) -> AnswerHead,
}
