//! Keys of sections `[version MODEL@VERSION]` of a declarative file.

use std::time::Duration;

use crate::config::object_field::{ObjectField, parse_number, store_task_ratio};
use crate::config::setting_key::{parse_duration, parse_integer, parse_name, store};
use crate::state::{VersionSpec, VersionStage};

/// Maximum price that is accepted, in micro-units of currency per thousand tokens.
const MAX_PRICE: u64 = 1_000_000_000;

/// Parses the stage of a version.
fn parse_stage(text: &str) -> Option<VersionStage> {
    match text {
        "established" => Some(VersionStage::Established),
        "rolling_out" => Some(VersionStage::RollingOut),
        "withdrawn" => Some(VersionStage::Withdrawn),
        _ => None,
    }
}

/// Keys of a version.
pub(crate) const FIELDS: &[ObjectField<VersionSpec>] = &[
    ObjectField {
        name: "pool",
        default: "",
        range: "the name of a pool",
        description: "Pool of backend servers that run the version.",
        apply: |spec, _, text| store(&mut spec.pool, parse_name(text).map(Into::into)),
    },
    ObjectField {
        name: "stage",
        default: "established",
        range: "established, rolling_out or withdrawn",
        description: "Whether the version takes work; if left out, an existing version keeps its stage.",
        apply: |spec, _, text| store(&mut spec.stage, parse_stage(text)),
    },
    ObjectField {
        name: "input_price",
        default: "100",
        range: "0 to 1000000000 micro-units of currency per thousand tokens",
        description: "Price of prompt tokens.",
        apply: |spec, _, text| store(&mut spec.input_price, parse_integer(text, 0, MAX_PRICE)),
    },
    ObjectField {
        name: "output_price",
        default: "300",
        range: "0 to 1000000000 micro-units of currency per thousand tokens",
        description: "Price of generated tokens.",
        apply: |spec, _, text| store(&mut spec.output_price, parse_integer(text, 0, MAX_PRICE)),
    },
    ObjectField {
        name: "prior_quality",
        default: "0.8",
        range: "0 to 1",
        description: "Expected mean rating before any answer is rated.",
        apply: |spec, _, text| store(&mut spec.prior_quality, parse_number(text, 0.0, 1.0)),
    },
    ObjectField {
        name: "task_prior.",
        default: "",
        range: "0 to 1",
        description: "Expected mean rating of the task named after the dot.",
        apply: |spec, task, text| store_task_ratio(&mut spec.task_priors, task, text),
    },
    ObjectField {
        name: "freshness_bound",
        default: "",
        range: "1s to 1h, or empty for the default of the stage",
        description: "Maximum age of the confirmed configuration for new work.",
        apply: |spec, _, text| {
            if text.is_empty() {
                spec.freshness_bound = None;
                return true;
            }
            let parsed = parse_duration(text, Duration::from_secs(1), Duration::from_secs(3_600));
            store(&mut spec.freshness_bound, parsed.map(Some))
        },
    },
    ObjectField {
        name: "min_replicas",
        default: "1",
        range: "0 to 10000",
        description: "Lowest number of replicas in each failure domain of the pool.",
        apply: |spec, _, text| {
            let parsed = parse_integer(text, 0, 10_000).and_then(|value| u32::try_from(value).ok());
            store(&mut spec.min_replicas, parsed)
        },
    },
    ObjectField {
        name: "weights_mib",
        default: "16384",
        range: "1 to 100000000 MiB",
        description: "Size of the weights.",
        apply: |spec, _, text| store(&mut spec.weights_mib, parse_integer(text, 1, 100_000_000)),
    },
];
