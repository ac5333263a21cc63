//! Computes how many replicas of each version a failure domain needs.

use std::collections::BTreeMap;

use crate::coordination::placement_input::{PlacementSettings, ReplicaCount, VersionDemand};
use crate::state::{
    ConfigImage, ModelSpec, PoolName, RolloutSpec, VersionKey, VersionSpec, VersionStage,
};

/// Returns the replicas that each version needs. Withdrawn versions need none.
///
/// ```
/// use galenamast::coordination::placement_needs::required_replicas;
/// use galenamast::state::ConfigImage;
///
/// let image = ConfigImage::default();
/// let needs = required_replicas(&image, &Default::default(), &Default::default());
/// assert!(needs.is_empty());
/// ```
pub fn required_replicas(
    image: &ConfigImage,
    demand: &VersionDemand,
    settings: &PlacementSettings,
) -> BTreeMap<VersionKey, ReplicaCount> {
    let mut needs = BTreeMap::new();
    for model in image.models.values() {
        for (name, spec) in &model.versions {
            let key = VersionKey {
                model: model.name.clone(),
                version: name.clone(),
            };
            let expected = expected_demand(image, model, &key, demand);
            needs.insert(key, replicas_for(image, spec, expected, settings));
        }
    }
    needs
}

/// Returns the demand that a version is expected to serve: its own, or its share of the model's
/// demand at the next step of its roll-out if that is more.
fn expected_demand(
    image: &ConfigImage,
    model: &ModelSpec,
    key: &VersionKey,
    demand: &VersionDemand,
) -> f64 {
    let own = demand.get(key).copied().unwrap_or(0.0);
    let Some(rollout) = image.rollout_of(&key.model, &key.version) else {
        return own;
    };
    let of_model = |(other, _): &(&VersionKey, &f64)| other.model == model.name;
    let total: f64 = demand.iter().filter(of_model).map(|(_, value)| value).sum();
    own.max(total * f64::from(next_share(rollout)) / 1_000.0)
}

/// Returns the share of a roll-out's next step in thousandths, but no less than the current share.
///
/// After the last step it is the current share.
pub fn next_share(rollout: &RolloutSpec) -> u32 {
    let next = rollout.step as usize + 1;
    let share = rollout.step_shares.get(next);
    share
        .copied()
        .unwrap_or_else(|| rollout.current_share())
        .max(rollout.current_share())
}

/// Returns the replicas that one version needs for a demand.
fn replicas_for(
    image: &ConfigImage,
    spec: &VersionSpec,
    demand: f64,
    settings: &PlacementSettings,
) -> ReplicaCount {
    if spec.stage == VersionStage::Withdrawn {
        return ReplicaCount::default();
    }
    let minimum = spec.min_replicas as usize;
    let slots = slots_per_server_of(image, &spec.pool) * settings.target_utilization;
    // Demand is finite and small, so the conversion is exact.
    let for_demand = (demand / slots.max(f64::MIN_POSITIVE)).ceil() as usize;
    ReplicaCount {
        minimum,
        needed: for_demand.max(minimum),
        ..Default::default()
    }
}

/// Returns the slots of one server of a pool.
fn slots_per_server_of(image: &ConfigImage, pool: &PoolName) -> f64 {
    let slots = image.pools.get(pool).map(|pool| pool.slots_per_server);
    f64::from(slots.unwrap_or(1).max(1))
}
