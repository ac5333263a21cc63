//! The outcome of a routing decision, with a verdict for each candidate version.

use serde::{Deserialize, Serialize};

use crate::state::config_generation::ConfigGeneration;
use crate::state::names::{DomainName, PoolName, ServerName};
use crate::state::version_key::VersionKey;

/// A routing decision with the inputs and verdicts that explain it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDecision {
    /// Generation of the configuration that the decision was made with.
    pub generation: ConfigGeneration,
    /// Seed of the random choices in the decision.
    pub seed: u64,
    /// Where the request goes, or why it is refused.
    pub outcome: RouteOutcome,
    /// Why the version was chosen, if one was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<ChoiceReason>,
    /// Versions that were considered, with their verdicts.
    pub candidates: Vec<VersionReport>,
}

/// Where a request goes, or why it is refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteOutcome {
    /// The request goes to a backend server.
    Dispatch(RouteTarget),
    /// The request goes to a cheap version first, and to a better one if that answer is rated low.
    Cascade(CascadePlan),
    /// No server has room now; the request waits for one.
    Queue(PoolName),
    /// The request is refused without being run.
    Refuse(RefusalReason),
}

/// A backend server and the version that it should run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Version to run.
    pub version: VersionKey,
    /// Pool of the server.
    pub pool: PoolName,
    /// Server that runs the version.
    pub server: ServerName,
    /// Address of the server as `ip:port`.
    pub address: String,
    /// Failure domain of the server.
    pub domain: DomainName,
}

/// The two steps of a cascade.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CascadePlan {
    /// Server and version that answer first.
    pub first: RouteTarget,
    /// Version that answers if the first answer is rated too low.
    pub escalation: VersionKey,
    /// Lowest rating at which the first answer is kept, from 0 to 1.
    pub accept_rating: f64,
}

/// Verdict and estimates of a version that was considered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Version considered.
    pub version: VersionKey,
    /// Whether the version was chosen, and if not, why.
    pub verdict: VersionVerdict,
    /// Estimated mean rating, from 0 to 1.
    pub quality: f64,
    /// Lower confidence bound of the mean rating, from 0 to 1.
    pub quality_bound: f64,
    /// Expected price of the answer, in micro-units of currency.
    pub price: u64,
}

/// Why a version was chosen or rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionVerdict {
    /// The version was chosen.
    Chosen,
    /// The version was eligible and on target, but another one was preferred.
    Outranked,
    /// The lower confidence bound of the version's quality is below the target.
    BelowTarget,
    /// The version was withdrawn.
    Withdrawn,
    /// The version is braked because of evidence against it.
    Braked,
    /// The configuration was last confirmed too long ago for this version.
    Stale,
    /// The session or its random draw fell outside the roll-out's share.
    OutsideShare,
    /// The session is bound to another version.
    NotPinned,
    /// No server of the version takes work.
    NoServer,
    /// All servers of the version are saturated.
    Saturated,
    /// The configuration does not contain the version.
    Unknown,
}

/// Why a request is refused without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The workspace is unknown to the configuration in force.
    UnknownWorkspace,
    /// The workspace may not use the model, or no version of it.
    ModelNotAllowed,
    /// The session's version was withdrawn.
    VersionWithdrawn,
    /// Every allowed version is braked, stale or withdrawn.
    NoEligibleVersion,
    /// No server of an eligible version takes work.
    NoServer,
    /// The servers are full and the request could not wait.
    Overloaded,
    /// The workspace's rate or concurrency limit was reached.
    LimitExceeded,
    /// The request's content crashed servers before.
    Quarantined,
    /// The deadline passed before the request could be dispatched.
    DeadlineExceeded,
    /// The entry host is shutting down.
    ShuttingDown,
    /// The platform cannot be reached, so no claim can be made.
    ClaimUnavailable,
}

/// Why a version was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoiceReason {
    /// The session is bound to the version.
    Pinned,
    /// The version is the cheapest whose quality reaches the target.
    CheapestAdequate,
    /// The version is under roll-out, and the request falls into its share.
    RolledOut,
    /// The version has few ratings, and this request gathers another one.
    Explored,
    /// The version is cheaper but below the target, and takes a share of requests small enough that
    /// the mean quality stays on target.
    Mixed,
    /// No version reaches the target, and this one has the best estimated quality.
    BestAvailable,
    /// The version answers first in a cascade, and a better one answers if the rating is low.
    Cascaded,
}
