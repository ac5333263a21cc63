//! What entry hosts tell each other of the demand of workspaces.

use serde::{Deserialize, Serialize};

use crate::state::{DomainName, QualityOrigin, WorkspaceName};

/// Demand of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandEntry {
    /// Workspace that asks.
    pub workspace: WorkspaceName,
    /// Requests per second that it offers, refused ones included.
    pub rate: f32,
}

/// Demand that one entry host sees, as far as it changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandDigest {
    /// Host that sees the demand.
    pub origin: QualityOrigin,
    /// Number that grows with each digest of the origin.
    pub sequence: u64,
    /// The demand.
    pub entries: Vec<DemandEntry>,
}

/// Demand that a failure domain sees, as far as it changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DomainDemand {
    /// The failure domain.
    pub domain: DomainName,
    /// Live entry hosts of the failure domain.
    pub hosts: u32,
    /// The demand, told by the host that sums it up.
    pub digest: DemandDigest,
}
