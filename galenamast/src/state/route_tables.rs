//! The tables from which routing decisions are made.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::state::names::DomainName;
use crate::state::quality_table::QualityTable;
use crate::state::server_table::ServerTable;
use crate::state::time_point::TimePoint;
use crate::state::version_key::VersionKey;

/// Soft state of an entry host at the time of a decision.
#[derive(Clone, Debug, Default)]
pub struct RouteTables {
    /// Failure domain of the deciding entry host.
    pub domain: DomainName,
    /// Backend servers.
    pub servers: ServerTable,
    /// Braked versions, with the time at which each brake expires.
    pub brakes: BTreeMap<VersionKey, TimePoint>,
    /// Versions under roll-out with some evidence against them; their shares are capped.
    pub suspects: BTreeSet<VersionKey>,
    /// Time since the configuration was last confirmed to be the newest.
    pub config_age: Duration,
    /// Observed quality and latency of versions.
    pub quality: Arc<QualityTable>,
    /// Network distance to each other failure domain, as a time.
    pub distances: BTreeMap<DomainName, Duration>,
}
