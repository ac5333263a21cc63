//! Properties of the request machine under random interleavings of faults.

use galenamast::coordination::RequestGuards;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::machine_model::{Scenario, Variant, run_scenario};

/// Seed of the random interleavings.
const SEED: [u8; 32] = [41; 32];
/// Number of random interleavings that each variant runs through.
const CASES: u32 = 4_000;

/// Generates random scenarios.
fn scenarios() -> impl Strategy<Value = Scenario> {
    let choices = prop::collection::vec(any::<u16>(), 24..96);
    (any::<bool>(), any::<bool>(), any::<bool>(), choices).prop_map(
        |(idempotent, hedged, streamed, choices)| Scenario {
            idempotent,
            hedged,
            streamed,
            choices,
        },
    )
}

/// Runs a variant on random scenarios; the error names the violated guarantees.
fn try_variant(variant: Variant) -> Result<(), String> {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, generator);
    runner
        .run(&scenarios(), |scenario| {
            let observed = run_scenario(&scenario, variant);
            let violated = observed.violated_guarantees(&scenario);
            prop_assert!(violated.is_empty(), "{violated:?} violated in {observed:?}");
            Ok(())
        })
        .map_err(|error| error.to_string())
}

#[test]
fn guarantees_hold_under_faults() {
    if let Err(error) = try_variant(Variant::default()) {
        panic!("{error}");
    }
}

#[test]
fn each_mechanism_is_needed_for_its_guarantee() {
    let on = RequestGuards::default();
    let guarded = |guards| Variant {
        guards,
        ..Variant::default()
    };
    let table = [
        (
            guarded(RequestGuards {
                single_dispatch: false,
                ..on
            }),
            "at most one dispatch",
        ),
        (
            guarded(RequestGuards {
                truthful_refusal: false,
                ..on
            }),
            "not run only if not started",
        ),
        (
            guarded(RequestGuards {
                single_bill: false,
                ..on
            }),
            "one usage record",
        ),
        (
            guarded(RequestGuards {
                whole_answer: false,
                ..on
            }),
            "whole answer",
        ),
        (
            Variant {
                rechecks_image: false,
                ..Variant::default()
            },
            "allowed versions only",
        ),
    ];
    for (variant, guarantee) in table {
        let error = try_variant(variant).expect_err(guarantee);
        assert!(error.contains(guarantee), "{guarantee}: {error}");
    }
}
