//! Configuration of a model and its versions, as an operator sets it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::names::{ModelName, PoolName, TaskName, VersionName};

/// Configuration of a model.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: ModelName,
    /// Versions of the model.
    pub versions: BTreeMap<VersionName, VersionSpec>,
}

/// Configuration of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct VersionSpec {
    /// Pool of backend servers that run the version.
    pub pool: PoolName,
    /// Stage of the version, which decides what work it takes.
    pub stage: VersionStage,
    /// Price of prompt tokens, in micro-units of currency per thousand.
    pub input_price: u64,
    /// Price of generated tokens, in micro-units of currency per thousand.
    pub output_price: u64,
    /// Mean rating assumed before any answer is rated, from 0 to 1.
    pub prior_quality: f64,
    /// Mean ratings assumed for single tasks before any answer is rated, from 0 to 1; they replace
    /// `prior_quality`.
    pub task_priors: BTreeMap<TaskName, f64>,
    /// Maximum time since the configuration was last confirmed for the version to take new work.
    ///
    /// `None` selects the default of the stage: 10 s under roll-out, unbounded when established.
    pub freshness_bound: Option<Duration>,
    /// Minimum number of replicas that placement keeps in each failure domain of the pool.
    pub min_replicas: u32,
    /// Size of the weights, in mebibytes.
    pub weights_mib: u64,
}

/// Default freshness bound of a version under roll-out.
pub const ROLLOUT_FRESHNESS_BOUND: Duration = Duration::from_secs(10);

impl Default for VersionSpec {
    fn default() -> Self {
        Self {
            pool: PoolName::default(),
            stage: VersionStage::Established,
            input_price: 100,
            output_price: 300,
            prior_quality: 0.8,
            task_priors: BTreeMap::new(),
            freshness_bound: None,
            min_replicas: 1,
            weights_mib: 16_384,
        }
    }
}

impl VersionSpec {
    /// Returns the price of an answer, in micro-units of currency.
    ///
    /// ```
    /// use galenamast::state::VersionSpec;
    ///
    /// let version = VersionSpec { input_price: 1_000, output_price: 2_000, ..Default::default() };
    /// assert_eq!(version.price_of(500, 250), 1_000);
    /// ```
    pub fn price_of(&self, input_tokens: u64, output_tokens: u64) -> u64 {
        (self.input_price * input_tokens + self.output_price * output_tokens).div_ceil(1_000)
    }

    /// Returns the freshness bound in effect; `None` means unbounded.
    pub fn freshness_limit(&self) -> Option<Duration> {
        match self.stage {
            VersionStage::RollingOut => {
                Some(self.freshness_bound.unwrap_or(ROLLOUT_FRESHNESS_BOUND))
            }
            VersionStage::Established | VersionStage::Withdrawn => self.freshness_bound,
        }
    }
}

/// Stage of a version, which decides what work it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionStage {
    /// The version takes any work that a workspace allows.
    #[default]
    Established,
    /// The version takes the share of new sessions that its roll-out grants.
    RollingOut,
    /// The version takes no new work.
    Withdrawn,
}
