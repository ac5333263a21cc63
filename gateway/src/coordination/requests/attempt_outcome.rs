//! What follows from the end of an attempt.
//!
//! Answers servers that fail, refuse, break off or fall silent: a request that may not repeat goes
//! on only while nothing of it may have run, and what the caller is told about this is true.

use crate::coordination::budgets::RetryPurpose;

/// How an attempt ended without an answer that is delivered as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No connection was made, so that nothing was sent.
    NotSent,
    /// The server stated that the request did not run.
    Rejected,
    /// Another server has the address; the request did not run.
    WrongServer,
    /// The server answered with a failure.
    Failed,
    /// The answer is not the server's whole answer to this request.
    Garbled,
    /// The connection broke.
    Broken,
    /// No answer came within the time that is usual.
    Silent,
}

impl AttemptOutcome {
    /// Returns whether the request may have run.
    pub const fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::Rejected | Self::WrongServer)
    }

    /// Returns whether the attempt reached a server.
    pub const fn arrived(self) -> bool {
        !matches!(self, Self::NotSent)
    }
}

/// Bounds on the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether the request may be sent again after it may have run.
    pub retryable: bool,
    /// Greatest number of servers that may run it.
    pub runs: u32,
    /// Greatest number of servers that are asked, whether they run it or not.
    pub tries: u32,
}

/// What was tried so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTally {
    /// Servers that were asked.
    pub tries: u32,
    /// Servers that may have run the request.
    pub runs: u32,
}

impl AttemptTally {
    /// Takes in the end of an attempt.
    pub fn note(&mut self, outcome: AttemptOutcome) {
        self.tries += 1;
        if outcome.may_have_run() {
            self.runs += 1;
        }
    }
}

/// The answer that a caller gets when no server's answer is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request did not run and will not; it may come again later.
    NotRun,
    /// It may have run, and no whole answer came.
    Unknown,
    /// Its time passed, and it may have run.
    TimedOut,
    /// The server's failure is passed on.
    ServerFailure,
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Another server is asked, if the budget allows a repeat for this purpose.
    Retry(Option<RetryPurpose>),
    /// The caller is answered.
    End(FinalAnswer),
}

/// Returns what follows from the end of an attempt; `tally` includes it.
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
    let purpose = outcome.arrived().then_some(RetryPurpose::Failure);
    let may_run_again = limits.retryable && tally.runs < limits.runs;
    let nothing_ran = tally.runs == 0;
    if tally.tries < limits.tries && (nothing_ran || may_run_again) {
        return NextStep::Retry(purpose);
    }
    NextStep::End(final_answer(outcome, tally))
}

/// Returns what a caller is told when nothing else is tried.
pub fn final_answer(outcome: AttemptOutcome, tally: &AttemptTally) -> FinalAnswer {
    match outcome {
        AttemptOutcome::Failed => FinalAnswer::ServerFailure,
        _ if tally.runs == 0 => FinalAnswer::NotRun,
        AttemptOutcome::Silent => FinalAnswer::TimedOut,
        _ => FinalAnswer::Unknown,
    }
}
