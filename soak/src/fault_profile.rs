//! Which faults a run plays.

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
    /// All of these.
    Mixed,
}

impl FaultProfile {
    /// Names of the profiles, as on the command line.
    pub(crate) const NAMES: [&str; 6] =
        ["quiet", "stops", "changes", "servers", "signals", "mixed"];

    /// Returns the profile with a name; `Mixed` for unknown names.
    pub(crate) fn of_name(name: &str) -> Self {
        match name {
            "quiet" => Self::Quiet,
            "stops" => Self::Stops,
            "changes" => Self::Changes,
            "servers" => Self::Servers,
            "signals" => Self::Signals,
            _ => Self::Mixed,
        }
    }

    /// Returns whether hosts are stopped in turn.
    pub(crate) fn stops_hosts(self) -> bool {
        matches!(self, Self::Stops | Self::Mixed)
    }

    /// Returns whether configurations change.
    pub(crate) fn changes_configuration(self) -> bool {
        matches!(self, Self::Changes | Self::Mixed)
    }

    /// Returns whether servers are replaced.
    pub(crate) fn replaces_servers(self) -> bool {
        matches!(self, Self::Servers | Self::Mixed)
    }

    /// Returns whether hosts get signals without a plan.
    pub(crate) fn signals_hosts(self) -> bool {
        matches!(self, Self::Signals | Self::Mixed)
    }
}
