//! The course of runs at servers that are often late and often fail.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use galenamast_platform_standin::{ByteFault, RunFailure, RunPace};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::request_class::RequestClass;
use crate::run_pacing::draw_pace;

/// Fraction of the runs that are late, and of those that fail.
const LATE_SHARE: f64 = 0.3;
const FAILED_SHARE: f64 = 0.25;
/// Delay of a late answer.
const LATE: Duration = Duration::from_millis(1_100);
/// Ways in which runs fail.
const FAILURES: [RunFailure; 10] = [
    RunFailure::Status,
    RunFailure::Unavailable,
    RunFailure::CutBody,
    RunFailure::Close,
    RunFailure::Hang,
    RunFailure::NoStream,
    RunFailure::RepeatRefusal,
    RunFailure::Bytes(ByteFault::Garble),
    RunFailure::Bytes(ByteFault::Repeat),
    RunFailure::Bytes(ByteFault::RepeatLate),
];

/// Returns the course of a request's run; another server draws another one.
pub(crate) fn draw_failing_pace(seed: u64, request: &str, path: &str) -> RunPace {
    let mut hasher = DefaultHasher::new();
    (seed, request, "failures").hash(&mut hasher);
    let mut random = ChaCha8Rng::seed_from_u64(hasher.finish());
    let mut pace = draw_pace(seed, request, path);
    if RequestClass::of_path(path).is_none() {
        return pace;
    }
    let draw: f64 = random.random();
    if draw < LATE_SHARE {
        pace.first_delay = LATE;
    } else if draw < LATE_SHARE + FAILED_SHARE {
        pace.failure = Some(FAILURES[random.random_range(0..FAILURES.len())]);
        pace.first_delay = if random.random_bool(0.5) {
            Duration::from_millis(1)
        } else {
            Duration::from_millis(250)
        };
    }
    pace
}
