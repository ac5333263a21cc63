//! Settings, events and actions of the load tracker.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::coordination::load_digest::{LoadEntry, PoolSummary};
use crate::coordination::load_report::LoadReport;
use crate::state::{DomainName, HostName, ServerName};

/// Settings of the load tracker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSettings {
    /// Number of hosts per failure domain that poll each server.
    pub watchers: usize,
    /// Number of random hosts that a measurement is forwarded to.
    pub fanout: usize,
    /// Time between two shared measurements of a server.
    pub share_period: Duration,
    /// Time without a measurement of a server after which a host polls it itself.
    pub silence_bound: Duration,
    /// Time without a summary after which the local failure domain polls the servers of another
    /// one.
    pub summary_bound: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            watchers: 2,
            fanout: 3,
            share_period: Duration::from_secs(1),
            silence_bound: Duration::from_millis(2_500),
            summary_bound: Duration::from_secs(30),
        }
    }
}

/// Server of the host list that may have to be polled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchTarget {
    /// Name of the server.
    pub name: ServerName,
    /// Failure domain of the server.
    pub domain: DomainName,
}

/// Event that the load tracker handles.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadEvent {
    /// Lists the known entry hosts.
    Members {
        /// Live hosts of the local failure domain, the local host included.
        hosts: BTreeSet<HostName>,
        /// Other failure domains with a live contact.
        domains: BTreeSet<DomainName>,
    },
    /// Lists the servers of the host list.
    Servers(Vec<WatchTarget>),
    /// A poll ended with a report, or with `None` if the server did not answer.
    Polled(ServerName, Option<LoadReport>),
    /// Another host shared measurements.
    Received(Vec<LoadEntry>),
    /// Another failure domain summarized its servers.
    Summary(PoolSummary),
    /// It is time to poll the servers.
    Tick,
    /// It is time to forward new measurements.
    Flush,
}

/// Action that the transport layer performs for the load tracker.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadAction {
    /// Poll a server for its load.
    Poll(ServerName),
    /// Apply a server's load report, whose measurement has this age.
    Report(ServerName, LoadReport, Duration),
    /// Record that a server did not answer.
    Fail(ServerName),
    /// Send measurements to a host of the local failure domain.
    Send(HostName, Vec<LoadEntry>),
}
