//! Faults and planned work, as they were carried out.

use std::time::Instant;

use galenamast_platform_standin::StoreFault;

use crate::host_link::HostLink;
use crate::link_fault::LinkFault;

/// What was done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// SIGTERM was sent to a host.
    Term,
    /// A host was killed because `grace_s` had passed.
    GraceKill,
    /// A host was killed without notice.
    Kill,
    /// A host ended.
    Ended,
    /// A host ended by itself.
    OwnEnd,
    /// A host was started again.
    Start,
    /// SIGHUP was sent to a host.
    Hangup,
    /// A host was frozen.
    Freeze,
    /// A frozen host goes on.
    Thaw,
    /// The store fails in a way.
    StoreFails(StoreFault),
    /// The store works again.
    StoreReturns,
    /// A link of a host fails in a way.
    LinkFails(HostLink, LinkFault),
    /// A link of a host works again.
    LinkHeals(HostLink),
    /// A configuration of a version was written.
    Configuration(u64),
    /// A roll-out of a service to a version was ordered.
    RolloutOrdered(String, String),
    /// A roll-out of a service ended in a state.
    RolloutEnded(String, String),
    /// A server reported that it drains.
    ServerDrains(String),
    /// A server's entry was removed.
    ServerRemoved(String),
    /// A server stopped.
    ServerStopped(String),
    /// A server was started.
    ServerStarted(String),
}

/// A fault with its time.
#[derive(Clone, Debug)]
pub(crate) struct FaultEvent {
    /// When it was carried out.
    pub(crate) at: Instant,
    /// Index of the host that it concerns.
    pub(crate) host: Option<usize>,
    /// What was done.
    pub(crate) kind: FaultKind,
}

impl FaultEvent {
    /// Returns whether it lasts until another event ends it, which is of this kind.
    pub(crate) fn ended_by(&self) -> Option<FaultKind> {
        match self.kind {
            FaultKind::Freeze => Some(FaultKind::Thaw),
            FaultKind::StoreFails(_) => Some(FaultKind::StoreReturns),
            FaultKind::LinkFails(link, _) => Some(FaultKind::LinkHeals(link)),
            _ => None,
        }
    }

    /// Returns whether it is an unplanned impairment.
    pub(crate) fn is_unplanned(&self) -> bool {
        matches!(
            self.kind,
            FaultKind::Kill
                | FaultKind::Freeze
                | FaultKind::Thaw
                | FaultKind::OwnEnd
                | FaultKind::StoreFails(_)
                | FaultKind::StoreReturns
                | FaultKind::LinkFails(..)
                | FaultKind::LinkHeals(_)
        )
    }
}
