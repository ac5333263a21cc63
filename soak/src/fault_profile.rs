//! Which faults a run plays.

use crate::endless_pacing::draw_endless_pace;
use crate::failure_pacing::draw_failing_pace;
use crate::host_process::HostLimits;
use crate::run_pacing::{draw_pace, draw_silent_pace};
use crate::server_pool::RunPacing;

/// A set of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultProfile {
    /// No faults at hosts.
    Quiet,
    /// Hosts are stopped and started in turn, overlapping.
    Stops,
    /// Configurations follow each other, and hosts get SIGHUP.
    Changes,
    /// Servers drain, leave and are replaced.
    Servers,
    /// Hosts are killed, frozen, stopped and sent SIGHUP.
    Signals,
    /// The store is away, silent or loses its answers, while configurations change and hosts are stopped.
    Store,
    /// Servers often fall silent, while configurations change and hosts are stopped.
    Silences,
    /// Versions are rolled out and configurations move routes and keys, while hosts are stopped.
    Rollouts,
    /// Some hosts pass their requests on to others, while configurations change and hosts are stopped.
    Relays,
    /// Links of hosts fail, and hosts are partitioned from all servers, while configurations change.
    Links,
    /// Servers are often late and often fail, while configurations change and hosts are stopped.
    Failures,
    /// Servers often answer without end, while configurations change and hosts are stopped.
    Endless,
    /// Callers outside the limits press on hosts with little memory, while configurations change and hosts are
    /// stopped.
    Crowd,
    /// All of these but roll-outs, relays, links, failures, endless answers and crowds, with few silences.
    Mixed,
}

impl FaultProfile {
    /// Names of the profiles, as on the command line.
    pub(crate) const NAMES: [&str; 14] = [
        "quiet", "stops", "changes", "servers", "signals", "store", "silences", "rollouts",
        "relays", "links", "failures", "endless", "crowd", "mixed",
    ];

    /// Returns the profile with a name; `Mixed` for unknown names.
    pub(crate) fn of_name(name: &str) -> Self {
        match name {
            "quiet" => Self::Quiet,
            "stops" => Self::Stops,
            "changes" => Self::Changes,
            "servers" => Self::Servers,
            "signals" => Self::Signals,
            "store" => Self::Store,
            "silences" => Self::Silences,
            "rollouts" => Self::Rollouts,
            "relays" => Self::Relays,
            "links" => Self::Links,
            "failures" => Self::Failures,
            "endless" => Self::Endless,
            "crowd" => Self::Crowd,
            _ => Self::Mixed,
        }
    }

    /// Returns whether hosts are stopped in turn.
    pub(crate) fn stops_hosts(self) -> bool {
        matches!(
            self,
            Self::Stops
                | Self::Store
                | Self::Silences
                | Self::Rollouts
                | Self::Relays
                | Self::Failures
                | Self::Endless
                | Self::Crowd
                | Self::Mixed
        )
    }

    /// Returns whether configurations change.
    pub(crate) fn changes_configuration(self) -> bool {
        matches!(
            self,
            Self::Changes
                | Self::Store
                | Self::Silences
                | Self::Links
                | Self::Failures
                | Self::Endless
                | Self::Crowd
                | Self::Mixed
        )
    }

    /// Returns whether servers are replaced.
    pub(crate) fn replaces_servers(self) -> bool {
        matches!(self, Self::Servers | Self::Mixed)
    }

    /// Returns whether versions are rolled out.
    pub(crate) fn rolls_out(self) -> bool {
        self == Self::Rollouts
    }

    /// Returns whether configurations move routes and keys.
    pub(crate) fn moves_routes(self) -> bool {
        matches!(self, Self::Rollouts | Self::Relays)
    }

    /// Returns whether every third host has no path to any server.
    pub(crate) fn strands_hosts(self) -> bool {
        self == Self::Relays
    }

    /// Returns the course of the servers' runs.
    pub(crate) fn pacing(self) -> RunPacing {
        match self {
            Self::Silences | Self::Rollouts | Self::Relays => draw_silent_pace,
            Self::Failures => draw_failing_pace,
            Self::Endless => draw_endless_pace,
            _ => draw_pace,
        }
    }

    /// Returns whether callers outside the limits press on the hosts.
    pub(crate) fn has_crowd(self) -> bool {
        self == Self::Crowd
    }

    /// Returns the resources of a host.
    pub(crate) fn host_limits(self) -> HostLimits {
        if self.has_crowd() {
            HostLimits::SCARCE
        } else {
            HostLimits::USUAL
        }
    }

    /// Returns whether the store fails.
    pub(crate) fn fails_store(self) -> bool {
        self == Self::Store
    }

    /// Returns whether links fail.
    pub(crate) fn fails_links(self) -> bool {
        self == Self::Links
    }

    /// Returns whether hosts get signals without a plan.
    pub(crate) fn signals_hosts(self) -> bool {
        matches!(self, Self::Signals | Self::Mixed)
    }
}
