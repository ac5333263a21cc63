//! How a request ended for its caller.

/// How a request ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AttemptEnd {
    /// The whole response arrived.
    Answered,
    /// The connection was refused.
    Refused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection was reset before any byte of the response.
    ResetBeforeByte,
    /// The connection was closed before the head of the response was complete.
    ClosedBeforeHead,
    /// The connection ended inside the body.
    CutInBody,
    /// Bytes arrived that are no response.
    NoResponse,
    /// The time limit was reached before the head.
    LimitBeforeHead,
    /// The time limit was reached inside the body.
    LimitInBody,
    /// The caller left on purpose.
    Left,
}

impl AttemptEnd {
    /// Returns the words of a report.
    pub(crate) fn words(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "connection refused",
            Self::ConnectTimeout => "connection not established",
            Self::ResetBeforeByte => "reset before any byte",
            Self::ClosedBeforeHead => "closed before the head",
            Self::CutInBody => "cut in the body",
            Self::NoResponse => "bytes that are no response",
            Self::LimitBeforeHead => "time limit before the head",
            Self::LimitInBody => "time limit in the body",
            Self::Left => "left by the caller",
        }
    }

    /// Returns whether the connection ended without a complete response.
    pub(crate) fn is_cut(self) -> bool {
        matches!(
            self,
            Self::ResetBeforeByte | Self::ClosedBeforeHead | Self::CutInBody
        )
    }
}
