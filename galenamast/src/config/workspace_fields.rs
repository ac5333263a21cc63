//! Keys of sections `[workspace NAME]` of a declarative file.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::object_field::{ObjectField, parse_name_list, parse_number, store_task_ratio};
use crate::config::setting_key::{parse_flag, parse_integer, parse_name, store};
use crate::state::{ModelName, VersionName, WithdrawnPolicy, WorkspaceSpec};

/// Versions that a workspace may use, for each model.
type AllowedVersions = BTreeMap<ModelName, BTreeSet<VersionName>>;

/// Parses a comma-separated list of versions written as `model@version`.
fn parse_allowed_versions(text: &str) -> Option<AllowedVersions> {
    let mut allowed = AllowedVersions::new();
    let parts = text.split(',').map(str::trim);
    for part in parts.filter(|part| !part.is_empty()) {
        let (model, version) = part.split_once('@')?;
        allowed
            .entry(parse_name(model)?.into())
            .or_default()
            .insert(parse_name(version)?.into());
    }
    Some(allowed)
}

/// Parses the policy for sessions whose version was withdrawn.
fn parse_withdrawn_policy(text: &str) -> Option<WithdrawnPolicy> {
    match text {
        "refuse" => Some(WithdrawnPolicy::Refuse),
        "move" => Some(WithdrawnPolicy::Move),
        _ => None,
    }
}

/// Keys of a workspace.
pub(crate) const FIELDS: &[ObjectField<WorkspaceSpec>] = &[
    ObjectField {
        name: "allowed",
        default: "",
        range: "versions as MODEL@VERSION, separated by commas",
        description: "Versions that the workspace may use.",
        apply: |spec, _, text| store(&mut spec.allowed, parse_allowed_versions(text)),
    },
    ObjectField {
        name: "services",
        default: "",
        range: "names separated by commas",
        description: "Plain services that the workspace may call.",
        apply: |spec, _, text| store(&mut spec.services, parse_name_list(text)),
    },
    ObjectField {
        name: "quality_target",
        default: "0.8",
        range: "0 to 1",
        description: "Lowest acceptable mean rating of answers.",
        apply: |spec, _, text| store(&mut spec.quality_target, parse_number(text, 0.0, 1.0)),
    },
    ObjectField {
        name: "task_target.",
        default: "",
        range: "0 to 1",
        description: "Quality target of the task named after the dot.",
        apply: |spec, task, text| store_task_ratio(&mut spec.task_targets, task, text),
    },
    ObjectField {
        name: "cost_weight",
        default: "1",
        range: "0 to 1000",
        description: "Weight of cost in the choice of a version.",
        apply: |spec, _, text| store(&mut spec.weights.cost, parse_number(text, 0.0, 1_000.0)),
    },
    ObjectField {
        name: "latency_weight",
        default: "1",
        range: "0 to 1000",
        description: "Weight of latency in the choice of a version.",
        apply: |spec, _, text| store(&mut spec.weights.latency, parse_number(text, 0.0, 1_000.0)),
    },
    ObjectField {
        name: "exposure_weight",
        default: "1",
        range: "0 to 1000",
        description: "Weight of exposure to versions that may be bad.",
        apply: |spec, _, text| store(&mut spec.weights.exposure, parse_number(text, 0.0, 1_000.0)),
    },
    ObjectField {
        name: "requests_per_second",
        default: "1000",
        range: "0.01 to 1000000",
        description: "Requests admitted per second across all entry hosts.",
        apply: |spec, _, text| {
            store(
                &mut spec.limits.requests_per_second,
                parse_number(text, 0.01, 1_000_000.0),
            )
        },
    },
    ObjectField {
        name: "max_in_flight",
        default: "4096",
        range: "1 to 1000000 requests",
        description: "Requests in flight across all entry hosts.",
        apply: |spec, _, text| {
            let parsed =
                parse_integer(text, 1, 1_000_000).and_then(|value| u32::try_from(value).ok());
            store(&mut spec.limits.max_in_flight, parsed)
        },
    },
    ObjectField {
        name: "share_weight",
        default: "1",
        range: "0.01 to 1000",
        description: "Share of capacity under contention, relative to other workspaces.",
        apply: |spec, _, text| {
            store(
                &mut spec.limits.share_weight,
                parse_number(text, 0.01, 1_000.0),
            )
        },
    },
    ObjectField {
        name: "retry_ratio",
        default: "0.1",
        range: "0 to 1",
        description: "Retries and hedges allowed per admitted request.",
        apply: |spec, _, text| store(&mut spec.limits.retry_ratio, parse_number(text, 0.0, 1.0)),
    },
    ObjectField {
        name: "withdrawn_session",
        default: "refuse",
        range: "refuse or move",
        description: "What happens to a session whose version was withdrawn.",
        apply: |spec, _, text| store(&mut spec.withdrawn_session, parse_withdrawn_policy(text)),
    },
    ObjectField {
        name: "hedged_tasks",
        default: "",
        range: "names separated by commas",
        description: "Tasks whose first token may be hedged with a second attempt.",
        apply: |spec, _, text| store(&mut spec.hedged_tasks, parse_name_list(text)),
    },
    ObjectField {
        name: "cascades",
        default: "true",
        range: "true or false",
        description: "Whether a request may be answered by a cascade of versions.",
        apply: |spec, _, text| store(&mut spec.cascades, parse_flag(text)),
    },
    ObjectField {
        name: "mixing_shortfall",
        default: "0.15",
        range: "0 to 1",
        description: "Maximum shortfall from the quality target at which a cheaper version still takes a share of idempotent requests, as long as the mean stays above the target; 0 for none.",
        apply: |spec, _, text| store(&mut spec.mixing_shortfall, parse_number(text, 0.0, 1.0)),
    },
];
