//! Keys of sections `[rollout NAME]` of a declarative file.

use std::time::Duration;

use crate::config::object_field::{ObjectField, parse_number};
use crate::config::setting_key::{parse_duration, parse_integer, parse_name, store};
use crate::state::RolloutSpec;

/// Parses shares of new sessions in thousandths; each must be greater than the one before.
fn parse_step_shares(text: &str) -> Option<Vec<u32>> {
    let parts = text.split(',').map(str::trim);
    let shares = parts
        .map(|part| parse_integer(part, 1, 1_000).and_then(|value| u32::try_from(value).ok()))
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
        apply: |spec, _, text| store(&mut spec.model, parse_name(text).map(Into::into)),
    },
    ObjectField {
        name: "candidate",
        default: "",
        range: "the name of a version",
        description: "Version that is rolled out.",
        apply: |spec, _, text| store(&mut spec.candidate, parse_name(text).map(Into::into)),
    },
    ObjectField {
        name: "baseline",
        default: "",
        range: "the name of a version",
        description: "Version that the candidate is compared with.",
        apply: |spec, _, text| store(&mut spec.baseline, parse_name(text).map(Into::into)),
    },
    ObjectField {
        name: "step_shares",
        default: "10, 50, 200, 500, 1000",
        range: "growing numbers from 1 to 1000, separated by commas",
        description: "Shares of new sessions at each step, in thousandths.",
        apply: |spec, _, text| store(&mut spec.step_shares, parse_step_shares(text)),
    },
    ObjectField {
        name: "supersedes",
        default: "",
        range: "the name of a roll-out, or empty for none",
        description: "Older roll-out of the same model that this one replaces.",
        apply: |spec, _, text| {
            if text.is_empty() {
                spec.supersedes = None;
                return true;
            }
            store(
                &mut spec.supersedes,
                parse_name(text).map(|text| Some(text.into())),
            )
        },
    },
    ObjectField {
        name: "min_ratings",
        default: "100",
        range: "1 to 1000000 ratings",
        description: "Rated answers that a step needs before the next one starts.",
        apply: |spec, _, text| {
            let parsed =
                parse_integer(text, 1, 1_000_000).and_then(|value| u32::try_from(value).ok());
            store(&mut spec.min_ratings, parsed)
        },
    },
    ObjectField {
        name: "min_step_time",
        default: "10m",
        range: "0s to 30days",
        description: "Minimum time of a step.",
        apply: |spec, _, text| {
            let parsed = parse_duration(text, Duration::ZERO, Duration::from_secs(2_592_000));
            store(&mut spec.min_step_time, parsed)
        },
    },
    ObjectField {
        name: "tolerated_loss",
        default: "0.02",
        range: "0 to 1",
        description: "Maximum loss of mean rating that is tolerated.",
        apply: |spec, _, text| store(&mut spec.tolerated_loss, parse_number(text, 0.0, 1.0)),
    },
    ObjectField {
        name: "false_alarm_rate",
        default: "0.001",
        range: "0.000001 to 0.5",
        description: "Probability that a candidate as good as its baseline is braked.",
        apply: |spec, _, text| {
            store(
                &mut spec.false_alarm_rate,
                parse_number(text, 0.000_001, 0.5),
            )
        },
    },
];
