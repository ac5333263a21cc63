//! Soft state that entry hosts tell each other and that may be lost.

use serde::{Deserialize, Serialize};

use crate::coordination::{
    BrakeNotice, CrashNote, DemandDigest, DomainDemand, EvidenceUpdate, PoolSummary, RatingUpdate,
};
use crate::state::{ConfigGeneration, QualityDigest};

/// A piece of soft state.
///
/// New variants go to the end, and a variant never changes its shape: hosts of the previous release
/// skip what they cannot read, and still pass it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum SoftState {
    /// A configuration generation is in force on the sending host.
    GenerationAdopted(ConfigGeneration),
    /// A server died while it ran a request.
    Crash(CrashNote),
    /// A version takes no new work.
    Brake(BrakeNotice),
    /// The servers of a version in another failure domain.
    Pool(PoolSummary),
    /// Sums of ratings and latencies.
    Quality(QualityDigest),
    /// Evidence on a version.
    Evidence(EvidenceUpdate),
    /// Counts of rated answers.
    Ratings(RatingUpdate),
    /// Demand of workspaces on one host, for its own failure domain.
    Demand(DemandDigest),
    /// Demand of workspaces in a failure domain, for the other ones.
    DomainDemand(DomainDemand),
}
