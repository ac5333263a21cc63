//! The committed traces meet their stated outcomes, and miss them without the mechanism they test.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use galenamast::replay::{PolicyName, Trace, check_outcomes, read_trace, replay_trace};

fn load(name: &str) -> Trace {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../traces")
        .join(name);
    let file = File::open(path).expect("the trace is committed");
    read_trace(BufReader::new(file)).expect("the trace is valid")
}

#[test]
fn committed_traces_meet_their_outcomes() {
    for name in [
        "nieve-alta-version-bad.jsonl",
        "saurashtra-server-slow.jsonl",
    ] {
        let trace = load(name);
        let report = replay_trace(&trace, PolicyName::Galenamast);
        let missed = check_outcomes(&trace, &report);
        assert!(missed.is_empty(), "{name}: {missed:?}");
        assert!(report.answered > 0);
    }
}

#[test]
fn without_the_sequential_test_the_exposure_bound_is_missed() {
    let trace = load("nieve-alta-version-bad.jsonl");
    let report = replay_trace(&trace, PolicyName::FixedInterval);
    let missed = check_outcomes(&trace, &report);
    assert!(
        missed
            .iter()
            .any(|outcome| outcome.starts_with("max_exposure")),
        "{missed:?}"
    );
}

#[test]
fn baseline_policies_miss_quality_or_latency() {
    let trace = load("saurashtra-server-slow.jsonl");
    for (policy, expected) in [
        (PolicyName::AlwaysCheapest, "quality_in_every_window"),
        (PolicyName::RandomEligible, "max_p99_ms"),
    ] {
        let missed = check_outcomes(&trace, &replay_trace(&trace, policy));
        assert!(
            missed.iter().any(|outcome| outcome.starts_with(expected)),
            "{missed:?}"
        );
    }
}

#[test]
fn a_replay_is_deterministic() {
    let trace = load("saurashtra-server-slow.jsonl");
    let replay = || replay_trace(&trace, PolicyName::Galenamast);
    assert_eq!(replay(), replay());
}
