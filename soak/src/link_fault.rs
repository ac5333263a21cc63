//! How links fail.

/// How a link fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Each piece of data is late by this many milliseconds.
    Delay(u64),
    /// Open connections are reset; new ones work.
    Reset,
    /// Open connections are silent for good; new ones work.
    Mute,
    /// Data from the side that connects is held up, and new connections are not established.
    CutThere,
    /// Data from the side that accepts is held up, and new connections are not established.
    CutBack,
    /// Data is held up both ways, and new connections are not established.
    Cut,
    /// Open connections are reset and new ones refused.
    ResetRefuse,
    /// New connections are refused; open ones live on.
    Refuse,
}

impl LinkFault {
    /// Returns whether the link is partitioned.
    pub(crate) fn is_partition(self) -> bool {
        matches!(self, Self::Cut | Self::ResetRefuse | Self::Refuse)
    }

    /// Returns whether new connections are not established, nor refused.
    pub(crate) fn hangs(self) -> bool {
        matches!(self, Self::CutThere | Self::CutBack | Self::Cut)
    }

    /// Returns whether new connections are refused.
    pub(crate) fn refuses(self) -> bool {
        matches!(self, Self::ResetRefuse | Self::Refuse)
    }

    /// Returns whether data is held up that goes to the side that accepts, or from it.
    pub(crate) fn holds(self, goes_there: bool) -> bool {
        match self {
            Self::Cut => true,
            Self::CutThere => goes_there,
            Self::CutBack => !goes_there,
            _ => false,
        }
    }
}
