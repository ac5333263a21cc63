//! Tracks the version that last served each live session.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Number of sessions from which ended ones are dropped before another is added.
const CAPACITY: usize = 8_192;

/// The versions that serve live sessions.
#[derive(Clone, Debug)]
pub struct SessionTracker {
    lifetime: Duration,
    sessions: BTreeMap<u64, (Arc<str>, TimePoint)>,
}

impl SessionTracker {
    /// Creates a tracker of sessions that end after `lifetime` without requests.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            sessions: BTreeMap::new(),
        }
    }

    /// Records the version that serves a session.
    pub fn record(&mut self, session: u64, version: &Arc<str>, now: TimePoint) {
        if self.sessions.len() >= CAPACITY {
            let lifetime = self.lifetime;
            self.sessions.retain(|_, (_, at)| now.since(*at) < lifetime);
        }
        self.sessions.insert(session, (version.clone(), now));
    }

    /// Returns the live sessions and their versions.
    pub fn live(&self, now: TimePoint) -> impl Iterator<Item = (u64, &Arc<str>)> {
        let is_live = move |at: &TimePoint| now.since(*at) < self.lifetime;
        let live = self.sessions.iter().filter(move |(_, (_, at))| is_live(at));
        live.map(|(session, (version, _))| (*session, version))
    }

    /// Returns the version of a live session.
    pub fn version(&self, session: u64, now: TimePoint) -> Option<&Arc<str>> {
        let (version, at) = self.sessions.get(&session)?;
        (now.since(*at) < self.lifetime).then_some(version)
    }
}
