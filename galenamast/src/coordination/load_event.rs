//! Settings, events and actions of the board of server loads.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::coordination::load_digest::{LoadEntry, PoolSummary};
use crate::coordination::load_report::LoadReport;
use crate::state::{DomainName, HostName, ServerName};

/// Settings of the board of server loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSettings {
    /// Hosts of a failure domain that watch each server.
    pub watchers: usize,
    /// Random hosts that a measurement is passed on to.
    pub fanout: usize,
    /// Time between two measurements of a server that are shared.
    pub share_period: Duration,
    /// Silence about a server after which a host asks it itself.
    pub silence_bound: Duration,
    /// Silence of another failure domain after which its servers are asked from here.
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

/// A server of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchTarget {
    /// Name of the server.
    pub name: ServerName,
    /// Failure domain of the server.
    pub domain: DomainName,
}

/// What the board reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadEvent {
    /// The entry hosts that are known.
    Members {
        /// Live hosts of the own failure domain, the own host included.
        hosts: BTreeSet<HostName>,
        /// Other failure domains with a live contact.
        domains: BTreeSet<DomainName>,
    },
    /// The servers that are known.
    Servers(Vec<WatchTarget>),
    /// A server answered or, without a report, did not.
    Polled(ServerName, Option<LoadReport>),
    /// Another host shared measurements.
    Received(Vec<LoadEntry>),
    /// Another failure domain summarized its servers.
    Summary(PoolSummary),
    /// It is time to ask the servers.
    Tick,
    /// It is time to pass on what is new.
    Flush,
}

/// What is to be done for the board.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadAction {
    /// Ask a server for its load.
    Poll(ServerName),
    /// Take in the load of a server with the age of the measurement.
    Report(ServerName, LoadReport, Duration),
    /// Take in that a server did not answer.
    Fail(ServerName),
    /// Send measurements to a host of the own failure domain.
    Send(HostName, Vec<LoadEntry>),
}
