//! Runner of property tests with a fixed seed.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Seed of every property test.
const SEED: [u8; 32] = [11; 32];

/// Creates a property test runner with a fixed seed.
pub(crate) fn property_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(config, generator)
}
