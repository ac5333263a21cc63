//! Decides whether a response belongs to the request that waits for it, and what it proves.
//!
//! Covers servers that send a response late or once more on a connection that is kept, where it arrives
//! in place of the response to the next request. Without a request identifier, only the first response
//! on a connection is certain to belong to the request that waits for it.

use galenamast::state::TimePoint;
use http::StatusCode;

use crate::coordination::requests::AttemptOutcome;

/// What ties a response to the request that waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOrigin {
    /// The response names the request.
    Named,
    /// The response names no request, and its connection carried no other one.
    Sole,
    /// The response names no request, and its connection carried earlier ones.
    Unclear,
    /// The response names another request.
    Foreign,
}

impl ResponseOrigin {
    /// Returns the origin of a response that names the request `named`, read for `request` on a
    /// connection that carried other requests before if `is_reused`.
    pub fn new(named: Option<&str>, request: &str, is_reused: bool) -> Self {
        match named {
            Some(named) if named == request => Self::Named,
            Some(_) => Self::Foreign,
            None if is_reused => Self::Unclear,
            None => Self::Sole,
        }
    }

    /// Returns whether the response certainly belongs to the request.
    pub const fn is_certain(self) -> bool {
        matches!(self, Self::Named | Self::Sole)
    }

    /// Returns the earliest time at which the server stated what the response to a request sent at
    /// `sent_at` asks of the hosts; `None` if the response must not count. One that may be late adds
    /// demands, and ends none.
    pub fn stated_after(self, sent_at: TimePoint) -> Option<TimePoint> {
        match self {
            Self::Named | Self::Sole => Some(sent_at),
            Self::Unclear => Some(TimePoint::ZERO),
            Self::Foreign => None,
        }
    }
}

/// Returns whether a status promises the caller that the request did not run.
pub const fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// What the head of a response states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadStatement {
    /// Whether another server than the intended one responds, which did not run the request.
    pub wrong_server: bool,
    /// Whether the request did not run.
    pub not_run: bool,
    /// Whether the response can be delivered if it names the request.
    pub is_deliverable: bool,
}

/// Checks the head of a response.
///
/// ```
/// use galenamast_gateway::coordination::requests::{
///     AttemptOutcome, HeadStatement, ResponseOrigin, check_statement,
/// };
///
/// let refusal = HeadStatement { not_run: true, ..HeadStatement::default() };
/// let on_new = ResponseOrigin::new(None, "r-1", false);
/// assert_eq!(check_statement(on_new, refusal), Err(AttemptOutcome::Rejected));
/// let on_reused = ResponseOrigin::new(None, "r-1", true);
/// assert_eq!(check_statement(on_reused, refusal), Err(AttemptOutcome::Unproven));
/// ```
///
/// # Errors
///
/// Returns the outcome of the attempt if the response cannot be delivered.
pub fn check_statement(
    origin: ResponseOrigin,
    statement: HeadStatement,
) -> Result<(), AttemptOutcome> {
    let is_refusal = statement.wrong_server || statement.not_run;
    match origin {
        ResponseOrigin::Foreign => Err(AttemptOutcome::Garbled),
        ResponseOrigin::Unclear if is_refusal => Err(AttemptOutcome::Unproven),
        _ if statement.wrong_server => Err(AttemptOutcome::WrongServer),
        _ if statement.not_run => Err(AttemptOutcome::Rejected),
        ResponseOrigin::Named if statement.is_deliverable => Ok(()),
        _ => Err(AttemptOutcome::Garbled),
    }
}
