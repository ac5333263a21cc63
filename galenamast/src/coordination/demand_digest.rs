//! Messages in which entry hosts exchange the demand of workspaces.

use serde::{Deserialize, Serialize};

use crate::state::{DomainName, QualityOrigin, WorkspaceName};

/// Demand of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandEntry {
    /// Workspace that sends the requests.
    pub workspace: WorkspaceName,
    /// Requests per second, refused ones included.
    pub rate: f32,
}

/// Changes of the demand at one entry host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandDigest {
    /// Host that publishes the digest.
    pub origin: QualityOrigin,
    /// Sequence number, which grows with each digest of the origin.
    pub sequence: u64,
    /// Changed demand by workspace.
    pub entries: Vec<DemandEntry>,
}

/// Changes of the demand in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainDemand {
    /// Failure domain that the demand is summed up for.
    pub domain: DomainName,
    /// Number of live entry hosts in the failure domain.
    pub hosts: u32,
    /// Demand, published by the host that sums it up.
    pub digest: DemandDigest,
}
