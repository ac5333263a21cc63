//! Targets checked by replaying whole traces: exposure to bad versions, compared with fixed-interval
//! analysis, and cost.

use std::collections::BTreeSet;

use galenamast::replay::{
    FaultName, PolicyName, SynthSettings, WorkloadName, replay_trace, synthesize_trace,
};

/// Factor by which exposure must be lower than under fixed-interval analysis every ten minutes.
const EXPOSURE_FACTOR: u64 = 5;
/// Greatest allowed cost, relative to the cheapest static mix that is adequate in hindsight.
const COST_RATIO: f64 = 1.25;

/// Replays a trace with a fault; returns the exposure under the router's policy and under
/// fixed-interval analysis.
fn exposures(workload: WorkloadName, seed: u64, fault: FaultName) -> (u64, u64) {
    let trace = synthesize_trace(&SynthSettings {
        workload,
        seed,
        faults: BTreeSet::from([fault]),
        ..Default::default()
    });
    let exposure = |policy| replay_trace(&trace, policy).exposure;
    (
        exposure(PolicyName::Galenamast),
        exposure(PolicyName::FixedInterval),
    )
}

#[test]
fn exposure_to_a_partly_bad_version_is_five_times_lower() {
    let fault = FaultName::VersionPartlyBad;
    let (ours, fixed) = exposures(WorkloadName::NieveAlta, 2, fault);
    assert!(
        ours * EXPOSURE_FACTOR <= fixed,
        "exposure {ours}, fixed-interval analysis {fixed}"
    );
}

#[test]
fn exposure_to_a_slowly_bad_version_is_five_times_lower() {
    let fault = FaultName::VersionSlowlyBad;
    let (ours, fixed) = exposures(WorkloadName::NieveAlta, 1, fault);
    assert!(
        ours * EXPOSURE_FACTOR <= fixed,
        "exposure {ours}, fixed-interval analysis {fixed}"
    );
}

#[test]
fn cost_and_quality_are_met_on_a_whole_trace() {
    check_cost(1);
}

#[test]
fn cost_is_met_on_the_worst_trace() {
    check_cost(1012);
}

/// Checks quality and cost on a fault-free trace of the registries' workload (`Saurashtra`).
fn check_cost(seed: u64) {
    let trace = synthesize_trace(&SynthSettings {
        workload: WorkloadName::Saurashtra,
        seed,
        ..Default::default()
    });
    let report = replay_trace(&trace, PolicyName::Galenamast);
    assert!(
        report.worst_margin >= 0.0,
        "worst margin {}",
        report.worst_margin
    );
    assert!(
        report.cost_ratio <= COST_RATIO,
        "cost ratio {}",
        report.cost_ratio
    );
}
