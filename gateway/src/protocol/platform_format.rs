//! Interface to a platform: how its messages are read and written.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use thiserror::Error;

use crate::protocol::{ObjectChanges, ObjectKind, ObjectPage, ObjectQuery, StoredObject};
use crate::state::{
    AttemptHead, CallerHead, ConfigSnapshot, HostPresence, RolloutOrder, RolloutReport,
    ServerDemand, ServerEntry,
};

/// A message of the platform cannot be read.
#[derive(Debug, Error)]
pub enum FormatError {
    /// The body does not have the expected format.
    #[error("failed to decode a platform message: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// A field is missing or invalid.
    #[error("field `{0}` is missing or invalid")]
    Field(&'static str),
    /// The decoder panicked.
    #[error("the decoder panicked")]
    Panicked,
}

/// Contents of the head of a backend server's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Identifier of the answered request, if stated.
    pub request: Option<String>,
    /// Whether the answer carries the server's signature.
    pub signed: bool,
    /// Whether the server states that the request did not run.
    pub not_run: bool,
    /// Whether the server states that it is not the intended one.
    pub wrong_server: bool,
    /// The model's confidence in its answer, from 0 to 100, if stated.
    pub confidence: Option<f64>,
    /// Time for which the server keeps an idle connection open, if stated.
    pub idle_limit: Option<Duration>,
    /// Whether the server closes the connection after the answer.
    pub closes: bool,
    /// What the server asks of the hosts.
    pub demand: ServerDemand,
    /// Time for which the server stays cold, if stated.
    pub cold_for: Option<Duration>,
    /// Whether the body has a content encoding; no backend server uses one.
    pub encoded: bool,
}

/// Functions that read and write the messages of a platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformFormat {
    /// Path on which the host reports whether it accepts new connections.
    pub ready_path: &'static str,
    /// Returns the path and query string of a read from the store.
    pub query_path: fn(&ObjectQuery) -> String,
    /// Returns the path of an object.
    pub object_path: fn(ObjectKind, &str) -> String,
    /// Returns the path of an object's status.
    pub status_path: fn(ObjectKind, &str) -> String,
    /// Reads the store's era from the head of its response; `None` if it states none.
    pub read_era: fn(&HeaderMap) -> Option<u64>,
    /// Reads one page of a list of an era.
    pub read_page: fn(&[u8], u64) -> Result<ObjectPage, FormatError>,
    /// Reads the answer to a watch.
    pub read_changes: fn(&[u8], u64) -> Result<ObjectChanges, FormatError>,
    /// Reads an object.
    pub read_object: fn(&[u8], u64) -> Result<StoredObject, FormatError>,
    /// Reads the configuration from its object.
    pub read_snapshot: fn(&StoredObject) -> Result<ConfigSnapshot, FormatError>,
    /// Reads a backend server.
    pub read_server: fn(&StoredObject) -> Result<ServerEntry, FormatError>,
    /// Reads a roll-out.
    pub read_rollout: fn(&StoredObject) -> Result<RolloutOrder, FormatError>,
    /// Writes the report on a roll-out, on condition that the order's revision is unchanged.
    pub write_rollout: fn(&RolloutOrder, &RolloutReport) -> Vec<u8>,
    /// Reads the address of a host.
    pub read_presence: fn(&StoredObject) -> Result<HostPresence, FormatError>,
    /// Writes the address of a host; the object has the host's name.
    pub write_presence: fn(&HostPresence) -> Vec<u8>,
    /// Reads the head of a caller's request.
    pub read_request: fn(&HeaderMap) -> CallerHead,
    /// Turns a caller's headers into those of an attempt.
    pub write_attempt: fn(&mut HeaderMap, &AttemptHead),
    /// Sets the time that is left in a caller's headers.
    pub write_time_left: fn(&mut HeaderMap, Duration),
    /// Replaces the last event that the sender of a request has received.
    pub write_resume_after: fn(&mut HeaderMap, u64),
    /// Sets the model that a request is to run on.
    pub write_model: fn(&mut HeaderMap, &str),
    /// Reads the head of a backend server's answer.
    pub read_answer: fn(StatusCode, &HeaderMap) -> AnswerHead,
    /// Reads the name of an evacuated failure domain; `None` if the object names none.
    pub read_evacuation: fn(&StoredObject) -> Option<Arc<str>>,
}
