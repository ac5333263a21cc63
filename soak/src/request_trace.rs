//! What a caller did and saw for one request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::attempt_end::AttemptEnd;
use crate::request_plan::RequestPlan;

/// A request with its times and its response.
#[derive(Clone, Debug)]
pub(crate) struct RequestTrace {
    /// Identifier of the request.
    pub(crate) id: String,
    /// What the caller intended.
    pub(crate) plan: RequestPlan,
    /// Index of the host.
    pub(crate) host: usize,
    /// Whether the connection had served a request before.
    pub(crate) was_kept: bool,
    /// When the first byte was sent.
    pub(crate) sent: Instant,
    /// When the last byte was sent.
    pub(crate) written: Option<Instant>,
    /// When the head of the response arrived.
    pub(crate) head_at: Option<Instant>,
    /// Status of the response.
    pub(crate) status: Option<u16>,
    /// Headers of the response, with lower-case names.
    pub(crate) headers: BTreeMap<String, String>,
    /// Bytes of the body that arrived.
    pub(crate) body: Vec<u8>,
    /// Bytes that followed a complete response.
    pub(crate) surplus: usize,
    /// How it ended.
    pub(crate) end: AttemptEnd,
    /// When it ended.
    pub(crate) ended: Instant,
}

impl RequestTrace {
    /// Creates the trace of a request that is about to be sent.
    pub(crate) fn new(id: String, plan: RequestPlan, host: usize, was_kept: bool) -> Self {
        let now = Instant::now();
        Self {
            id,
            plan,
            host,
            was_kept,
            sent: now,
            written: None,
            head_at: None,
            status: None,
            headers: BTreeMap::new(),
            body: Vec::new(),
            surplus: 0,
            end: AttemptEnd::Refused,
            ended: now,
        }
    }

    /// Returns a header of the response; empty if it is missing.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns whether the whole response of a success arrived.
    pub(crate) fn is_success(&self) -> bool {
        self.end == AttemptEnd::Answered
            && self
                .status
                .is_some_and(|status| (200..300).contains(&status))
    }

    /// Returns the time from the first byte sent to the end.
    pub(crate) fn lasted(&self) -> Duration {
        self.ended - self.sent
    }

    /// Returns the identifiers of the events in the body, in order.
    pub(crate) fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}
