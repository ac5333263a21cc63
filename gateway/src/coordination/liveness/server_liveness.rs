//! Judges servers by the attempts that wait there, their activity and connections to them.
//!
//! Load pattern: a failure domain with a quarter of the servers goes dark under load, with its
//! connections open, while other servers are slow and packets are lost.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::liveness::LivenessSettings;

/// What is known of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerVerdict {
    /// Nothing speaks against it.
    Alive,
    /// A connection to it failed, and it was not active since.
    Doubtful,
    /// It is gone; what waits there need not be waited for.
    Lost,
}

/// How a connection to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server accepted it.
    Accepted,
    /// The server's machine refused it.
    Refused,
    /// Nothing came back in time.
    TimedOut,
    /// This host could not try, so nothing is known of the server.
    NotTried,
}

impl ProbeResult {
    /// Error numbers of a host that lacks descriptors, memory or ports of its own: `ENOMEM`, `ENFILE`,
    /// `EMFILE`, `EADDRNOTAVAIL` and `ENOBUFS`.
    const OWN_ERRORS: [i32; 5] = [12, 23, 24, 99, 105];

    /// Returns what an error shows of the server that was connected to. An error that is neither a refusal
    /// nor this host's own may come from the network in between.
    ///
    /// ```
    /// use std::io::Error;
    ///
    /// use galenamast_gateway::coordination::liveness::ProbeResult;
    ///
    /// let too_many_open_files = Error::from_raw_os_error(24);
    /// assert_eq!(ProbeResult::of_error(&too_many_open_files), ProbeResult::NotTried);
    /// let refused = Error::from_raw_os_error(111);
    /// assert_eq!(ProbeResult::of_error(&refused), ProbeResult::Refused);
    /// ```
    pub fn of_error(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(number) if Self::OWN_ERRORS.contains(&number) => Self::NotTried,
            _ if error.kind() == io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::TimedOut,
        }
    }
}

/// A change of the verdict that is to be logged and applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessChange {
    /// The server is lost.
    Lost {
        /// Attempts that wait for their first byte there.
        waiting: usize,
        /// Time without activity.
        silent_for: Duration,
        /// Connections in a row that failed.
        failures: u32,
    },
    /// The server is active again, after this time.
    Returned(Duration),
}

/// What an attempt that waits for its first byte does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitStep {
    /// Wait for this time, or for a change of a verdict.
    Wait(Duration),
    /// Probe the server for all attempts there.
    Probe,
    /// The server is lost.
    Lost,
}

/// Names an attempt that waits for its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket(u64);

/// An attempt that waits for its first byte.
#[derive(Clone, Copy, Debug)]
struct WaitingAttempt {
    sent_at: TimePoint,
    patience: Duration,
}

/// State of one server.
#[derive(Clone, Debug, Default)]
struct ServerState {
    waiting: BTreeMap<WaitTicket, WaitingAttempt>,
    active_at: Option<TimePoint>,
    // Connections in a row that failed, and whether one of them was refused.
    failures: u32,
    was_refused: bool,
    failed_since: Option<TimePoint>,
    // When a connection broke, a crash was reported or the list removed the server.
    evidence_at: Option<TimePoint>,
    is_probed: bool,
    // When the next probe is due at the earliest, and the pause before the one after it.
    next_probe_at: Option<TimePoint>,
    probe_pause: Duration,
    lost_at: Option<TimePoint>,
    is_removed: bool,
}

impl ServerState {
    /// Returns since when an attempt has waited without activity.
    fn silent_since(&self, attempt: &WaitingAttempt) -> TimePoint {
        self.active_at
            .map_or(attempt.sent_at, |at| at.max(attempt.sent_at))
    }

    /// Returns the longest time for which an attempt has waited without activity.
    fn silent_for(&self, now: TimePoint) -> Duration {
        let attempts = self.waiting.values();
        let times = attempts.map(|attempt| now.since(self.silent_since(attempt)));
        times.max().unwrap_or_default()
    }

    /// Returns whether there is evidence that the server is gone besides its silence.
    fn has_evidence(&self, settings: &LivenessSettings, now: TimePoint) -> bool {
        self.evidence_at
            .is_some_and(|at| now.since(at) < settings.evidence_validity)
    }

    /// Returns when a probe is due for an attempt.
    fn probe_due(
        &self,
        attempt: &WaitingAttempt,
        settings: &LivenessSettings,
        now: TimePoint,
    ) -> TimePoint {
        let patience = if self.failures > 0 || self.has_evidence(settings, now) {
            Duration::ZERO
        } else {
            attempt.patience
        };
        let due = self.silent_since(attempt) + patience;
        self.next_probe_at.map_or(due, |next| next.max(due))
    }

    /// Counts a connection that failed.
    fn count_failure(&mut self, now: TimePoint) {
        self.failures = self.failures.saturating_add(1);
        self.failed_since = self.failed_since.or(Some(now));
    }

    /// Returns whether the failed connections suffice to take the server for lost.
    fn is_gone(&self, settings: &LivenessSettings, now: TimePoint) -> bool {
        if self.was_refused {
            return true;
        }
        if self.has_evidence(settings, now) {
            return self.failures >= settings.min_timeouts_with_evidence;
        }
        let failed_for = self.failed_since.map_or(Duration::ZERO, |at| now.since(at));
        self.failures >= settings.min_timeouts && failed_for >= settings.lost_after
    }

    /// Returns whether the state says nothing and can be dropped.
    fn is_forgettable(&self) -> bool {
        let says_nothing = self.lost_at.is_none() || self.is_removed;
        self.waiting.is_empty() && !self.is_probed && says_nothing
    }
}

/// What is known of the servers at which requests wait, and of those that are lost.
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use galenamast::state::TimePoint;
/// use galenamast_gateway::coordination::liveness::{
///     LivenessSettings, ProbeResult, ServerLiveness, ServerVerdict, WaitStep,
/// };
///
/// let mut liveness = ServerLiveness::new(LivenessSettings::default());
/// let (server, sent_at) = (Arc::from("i-1"), TimePoint::ZERO);
/// let ticket = liveness.record_sent(&server, Duration::from_millis(100), sent_at);
/// let later = sent_at + Duration::from_millis(300);
/// assert_eq!(liveness.next_step(&server, ticket, later), WaitStep::Probe);
/// liveness.record_probe(&server, ProbeResult::Refused, later);
/// assert_eq!(liveness.verdict(&server), ServerVerdict::Lost);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerLiveness {
    settings: LivenessSettings,
    servers: BTreeMap<Arc<str>, ServerState>,
    tickets: u64,
}

impl ServerLiveness {
    /// Creates the state of a host that has sent nothing.
    pub fn new(settings: LivenessSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns what is known of a server.
    pub fn verdict(&self, server: &str) -> ServerVerdict {
        match self.servers.get(server) {
            Some(state) if state.lost_at.is_some() => ServerVerdict::Lost,
            Some(state) if state.failures > 0 => ServerVerdict::Doubtful,
            _ => ServerVerdict::Alive,
        }
    }

    /// Records an attempt that waits for its first byte, which is expected after `expected`. It waits
    /// until [`Self::record_ended`] is called with the ticket.
    pub fn record_sent(
        &mut self,
        server: &Arc<str>,
        expected: Duration,
        now: TimePoint,
    ) -> WaitTicket {
        self.tickets += 1;
        let ticket = WaitTicket(self.tickets);
        let attempt = WaitingAttempt {
            sent_at: now,
            patience: self.settings.patience(expected),
        };
        let state = self.servers.entry(server.clone()).or_default();
        state.waiting.insert(ticket, attempt);
        ticket
    }

    /// Records that an attempt no longer waits for its first byte.
    pub fn record_ended(&mut self, server: &str, ticket: WaitTicket) {
        if let Some(state) = self.servers.get_mut(server) {
            state.waiting.remove(&ticket);
        }
        self.drop_forgettable(server);
    }

    /// Records that a byte of a server arrived.
    pub fn record_byte(&mut self, server: &str, now: TimePoint) -> Option<LivenessChange> {
        let state = self.servers.get_mut(server)?;
        (state.next_probe_at, state.probe_pause) = (None, Duration::ZERO);
        let change = Self::record_activity(state, now);
        self.drop_forgettable(server);
        change
    }

    /// Records how a connection to a server ended that was not a probe. Failures of servers without
    /// waiting attempts say nothing that the attempt itself does not.
    pub fn record_connection(
        &mut self,
        server: &str,
        result: ProbeResult,
        now: TimePoint,
    ) -> Option<LivenessChange> {
        let state = self.servers.get_mut(server)?;
        if result == ProbeResult::NotTried {
            return None;
        }
        if result == ProbeResult::TimedOut {
            // Waited longer than a probe, so its end says less about how long the outage lasts.
            state.count_failure(now);
            return None;
        }
        let change = Self::apply_connection(state, &self.settings, result, now);
        self.drop_forgettable(server);
        change
    }

    /// Records that the list removed a server, which is evidence that it is gone.
    pub fn record_removal(&mut self, server: &str, now: TimePoint) {
        self.record_evidence(server, now);
        if let Some(state) = self.servers.get_mut(server) {
            state.is_removed = true;
        }
        self.drop_forgettable(server);
    }

    /// Records evidence that a server with waiting attempts may be gone: a connection to it broke, or
    /// another host reports its crash.
    pub fn record_evidence(&mut self, server: &str, now: TimePoint) {
        if let Some(state) = self.servers.get_mut(server) {
            state.evidence_at = Some(now);
            state.next_probe_at = None;
        }
    }

    /// Returns what an attempt does next. After [`WaitStep::Probe`] the caller probes the server until
    /// [`Self::record_probe`] wants no further one; meanwhile no other attempt is told to.
    pub fn next_step(&mut self, server: &str, ticket: WaitTicket, now: TimePoint) -> WaitStep {
        let longest = self.settings.max_probe_pause;
        let Some(state) = self.servers.get_mut(server) else {
            return WaitStep::Wait(longest);
        };
        if state.lost_at.is_some() {
            return WaitStep::Lost;
        }
        let Some(attempt) = state.waiting.get(&ticket) else {
            return WaitStep::Wait(longest);
        };
        if state.is_probed {
            return WaitStep::Wait(self.settings.probe_timeout);
        }
        let due = state.probe_due(attempt, &self.settings, now);
        if now < due {
            return WaitStep::Wait(due.since(now).min(longest));
        }
        state.is_probed = true;
        WaitStep::Probe
    }

    /// Records how a probe ended. Returns whether another one is to follow at once, and the change to
    /// log and apply.
    pub fn record_probe(
        &mut self,
        server: &str,
        result: ProbeResult,
        now: TimePoint,
    ) -> (bool, Option<LivenessChange>) {
        let Some(state) = self.servers.get_mut(server) else {
            return (false, None);
        };
        let change = Self::apply_connection(state, &self.settings, result, now);
        if result == ProbeResult::Accepted {
            let pause = state.probe_pause * 2;
            let (shortest, longest) = (self.settings.probe_pause, self.settings.max_probe_pause);
            state.probe_pause = pause.clamp(shortest, longest);
            state.next_probe_at = Some(now + state.probe_pause);
        }
        let goes_on = state.failures > 0 && state.lost_at.is_none() && !state.waiting.is_empty();
        state.is_probed = goes_on;
        self.drop_forgettable(server);
        (goes_on, change)
    }

    /// Forgets that a server was lost, as another one has its place.
    pub fn record_start(&mut self, server: &str) {
        if let Some(state) = self.servers.get_mut(server) {
            (state.lost_at, state.failures, state.was_refused) = (None, 0, false);
            (state.evidence_at, state.is_removed) = (None, false);
            state.failed_since = None;
        }
        self.drop_forgettable(server);
    }

    /// Applies the end of a connection to the state of its server.
    fn apply_connection(
        state: &mut ServerState,
        settings: &LivenessSettings,
        result: ProbeResult,
        now: TimePoint,
    ) -> Option<LivenessChange> {
        match result {
            ProbeResult::Accepted => return Self::record_activity(state, now),
            ProbeResult::NotTried => return None,
            ProbeResult::Refused | ProbeResult::TimedOut => {}
        }
        state.count_failure(now);
        state.was_refused |= result == ProbeResult::Refused;
        if state.lost_at.is_some() || !state.is_gone(settings, now) {
            return None;
        }
        state.lost_at = Some(now);
        Some(LivenessChange::Lost {
            waiting: state.waiting.len(),
            silent_for: state.silent_for(now),
            failures: state.failures,
        })
    }

    /// Records that a server is there.
    fn record_activity(state: &mut ServerState, now: TimePoint) -> Option<LivenessChange> {
        (state.active_at, state.failed_since) = (Some(now), None);
        (state.failures, state.was_refused, state.evidence_at) = (0, false, None);
        let lost_at = state.lost_at.take()?;
        Some(LivenessChange::Returned(now.since(lost_at)))
    }

    /// Drops the state of a server that says nothing.
    fn drop_forgettable(&mut self, server: &str) {
        if self
            .servers
            .get(server)
            .is_some_and(ServerState::is_forgettable)
        {
            self.servers.remove(server);
        }
    }
}
