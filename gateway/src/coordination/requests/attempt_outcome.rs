//! How attempts end, and the count of those of one request.

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
    /// Another attempt was answered first.
    Superseded,
    /// The answer was dropped for that of a larger model.
    Doubted,
    /// The host closed the connection, since another server works on the request in place of this one.
    Left,
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

    /// Counts an attempt that ended at a server that was counted before.
    ///
    /// ```
    /// use galenamast_gateway::coordination::requests::{AttemptOutcome, AttemptTally};
    ///
    /// let mut tally = AttemptTally::default();
    /// tally.note(AttemptOutcome::Left);
    /// tally.note_again(AttemptOutcome::Broken);
    /// assert_eq!((tally.tries, tally.runs, tally.arrivals), (2, 1, 2));
    /// ```
    pub fn note_again(&mut self, outcome: AttemptOutcome) {
        let runs = self.runs;
        self.note(outcome);
        self.runs = runs;
    }

    /// Takes back the count of an attempt that goes on. Its end is counted anew.
    ///
    /// ```
    /// use galenamast_gateway::coordination::requests::{AttemptOutcome, AttemptTally};
    ///
    /// let mut tally = AttemptTally::default();
    /// tally.note(AttemptOutcome::Overdue);
    /// tally.take_back();
    /// assert_eq!(tally, AttemptTally::default());
    /// ```
    pub fn take_back(&mut self) {
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
