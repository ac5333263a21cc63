//! Soft state that entry hosts exchange by gossip and that may be lost.

use serde::{Deserialize, Serialize};

use crate::coordination::{
    BrakeNotice, CrashNote, DemandDigest, DomainDemand, EvidenceUpdate, PoolSummary, RatingUpdate,
};
use crate::state::{ConfigGeneration, QualityDigest};

/// An item of soft state.
///
/// Variants are encoded by position: add new ones at the end, and never change the shape of one.
/// Hosts of the previous release skip items that they cannot decode, but still forward them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum SoftState {
    /// A configuration generation is in force on the sending host.
    GenerationAdopted(ConfigGeneration),
    /// A server crashed while it ran a request.
    Crash(CrashNote),
    /// A version was braked and takes no new work.
    Brake(BrakeNotice),
    /// A summary of the servers of a version in another failure domain.
    Pool(PoolSummary),
    /// Sums of ratings and latencies.
    Quality(QualityDigest),
    /// Evidence about the quality of a version.
    Evidence(EvidenceUpdate),
    /// Counts of rated answers.
    Ratings(RatingUpdate),
    /// Demand of workspaces on one host, shared within its failure domain.
    Demand(DemandDigest),
    /// Demand of workspaces in a failure domain, shared with the others.
    DomainDemand(DomainDemand),
}
