//! Conversion of configuration objects between the operator protocol and the state layer.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::ConfigObject;
use crate::generated::operator as wire;
use crate::protocol::operator_rollout::{rollout_from_wire, rollout_to_wire};
use crate::protocol::protocol_error::ProtocolError;
use crate::state::{
    ConfigImage, KeyDigest, ModelName, ModelSpec, ObjectiveWeights, PoolKind, PoolSpec,
    ServiceRule, ServiceSpec, TaskName, VersionKey, VersionName, VersionSpec, VersionStage,
    WithdrawnPolicy, WorkspaceLimits, WorkspaceSpec,
};

/// Lists the objects of a configuration that may be shown to operators, ordered by kind and name.
///
/// The keys of session tokens are secret and therefore omitted.
pub fn image_objects(image: &ConfigImage) -> Vec<ConfigObject> {
    let mut objects = Vec::new();
    let workspaces = image.workspaces.values();
    objects.extend(workspaces.map(|spec| ConfigObject::Workspace(spec.as_ref().clone())));
    let models = image.models.values();
    objects.extend(models.map(|spec| ConfigObject::Model(spec.as_ref().clone())));
    let pools = image.pools.values();
    objects.extend(pools.map(|spec| ConfigObject::Pool(spec.as_ref().clone())));
    let services = image.services.values();
    objects.extend(services.map(|spec| ConfigObject::Service(spec.as_ref().clone())));
    let rollouts = image.rollouts.values();
    objects.extend(rollouts.map(|spec| ConfigObject::Rollout(spec.as_ref().clone())));
    objects
}

/// Converts an object to the wire form; the keys of session tokens are secret and become an empty
/// object.
///
/// ```
/// use galenamast::coordination::ConfigObject;
/// use galenamast::protocol::operator_objects::{object_from_wire, object_to_wire};
/// use galenamast::state::PoolSpec;
///
/// let pool = ConfigObject::Pool(PoolSpec { name: "advice".into(), ..Default::default() });
/// assert_eq!(object_from_wire(&object_to_wire(&pool)).unwrap(), pool);
/// ```
pub fn object_to_wire(object: &ConfigObject) -> wire::ConfigurationObject {
    use wire::configuration_object::Object;

    let object = match object {
        ConfigObject::Workspace(spec) => Object::Workspace(workspace_to_wire(spec)),
        ConfigObject::Model(spec) => Object::Model(model_to_wire(spec)),
        ConfigObject::Pool(spec) => Object::Pool(pool_to_wire(spec)),
        ConfigObject::Service(spec) => Object::Service(service_to_wire(spec)),
        ConfigObject::Rollout(spec) => Object::Rollout(rollout_to_wire(spec)),
        ConfigObject::SessionKeys(_) => return wire::ConfigurationObject::default(),
    };
    wire::ConfigurationObject {
        object: Some(object),
    }
}

/// Converts an object from the wire form.
///
/// # Errors
///
/// Returns an error if the object is empty, or if a name or key digest in it is malformed.
pub fn object_from_wire(object: &wire::ConfigurationObject) -> Result<ConfigObject, ProtocolError> {
    use wire::configuration_object::Object;

    let object = match &object.object {
        Some(Object::Workspace(spec)) => ConfigObject::Workspace(workspace_from_wire(spec)?),
        Some(Object::Model(spec)) => ConfigObject::Model(model_from_wire(spec)?),
        Some(Object::Pool(spec)) => ConfigObject::Pool(pool_from_wire(spec)?),
        Some(Object::Service(spec)) => ConfigObject::Service(service_from_wire(spec)?),
        Some(Object::Rollout(spec)) => ConfigObject::Rollout(rollout_from_wire(spec)?),
        None => return Err(invalid("configuration object", "it is empty".into())),
    };
    Ok(object)
}

/// Builds the error for an invalid part of a message.
pub(crate) fn invalid(what: &'static str, reason: String) -> ProtocolError {
    ProtocolError::Invalid { what, reason }
}

/// Checks that a name consists of 1 to 64 ASCII letters, digits or `._-`.
pub(crate) fn checked_name<'a>(
    what: &'static str,
    text: &'a str,
) -> Result<&'a str, ProtocolError> {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "._-".contains(character);
    if text.is_empty() || text.len() > 64 || !text.chars().all(allowed) {
        let reason = format!("`{text}` must be 1 to 64 letters, digits or `._-`");
        return Err(invalid(what, reason));
    }
    Ok(text)
}

/// Converts a version's name for the wire.
pub fn version_to_wire(key: &VersionKey) -> wire::VersionName {
    wire::VersionName {
        model: key.model.to_string(),
        version: key.version.to_string(),
    }
}

/// Converts a version's name from the wire.
///
/// # Errors
///
/// Returns an error if either name is malformed.
pub fn version_from_wire(name: &wire::VersionName) -> Result<VersionKey, ProtocolError> {
    let model = checked_name("model name", &name.model)?;
    let version = checked_name("version name", &name.version)?;
    Ok(VersionKey::new(model, version))
}

/// Converts a workspace for the wire.
fn workspace_to_wire(spec: &WorkspaceSpec) -> wire::Workspace {
    let mut allowed = Vec::new();
    for (model, versions) in &spec.allowed {
        allowed.extend(versions.iter().map(|version| wire::VersionName {
            model: model.to_string(),
            version: version.to_string(),
        }));
    }
    wire::Workspace {
        name: spec.name.to_string(),
        key_digests: spec.key_digests.iter().cloned().map(String::from).collect(),
        allowed,
        services: spec.services.iter().map(ToString::to_string).collect(),
        quality_target_ratio: spec.quality_target,
        task_target_ratios: tasks_to_wire(&spec.task_targets),
        cost_weight: spec.weights.cost,
        latency_weight: spec.weights.latency,
        exposure_weight: spec.weights.exposure,
        requests_per_second: spec.limits.requests_per_second,
        max_in_flight_requests: spec.limits.max_in_flight,
        share_weight: spec.limits.share_weight,
        retry_ratio: spec.limits.retry_ratio,
        move_withdrawn_sessions: spec.withdrawn_session == WithdrawnPolicy::Move,
        hedged_tasks: spec.hedged_tasks.iter().map(ToString::to_string).collect(),
        cascades: spec.cascades,
        mixing_shortfall_ratio: spec.mixing_shortfall,
    }
}

/// Converts a workspace from the wire.
fn workspace_from_wire(workspace: &wire::Workspace) -> Result<WorkspaceSpec, ProtocolError> {
    let key_digests = workspace.key_digests.iter();
    let key_digests = key_digests.map(|digest| digest_from_wire(digest));
    let mut spec = WorkspaceSpec {
        name: checked_name("workspace name", &workspace.name)?.into(),
        quality_target: workspace.quality_target_ratio,
        task_targets: tasks_from_wire(&workspace.task_target_ratios)?,
        weights: ObjectiveWeights {
            cost: workspace.cost_weight,
            latency: workspace.latency_weight,
            exposure: workspace.exposure_weight,
        },
        limits: WorkspaceLimits {
            requests_per_second: workspace.requests_per_second,
            max_in_flight: workspace.max_in_flight_requests,
            share_weight: workspace.share_weight,
            retry_ratio: workspace.retry_ratio,
        },
        withdrawn_session: match workspace.move_withdrawn_sessions {
            true => WithdrawnPolicy::Move,
            false => WithdrawnPolicy::Refuse,
        },
        cascades: workspace.cascades,
        mixing_shortfall: workspace.mixing_shortfall_ratio,
        key_digests: key_digests.collect::<Result<_, _>>()?,
        allowed: BTreeMap::new(),
        services: names_from_wire("service name", &workspace.services)?,
        hedged_tasks: names_from_wire("task name", &workspace.hedged_tasks)?,
    };
    for name in &workspace.allowed {
        let key = version_from_wire(name)?;
        spec.allowed
            .entry(key.model)
            .or_default()
            .insert(key.version);
    }
    Ok(spec)
}

/// Converts names from the wire.
fn names_from_wire<N, C>(what: &'static str, names: &[String]) -> Result<C, ProtocolError>
where
    N: for<'a> From<&'a str>,
    C: FromIterator<N>,
{
    let checked = names.iter();
    let checked = checked.map(|name| checked_name(what, name).map(N::from));
    checked.collect()
}

/// Converts the digest of a key from the wire.
///
/// # Errors
///
/// Returns an error if the text is not 64 hexadecimal digits.
pub fn digest_from_wire(text: &str) -> Result<KeyDigest, ProtocolError> {
    KeyDigest::try_from(text.to_owned()).map_err(|error| {
        let reason = format!("`{text}` must be 64 hexadecimal digits: {error}");
        invalid("key digest", reason)
    })
}

/// Converts values by task for the wire.
fn tasks_to_wire(tasks: &BTreeMap<TaskName, f64>) -> BTreeMap<String, f64> {
    let named = tasks.iter().map(|(task, value)| (task.to_string(), *value));
    named.collect()
}

/// Converts values by task from the wire.
fn tasks_from_wire(
    tasks: &BTreeMap<String, f64>,
) -> Result<BTreeMap<TaskName, f64>, ProtocolError> {
    let named = tasks
        .iter()
        .map(|(task, value)| Ok((TaskName::new(checked_name("task name", task)?), *value)));
    named.collect()
}

/// Converts a model for the wire.
fn model_to_wire(spec: &ModelSpec) -> wire::Model {
    let versions = spec.versions.iter();
    wire::Model {
        name: spec.name.to_string(),
        versions: versions
            .map(|(name, version)| version_spec_to_wire(name, version))
            .collect(),
    }
}

/// Converts the configuration of a version for the wire.
fn version_spec_to_wire(name: &VersionName, spec: &VersionSpec) -> wire::Version {
    let stage = match spec.stage {
        VersionStage::Established => wire::VersionStage::Established,
        VersionStage::RollingOut => wire::VersionStage::RollingOut,
        VersionStage::Withdrawn => wire::VersionStage::Withdrawn,
    };
    wire::Version {
        name: name.to_string(),
        pool: spec.pool.to_string(),
        stage: stage.into(),
        input_price_micros_per_1k_tokens: spec.input_price,
        output_price_micros_per_1k_tokens: spec.output_price,
        prior_quality_ratio: spec.prior_quality,
        task_prior_ratios: tasks_to_wire(&spec.task_priors),
        freshness_bound_ms: spec.freshness_bound.map(milliseconds),
        min_replicas: spec.min_replicas,
        weights_mib: spec.weights_mib,
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a model from the wire.
fn model_from_wire(model: &wire::Model) -> Result<ModelSpec, ProtocolError> {
    let name = ModelName::new(checked_name("model name", &model.name)?);
    let mut spec = ModelSpec {
        name,
        ..Default::default()
    };
    for version in &model.versions {
        let name = VersionName::new(checked_name("version name", &version.name)?);
        spec.versions.insert(name, version_spec_from_wire(version)?);
    }
    Ok(spec)
}

/// Converts the configuration of a version from the wire.
fn version_spec_from_wire(version: &wire::Version) -> Result<VersionSpec, ProtocolError> {
    let stage = match version.stage() {
        wire::VersionStage::Unspecified | wire::VersionStage::Established => {
            VersionStage::Established
        }
        wire::VersionStage::RollingOut => VersionStage::RollingOut,
        wire::VersionStage::Withdrawn => VersionStage::Withdrawn,
    };
    Ok(VersionSpec {
        pool: checked_name("pool name", &version.pool)?.into(),
        stage,
        input_price: version.input_price_micros_per_1k_tokens,
        output_price: version.output_price_micros_per_1k_tokens,
        prior_quality: version.prior_quality_ratio,
        task_priors: tasks_from_wire(&version.task_prior_ratios)?,
        freshness_bound: version.freshness_bound_ms.map(Duration::from_millis),
        min_replicas: version.min_replicas,
        weights_mib: version.weights_mib,
    })
}

/// Converts a pool for the wire.
fn pool_to_wire(spec: &PoolSpec) -> wire::Pool {
    let kind = match spec.kind {
        PoolKind::Engine => wire::PoolKind::Engine,
        PoolKind::Service => wire::PoolKind::Service,
    };
    wire::Pool {
        name: spec.name.to_string(),
        kind: kind.into(),
        checks_fencing: spec.checks_fencing,
        slots_per_server: spec.slots_per_server,
        attempt_timeout_ms: milliseconds(spec.attempt_timeout),
        drained_servers: spec
            .drained_servers
            .iter()
            .map(ToString::to_string)
            .collect(),
        memory_mib: spec.memory_mib,
    }
}

/// Converts a pool from the wire.
fn pool_from_wire(pool: &wire::Pool) -> Result<PoolSpec, ProtocolError> {
    let kind = match pool.kind() {
        wire::PoolKind::Unspecified | wire::PoolKind::Engine => PoolKind::Engine,
        wire::PoolKind::Service => PoolKind::Service,
    };
    Ok(PoolSpec {
        name: checked_name("pool name", &pool.name)?.into(),
        kind,
        checks_fencing: pool.checks_fencing,
        slots_per_server: pool.slots_per_server,
        attempt_timeout: Duration::from_millis(pool.attempt_timeout_ms),
        drained_servers: names_from_wire("server name", &pool.drained_servers)?,
        memory_mib: pool.memory_mib,
    })
}

/// Converts a service for the wire.
fn service_to_wire(spec: &ServiceSpec) -> wire::Service {
    let rules = spec.rules.iter();
    wire::Service {
        name: spec.name.to_string(),
        pool: spec.pool.to_string(),
        rules: rules
            .map(|rule| wire::ServiceRule {
                method: rule.method.clone(),
                path_prefix: rule.path_prefix.clone(),
                idempotent: rule.idempotent,
            })
            .collect(),
    }
}

/// Converts a service from the wire.
fn service_from_wire(service: &wire::Service) -> Result<ServiceSpec, ProtocolError> {
    let rules = service.rules.iter();
    Ok(ServiceSpec {
        name: checked_name("service name", &service.name)?.into(),
        pool: checked_name("pool name", &service.pool)?.into(),
        rules: rules
            .map(|rule| ServiceRule {
                method: rule.method.clone(),
                path_prefix: rule.path_prefix.clone(),
                idempotent: rule.idempotent,
            })
            .collect(),
    })
}
