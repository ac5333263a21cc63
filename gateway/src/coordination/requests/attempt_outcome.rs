//! Decides what follows from the end of an attempt.
//!
//! Covers servers that fail, refuse, break off or stop answering. A request that must not run twice
//! is retried only while no server may have run it, and the answer to the caller states truthfully
//! whether it may have run.

use crate::coordination::budgets::RetryPurpose;

/// How an attempt ended, if its answer is not delivered as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// This host itself could open no connection, for example because it lacks descriptors.
    NotTried,
    /// The server's demands no longer allowed the host to send the request, so nothing was sent.
    Withheld,
    /// The server stated that the request did not run.
    Rejected,
    /// Another server has the address; the request did not run.
    WrongServer,
    /// A refusal came that may be the late answer to an earlier request on the connection.
    Unproven,
    /// The server answered with a failure.
    Failed,
    /// The answer is not a valid answer of this server to this request.
    Garbled,
    /// The connection broke.
    Broken,
    /// No answer came before the deadline.
    Silent,
    /// No answer came within the usual time, and a retry was taken from the budget in its place.
    Overdue,
    /// The host closed the connection, since servers crash with a part of the prompt.
    Withdrawn,
    /// The server was judged lost while the attempt waited, and a retry was taken from the budget.
    Lost,
    /// The attempt that this one was to replace was answered first.
    Superseded,
}

impl AttemptOutcome {
    /// Returns whether the request may have run.
    pub const fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::NotSent | Self::NotTried | Self::Withheld | Self::Rejected | Self::WrongServer
        )
    }

    /// Returns whether the server or the path to it may be gone.
    pub const fn leaves_doubt(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::Broken | Self::Silent | Self::Overdue | Self::Lost
        )
    }

    /// Returns whether further attempts need a new connection: an open one does not show that its server
    /// is there, or leaves it open which request a refusal belongs to.
    pub const fn doubts_connections(self) -> bool {
        self.leaves_doubt() || matches!(self, Self::Unproven)
    }

    /// Returns whether another attempt was granted in place of this one, whose server may still respond.
    pub const fn is_replaced(self) -> bool {
        matches!(self, Self::Overdue | Self::Lost)
    }

    /// Returns whether something was sent to the server.
    pub const fn reached_server(self) -> bool {
        !matches!(self, Self::NotSent | Self::NotTried | Self::Withheld)
    }
}

/// Limits on the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether the request may be sent again after it may have run.
    pub retryable: bool,
    /// Greatest number of servers that may run it.
    pub runs: u32,
    /// Greatest number of attempts, whether or not the request may have run.
    pub tries: u32,
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTally {
    /// Number of attempts.
    pub tries: u32,
    /// Number of servers that may have run the request.
    pub runs: u32,
    /// Number of attempts that reached a server, whether or not it ran the request.
    pub arrivals: u32,
}

impl AttemptTally {
    /// Counts an attempt that ended.
    pub fn note(&mut self, outcome: AttemptOutcome) {
        self.tries += 1;
        if outcome.may_have_run() {
            self.runs += 1;
        }
        if outcome.reached_server() {
            self.arrivals += 1;
        }
    }

    /// Takes back the count of a replaced attempt, which goes on. Its end is counted anew.
    ///
    /// ```
    /// use galenamast_gateway::coordination::requests::{AttemptOutcome, AttemptTally};
    ///
    /// let mut tally = AttemptTally::default();
    /// tally.note(AttemptOutcome::Overdue);
    /// tally.resume_replaced();
    /// assert_eq!(tally, AttemptTally::default());
    /// ```
    pub fn resume_replaced(&mut self) {
        self.tries = self.tries.saturating_sub(1);
        self.runs = self.runs.saturating_sub(1);
        self.arrivals = self.arrivals.saturating_sub(1);
    }

    /// Returns how many servers may run a request at the next host that it is passed on to. Of three or
    /// more, one is held back, so that the request can be passed on again if that host is lost.
    ///
    /// ```
    /// use galenamast_gateway::coordination::requests::{AttemptLimits, AttemptTally};
    ///
    /// let limits = AttemptLimits { retryable: true, runs: 3, tries: 6 };
    /// let mut tally = AttemptTally::default();
    /// assert_eq!(tally.runs_to_pass_on(&limits), 2);
    /// tally.runs = 2;
    /// assert_eq!(tally.runs_to_pass_on(&limits), 1);
    /// ```
    pub fn runs_to_pass_on(&self, limits: &AttemptLimits) -> u32 {
        let left = limits.runs.saturating_sub(self.runs);
        if limits.retryable && left > 2 {
            left - 1
        } else {
            left.max(1)
        }
    }
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

/// The next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another server, if the retry budget allows it for this purpose. `None` needs no budget,
    /// since the attempt reached no server or the budget was asked before.
    Retry(Option<RetryPurpose>),
    /// Answer the caller.
    End(FinalAnswer),
}

/// Returns the next step after an attempt; `tally` already counts the attempt.
///
/// ```
/// use galenamast_gateway::coordination::requests::{
///     AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, next_step,
/// };
///
/// let limits = AttemptLimits { retryable: false, runs: 1, tries: 6 };
/// let mut tally = AttemptTally::default();
/// tally.note(AttemptOutcome::Broken);
/// let step = next_step(AttemptOutcome::Broken, &tally, &limits);
/// assert_eq!(step, NextStep::End(FinalAnswer::Unknown));
/// ```
pub fn next_step(
    outcome: AttemptOutcome,
    tally: &AttemptTally,
    limits: &AttemptLimits,
) -> NextStep {
    let needs_budget = outcome.reached_server() && !outcome.is_replaced();
    let purpose = needs_budget.then_some(RetryPurpose::Failure);
    let may_run_again = limits.retryable && tally.runs < limits.runs;
    let nothing_ran = tally.runs == 0;
    let is_useful = !matches!(
        outcome,
        AttemptOutcome::Withdrawn | AttemptOutcome::Silent | AttemptOutcome::NotTried
    );
    if is_useful && tally.tries < limits.tries && (nothing_ran || may_run_again) {
        return NextStep::Retry(purpose);
    }
    NextStep::End(final_answer(outcome, tally))
}

/// Returns whether an attempt that is in progress may be given up for another one. An answer that may
/// still come is worth more than none.
///
/// ```
/// use galenamast_gateway::coordination::requests::{AttemptLimits, AttemptTally, may_replace};
///
/// let limits = AttemptLimits { retryable: true, runs: 2, tries: 6 };
/// assert!(may_replace(&AttemptTally::default(), &limits));
/// let used = AttemptTally { tries: 1, runs: 1, ..AttemptTally::default() };
/// assert!(!may_replace(&used, &limits));
/// ```
pub fn may_replace(tally: &AttemptTally, limits: &AttemptLimits) -> bool {
    let outcome = AttemptOutcome::Overdue;
    let mut tally = *tally;
    tally.note(outcome);
    matches!(next_step(outcome, &tally, limits), NextStep::Retry(_))
}

/// Returns whether a request may be sent again to a server that was left because it was late. No attempt
/// is in progress.
///
/// ```
/// use galenamast_gateway::coordination::requests::{AttemptLimits, AttemptTally, may_return};
///
/// let limits = AttemptLimits { retryable: true, runs: 2, tries: 6 };
/// let used = AttemptTally { tries: 2, runs: 1, ..AttemptTally::default() };
/// assert!(may_return(&used, &limits));
/// assert!(!may_return(&AttemptTally { runs: 2, ..used }, &limits));
/// ```
pub const fn may_return(tally: &AttemptTally, limits: &AttemptLimits) -> bool {
    limits.retryable && tally.runs < limits.runs && tally.tries < limits.tries
}

/// Returns the answer to the caller when no further attempt is made.
pub fn final_answer(outcome: AttemptOutcome, tally: &AttemptTally) -> FinalAnswer {
    match outcome {
        AttemptOutcome::Failed => FinalAnswer::ServerFailure,
        _ if tally.runs == 0 => FinalAnswer::NotRun,
        AttemptOutcome::Silent | AttemptOutcome::Overdue | AttemptOutcome::Lost => {
            FinalAnswer::TimedOut
        }
        _ => FinalAnswer::Unknown,
    }
}
