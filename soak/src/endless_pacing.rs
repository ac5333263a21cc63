//! The course of runs at servers that often answer without end.

use std::hash::{DefaultHasher, Hash, Hasher};

use galenamast_platform_standin::{ByteFault, EndlessBytes, RunFailure, RunPace};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::request_class::RequestClass;
use crate::run_pacing::draw_pace;

/// Fraction of the runs that have no end.
const ENDLESS_SHARE: f64 = 0.08;

/// Returns the course of a request's run; another server draws another one.
pub(crate) fn draw_endless_pace(seed: u64, request: &str, path: &str) -> RunPace {
    let mut hasher = DefaultHasher::new();
    (seed, request, "endless").hash(&mut hasher);
    let mut random = ChaCha8Rng::seed_from_u64(hasher.finish());
    let mut pace = draw_pace(seed, request, path);
    if RequestClass::of_path(path).is_some() && random.random_bool(ENDLESS_SHARE) {
        let kind = EndlessBytes::ALL[random.random_range(0..EndlessBytes::ALL.len())];
        pace.failure = Some(RunFailure::Bytes(ByteFault::Endless(kind)));
    }
    pace
}
