//! Shapes of the workloads that traces are synthesised for.

use std::str::FromStr;

use crate::state::ObjectiveWeights;

/// Name of a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkloadName {
    /// Counter work at ski lodges, with peaks at the opening and at the afternoon returns.
    NieveAlta,
    /// Registry work, with peaks at month-end and in the season of general meetings.
    Saurashtra,
}

impl FromStr for WorkloadName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "nieve-alta" => Ok(Self::NieveAlta),
            "saurashtra" => Ok(Self::Saurashtra),
            _ => Err(format!("`{text}` is not `nieve-alta` or `saurashtra`")),
        }
    }
}

/// Task of a workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskShape {
    pub(crate) name: &'static str,
    /// Fraction of the requests.
    pub(crate) share: f64,
    /// Median lengths of prompt and answer, in tokens.
    pub(crate) tokens: (f64, f64),
    /// Mean quality of each version, from 0 to 1, in the order of `VERSIONS`.
    pub(crate) quality: [f64; 3],
    pub(crate) deadline_ms: u64,
    /// Fraction of the task's requests whose answer is streamed.
    pub(crate) streamed_share: f64,
}

/// Version of the model, the same for all workloads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VersionShape {
    pub(crate) name: &'static str,
    /// Price of prompt tokens, in micro-units of currency per thousand.
    pub(crate) input_price: u64,
    /// Price of generated tokens, in micro-units of currency per thousand.
    pub(crate) output_price: u64,
    /// Time for one token of the answer, in milliseconds.
    pub(crate) token_ms: f64,
    /// Loss of quality for prompts of 2,048 tokens or more.
    pub(crate) long_loss: f64,
    /// Mean quality that operators expect, from 0 to 1.
    pub(crate) prior: f64,
}

/// Versions of the model, from cheapest to most expensive.
pub(crate) const VERSIONS: [VersionShape; 3] = [
    VersionShape {
        name: "small",
        input_price: 100,
        output_price: 300,
        token_ms: 6.0,
        long_loss: 0.06,
        prior: 0.75,
    },
    VersionShape {
        name: "medium",
        input_price: 400,
        output_price: 1_200,
        token_ms: 12.0,
        long_loss: 0.03,
        prior: 0.82,
    },
    VersionShape {
        name: "large",
        input_price: 1_200,
        output_price: 3_600,
        token_ms: 22.0,
        long_loss: 0.01,
        prior: 0.88,
    },
];

/// Shape of a workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkloadShape {
    pub(crate) label: &'static str,
    pub(crate) domains: &'static [&'static str],
    pub(crate) tasks: &'static [TaskShape],
    pub(crate) weights: ObjectiveWeights,
    /// Quality target, from 0 to 1.
    pub(crate) target: f64,
    /// Relative request rates in equal parts of the trace. Only their ratios matter.
    pub(crate) rates: &'static [f64],
}

/// Tasks of [`WorkloadName::NieveAlta`].
const LODGE_TASKS: [TaskShape; 3] = [
    TaskShape {
        name: "counter_answer",
        share: 0.55,
        tokens: (300.0, 60.0),
        quality: [0.87, 0.90, 0.92],
        deadline_ms: 8_000,
        streamed_share: 0.6,
    },
    TaskShape {
        name: "boot_fitting",
        share: 0.30,
        tokens: (900.0, 160.0),
        quality: [0.72, 0.86, 0.91],
        deadline_ms: 20_000,
        streamed_share: 0.5,
    },
    TaskShape {
        name: "damage_report",
        share: 0.15,
        tokens: (1_800.0, 120.0),
        quality: [0.66, 0.80, 0.90],
        deadline_ms: 30_000,
        streamed_share: 0.1,
    },
];

/// Tasks of [`WorkloadName::Saurashtra`].
const REGISTRY_TASKS: [TaskShape; 3] = [
    TaskShape {
        name: "member_reply",
        share: 0.50,
        tokens: (350.0, 90.0),
        quality: [0.86, 0.90, 0.92],
        deadline_ms: 15_000,
        streamed_share: 0.3,
    },
    TaskShape {
        name: "transfer_summary",
        share: 0.30,
        tokens: (1_200.0, 180.0),
        quality: [0.74, 0.87, 0.91],
        deadline_ms: 60_000,
        streamed_share: 0.1,
    },
    TaskShape {
        name: "reconciliation",
        share: 0.20,
        tokens: (3_000.0, 300.0),
        quality: [0.64, 0.83, 0.92],
        deadline_ms: 300_000,
        streamed_share: 0.0,
    },
];

pub(crate) const fn shape_of(name: WorkloadName) -> WorkloadShape {
    match name {
        WorkloadName::NieveAlta => WorkloadShape {
            label: "nieve-alta",
            domains: &["base-lodge", "cumbre", "bosque", "taller"],
            tasks: &LODGE_TASKS,
            weights: ObjectiveWeights {
                cost: 1.0,
                latency: 3.0,
                exposure: 1.0,
            },
            target: 0.8,
            rates: &[0.4, 1.9, 1.5, 0.7, 0.6, 0.7, 1.3, 1.5, 0.4],
        },
        WorkloadName::Saurashtra => WorkloadShape {
            label: "saurashtra",
            domains: &["rajkot", "jamnagar", "bhavnagar"],
            tasks: &REGISTRY_TASKS,
            weights: ObjectiveWeights {
                cost: 1.0,
                latency: 1.0,
                exposure: 3.0,
            },
            target: 0.82,
            rates: &[0.7, 0.8, 0.9, 1.0, 0.8, 1.2, 1.5, 1.3, 0.8],
        },
    }
}
