//! Keys of sections `[rollout NAME]` of a declarative file.

use std::time::Duration;

use crate::config::object_field::{ObjectField, number};
use crate::config::setting_key::{duration, name, store, whole};
use crate::state::RolloutSpec;

/// Parses shares of new sessions in thousandths, which must grow.
fn step_shares(text: &str) -> Option<Vec<u32>> {
    let parts = text.split(',').map(str::trim);
    let shares = parts
        .map(|part| whole(part, 1, 1_000).and_then(|value| u32::try_from(value).ok()))
        .collect::<Option<Vec<u32>>>()?;
    shares
        .is_sorted_by(|left, right| left < right)
        .then_some(shares)
}

/// Keys of a roll-out.
pub(crate) const FIELDS: &[ObjectField<RolloutSpec>] = &[
    ObjectField {
        name: "model",
        default: "",
        range: "the name of a model",
        description: "Model whose version is rolled out.",
        apply: |spec, _, text| store(&mut spec.model, name(text).map(Into::into)),
    },
    ObjectField {
        name: "candidate",
        default: "",
        range: "the name of a version",
        description: "Version that is rolled out.",
        apply: |spec, _, text| store(&mut spec.candidate, name(text).map(Into::into)),
    },
    ObjectField {
        name: "baseline",
        default: "",
        range: "the name of a version",
        description: "Version that the candidate is compared with.",
        apply: |spec, _, text| store(&mut spec.baseline, name(text).map(Into::into)),
    },
    ObjectField {
        name: "step_shares",
        default: "10, 50, 200, 500, 1000",
        range: "growing numbers from 1 to 1000, separated by commas",
        description: "Shares of new sessions at each step, in thousandths.",
        apply: |spec, _, text| store(&mut spec.step_shares, step_shares(text)),
    },
    ObjectField {
        name: "supersedes",
        default: "",
        range: "the name of a roll-out, or empty for none",
        description: "Older roll-out of the model that this one takes the place of.",
        apply: |spec, _, text| {
            if text.is_empty() {
                spec.supersedes = None;
                return true;
            }
            store(
                &mut spec.supersedes,
                name(text).map(|text| Some(text.into())),
            )
        },
    },
    ObjectField {
        name: "min_ratings",
        default: "100",
        range: "1 to 1000000 ratings",
        description: "Rated answers that a step needs before the next one.",
        apply: |spec, _, text| {
            let parsed = whole(text, 1, 1_000_000).and_then(|value| u32::try_from(value).ok());
            store(&mut spec.min_ratings, parsed)
        },
    },
    ObjectField {
        name: "min_step_time",
        default: "10m",
        range: "0s to 30days",
        description: "Shortest time of a step.",
        apply: |spec, _, text| {
            let parsed = duration(text, Duration::ZERO, Duration::from_secs(2_592_000));
            store(&mut spec.min_step_time, parsed)
        },
    },
    ObjectField {
        name: "tolerated_loss",
        default: "0.02",
        range: "0 to 1",
        description: "Greatest loss of mean rating that is accepted.",
        apply: |spec, _, text| store(&mut spec.tolerated_loss, number(text, 0.0, 1.0)),
    },
    ObjectField {
        name: "false_alarm_rate",
        default: "0.001",
        range: "0.000001 to 0.5",
        description: "Chance that a candidate as good as its baseline is braked.",
        apply: |spec, _, text| store(&mut spec.false_alarm_rate, number(text, 0.000_001, 0.5)),
    },
];
