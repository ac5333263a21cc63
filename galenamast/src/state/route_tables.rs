//! The tables that a routing decision reads.

use std::collections::BTreeMap;
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
    /// Versions that are braked, with the time at which the brake expires.
    pub brakes: BTreeMap<VersionKey, TimePoint>,
    /// Time since the configuration was last confirmed to be the newest.
    pub config_age: Duration,
    /// Observed quality and latency of versions.
    pub quality: Arc<QualityTable>,
    /// Network distance to the other failure domains.
    pub distances: BTreeMap<DomainName, Duration>,
}
