//! The stated targets on whole traces: exposure against fixed-interval analysis, and cost.

use std::collections::BTreeSet;

use galenamast::replay::{
    FaultName, PolicyName, SynthSettings, WorkloadName, replay_trace, synthesize_trace,
};

/// Factor by which exposure stays below that of ten-minute fixed-interval analysis.
const EXPOSURE_FACTOR: u64 = 5;
/// Greatest cost relative to the cheapest adequate static mix in hindsight.
const COST_RATIO: f64 = 1.25;

/// Returns the exposure under our policy and under fixed-interval analysis.
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
    assert!(ours * EXPOSURE_FACTOR <= fixed, "{ours} against {fixed}");
}

#[test]
fn exposure_to_a_slowly_bad_version_is_five_times_lower() {
    let fault = FaultName::VersionSlowlyBad;
    let (ours, fixed) = exposures(WorkloadName::NieveAlta, 1, fault);
    assert!(ours * EXPOSURE_FACTOR <= fixed, "{ours} against {fixed}");
}

#[test]
fn cost_and_quality_are_met_on_a_whole_trace() {
    check_cost(1);
}

#[test]
fn cost_is_met_on_the_worst_trace() {
    check_cost(1012);
}

/// Checks quality and cost of the registries' workload without faults.
fn check_cost(seed: u64) {
    let trace = synthesize_trace(&SynthSettings {
        workload: WorkloadName::Saurashtra,
        seed,
        ..Default::default()
    });
    let report = replay_trace(&trace, PolicyName::Galenamast);
    assert!(report.worst_margin >= 0.0, "{}", report.worst_margin);
    assert!(report.cost_ratio <= COST_RATIO, "{}", report.cost_ratio);
}
