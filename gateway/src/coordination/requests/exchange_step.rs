//! Decides what follows for a request from the state of all its attempts.
//!
//! Load pattern: servers that are late or silent, beside others that fail, refuse or break off. The request
//! goes on while a server that has it may still respond in time, or another one may be asked. A request that
//! must not run twice is sent again only while no server may have run it.

use crate::coordination::requests::{AttemptLimits, AttemptOutcome, AttemptTally};

/// The attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeState {
    /// Attempts that ended, or whose servers were left.
    pub tally: AttemptTally,
    /// Limits on the attempts.
    pub limits: AttemptLimits,
    /// Number of attempts in progress.
    pub in_progress: u32,
    /// Number of those whose response is not late yet.
    pub in_time: u32,
    /// Number of those at servers that were left before, which the tally counts.
    pub returned: u32,
    /// Whether the latest of them has had half of the time that was left when it began.
    pub has_waited: bool,
    /// How the latest attempt ended.
    pub latest: Option<AttemptOutcome>,
    /// Whether a server's failure can be delivered.
    pub has_failure: bool,
    /// Whether the time left allows another attempt.
    pub has_time: bool,
}

/// Which servers the request can be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextServers {
    /// Whether there is a server that was not tried.
    pub untried: bool,
    /// Whether there is a server that was left while it could still have responded.
    pub left: bool,
    /// Whether the retry budget allows another attempt.
    pub in_budget: bool,
}

/// What to do next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStep {
    /// Send the request to a server that was not tried. States whether it takes a retry from the budget.
    Ask {
        /// Whether a server was sent the request before.
        is_retry: bool,
    },
    /// Send the request once more to a server that was left.
    Return,
    /// Wait for the attempts in progress.
    Wait,
    /// Answer the caller.
    End(FinalAnswer),
}

/// The answer that a caller gets when no server's answer is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request did not run and will not; the caller may send it again later.
    NotRun,
    /// The request may have run, and no complete answer came.
    Unknown,
    /// The deadline passed, and the request may have run.
    TimedOut,
    /// The server's failure is passed on.
    ServerFailure,
}

impl ExchangeState {
    /// Returns whether a server that was not tried may be sent the request.
    const fn may_ask(&self) -> bool {
        let may_have_run = self.tally.runs + self.in_progress - self.returned;
        may_have_run == 0 || (self.limits.retryable && may_have_run < self.limits.runs)
    }

    /// Returns whether another attempt is possible at all.
    fn may_try(&self) -> bool {
        // Without descriptors of its own, the host reaches no other server either.
        let can_connect = self.latest != Some(AttemptOutcome::NotTried);
        let tries = self.tally.tries + self.in_progress;
        can_connect && self.has_time && tries < self.limits.tries
    }

    /// Returns the answer if no further attempt is made.
    const fn final_answer(&self) -> FinalAnswer {
        match self.latest {
            _ if self.has_failure => FinalAnswer::ServerFailure,
            _ if self.tally.runs == 0 => FinalAnswer::NotRun,
            _ if !self.has_time => FinalAnswer::TimedOut,
            Some(AttemptOutcome::Silent | AttemptOutcome::Overdue | AttemptOutcome::Lost) => {
                FinalAnswer::TimedOut
            }
            _ => FinalAnswer::Unknown,
        }
    }
}

/// Returns the next step of a request.
///
/// ```
/// use galenamast_gateway::coordination::requests::{
///     AttemptLimits, AttemptOutcome, AttemptTally, ExchangeState, ExchangeStep, FinalAnswer,
///     NextServers, exchange_step,
/// };
///
/// let mut tally = AttemptTally::default();
/// tally.note(AttemptOutcome::Broken);
/// let state = ExchangeState {
///     tally,
///     limits: AttemptLimits { retryable: true, runs: 2, tries: 6 },
///     in_progress: 1,
///     in_time: 0,
///     returned: 0,
///     has_waited: false,
///     latest: Some(AttemptOutcome::Broken),
///     has_failure: false,
///     has_time: true,
/// };
/// let servers = NextServers { untried: true, left: false, in_budget: true };
/// assert_eq!(exchange_step(&state, servers), ExchangeStep::Wait);
/// let state = ExchangeState { in_progress: 0, ..state };
/// assert_eq!(exchange_step(&state, servers), ExchangeStep::Ask { is_retry: true });
/// let servers = NextServers { untried: false, ..servers };
/// assert_eq!(exchange_step(&state, servers), ExchangeStep::End(FinalAnswer::Unknown));
/// ```
pub fn exchange_step(state: &ExchangeState, servers: NextServers) -> ExchangeStep {
    if state.in_time > 0 {
        return ExchangeStep::Wait;
    }
    if state.may_try() {
        let is_retry = state.tally.arrivals + state.in_progress > 0;
        if servers.untried && state.may_ask() && (servers.in_budget || !is_retry) {
            return ExchangeStep::Ask { is_retry };
        }
        // A server that is late may still respond, unless it is given up for the one that was left.
        let may_return = state.in_progress == 0 || state.has_waited;
        if servers.left && may_return && state.limits.retryable && servers.in_budget {
            return ExchangeStep::Return;
        }
    }
    match state.in_progress {
        0 => ExchangeStep::End(state.final_answer()),
        _ => ExchangeStep::Wait,
    }
}
