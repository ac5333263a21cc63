//! The course of the servers' runs, drawn from the seed and the request.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use galenamast_platform_standin::RunPace;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::request_class::RequestClass;

/// Mean time between two events of a stream, in seconds.
const EVENT_GAP: f64 = 0.06;
/// Fraction of the streams whose server falls silent once, and in runs with many silences.
const SILENT_SHARES: [f64; 2] = [0.08, 0.4];

/// Returns the course of a request's run; the same seed, request and path give the same course.
pub(crate) fn draw_pace(seed: u64, request: &str, path: &str) -> RunPace {
    draw_course(seed, request, path, SILENT_SHARES[0])
}

/// Returns the course of a run at servers that often fall silent.
pub(crate) fn draw_silent_pace(seed: u64, request: &str, path: &str) -> RunPace {
    draw_course(seed, request, path, SILENT_SHARES[1])
}

/// Returns the course of a run at servers that fall silent in a fraction of the streams.
fn draw_course(seed: u64, request: &str, path: &str, silent_share: f64) -> RunPace {
    let mut hasher = DefaultHasher::new();
    (seed, request).hash(&mut hasher);
    let mut random = ChaCha8Rng::seed_from_u64(hasher.finish());
    let seconds = Duration::from_secs_f64;
    let Some(class) = RequestClass::of_path(path) else {
        return RunPace {
            events: 1,
            first_delay: seconds(0.001),
            gap: seconds(0.001),
            silence: None,
            break_after: None,
            failure: None,
        };
    };
    let break_after = random.random_bool(0.01).then(|| random.random_range(1..9));
    if !class.is_stream() {
        let work = if random.random_bool(0.3) {
            class.limit * random.random_range(0.3..0.97)
        } else {
            0.06
        };
        return RunPace {
            events: 0,
            first_delay: seconds(work),
            gap: Duration::ZERO,
            silence: None,
            break_after,
            failure: None,
        };
    }
    let is_late = random.random_bool(0.05);
    let first_delay = random.random_range(0.1..0.5) + if is_late { 2.0 } else { 0.0 };
    let gap = if random.random_bool(0.03) {
        // Lasts up to nearly the time limit.
        class.limit * random.random_range(0.6..0.9) / class.events as f64
    } else {
        EVENT_GAP * random.random_range(0.7..2.2)
    };
    let silence = random.random_bool(silent_share).then(|| {
        let event = random.random_range(1..=class.events);
        (event, seconds(random.random_range(1.0..3.0)))
    });
    RunPace {
        events: class.events,
        first_delay: seconds(first_delay),
        gap: seconds(gap),
        silence,
        break_after,
        failure: None,
    }
}
