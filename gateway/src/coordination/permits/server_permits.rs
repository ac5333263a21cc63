//! What backend servers ask of the hosts: limits on the requests that they take.
//!
//! A demand belongs to one start of a server. It outlives the server's entry in the list, which may
//! lapse while the store is unavailable and return unchanged.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::state::ServerDemand;

/// Relative difference from which a limit counts as changed.
const RELEVANT_CHANGE: f64 = 0.05;
/// Time for which the demands of a removed server are kept.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// A change of the limit that a server names, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit before; `None` if there was none.
    pub from: Option<f64>,
    /// Limit from now on; `None` if it ended.
    pub to: Option<f64>,
}

/// A limit and when this host learned of it.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    rate: f64,
    learned_at: TimePoint,
}

/// The demands of one start of a server.
#[derive(Clone, Debug, Default)]
struct PermitEntry {
    started_ms: Option<u64>,
    removed_at: Option<TimePoint>,
    limit: Option<NamedLimit>,
}

/// What is known of the servers' demands.
#[derive(Clone, Debug, Default)]
pub struct ServerPermits {
    entries: BTreeMap<Arc<str>, PermitEntry>,
}

impl ServerPermits {
    /// Records that a server is listed, with the Unix time of its start in milliseconds. The demands
    /// of an earlier start end.
    pub fn record_start(&mut self, server: &Arc<str>, started_ms: Option<u64>) {
        let entry = self.entries.entry(server.clone()).or_default();
        if entry.started_ms != started_ms {
            *entry = PermitEntry::default();
        }
        entry.started_ms = started_ms;
        entry.removed_at = None;
    }

    /// Records that a server is no longer listed, and drops those removed long ago.
    pub fn record_removal(&mut self, server: &str, now: TimePoint) {
        if let Some(entry) = self.entries.get_mut(server) {
            entry.removed_at = Some(now);
        }
        self.entries.retain(|_, entry| {
            let removed_at = entry.removed_at;
            removed_at.is_none_or(|at| now.since(at) < REMOVED_RETENTION)
        });
    }

    /// Records the head of a server's answer to a request that was sent at `sent_at`. Returns the
    /// change of the server's limit, if it is relevant.
    pub fn record_answer(
        &mut self,
        server: &Arc<str>,
        demand: &ServerDemand,
        sent_at: TimePoint,
        now: TimePoint,
    ) -> Option<LimitChange> {
        let entry = self.entries.entry(server.clone()).or_default();
        let Some(rate) = demand.limit else {
            // An answer that was begun before the limit was named does not end it.
            let is_over = |known: &NamedLimit| !demand.malformed && known.learned_at <= sent_at;
            let ended = entry.limit.take_if(|known| is_over(known))?;
            return Some(LimitChange {
                from: Some(ended.rate),
                to: None,
            });
        };
        let learned_at = now;
        let known = entry.limit.replace(NamedLimit { rate, learned_at });
        let from = known.map(|known| known.rate);
        let is_relevant =
            from.is_none_or(|from| (from - rate).abs() > from.max(rate) * RELEVANT_CHANGE);
        is_relevant.then_some(LimitChange {
            from,
            to: Some(rate),
        })
    }

    /// Returns the limit that a server names, in requests per second.
    pub fn limit(&self, server: &str) -> Option<f64> {
        self.entries.get(server)?.limit.map(|limit| limit.rate)
    }
}
