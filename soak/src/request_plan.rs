//! What one caller is going to do, drawn from the seed.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::config_plan::KEYS;
use crate::platform_config::BODY_BYTES;
use crate::request_class::{CLASSES, RequestClass, SEASONAL};

/// Number of callers in a failure domain.
const CLIENTS: u32 = 40;

/// A request that a caller is going to send.
#[derive(Clone, Debug)]
pub(crate) struct RequestPlan {
    /// Class of the request.
    pub(crate) class: &'static RequestClass,
    /// Number of the caller.
    pub(crate) client: u32,
    /// Whether the caller keeps its connection for further requests.
    pub(crate) keeps: bool,
    /// Key that the caller sends.
    pub(crate) key: &'static str,
    /// Bytes of the body.
    pub(crate) body: usize,
    /// Time over which the body is sent.
    pub(crate) sending: Duration,
    /// Whether the caller reads while it sends, and not only afterwards.
    pub(crate) reads_early: bool,
    /// Time after which the caller leaves.
    pub(crate) leaves_after: Option<Duration>,
}

impl RequestPlan {
    /// Returns a request for the route that only some configurations have.
    pub(crate) fn seasonal(key: &'static str) -> Self {
        Self {
            class: &SEASONAL,
            client: 0,
            keeps: false,
            key,
            body: 0,
            sending: Duration::ZERO,
            reads_early: true,
            leaves_after: None,
        }
    }

    /// Returns whether the body is sent in chunks.
    pub(crate) fn is_chunked(&self) -> bool {
        self.body > 0 && self.client % 5 == 1
    }

    /// Draws a request.
    pub(crate) fn draw(random: &mut ChaCha8Rng) -> Self {
        let total: f64 = CLASSES.iter().map(|class| class.rate).sum();
        let mut point = random.random_range(0.0..total);
        let found = CLASSES.iter().find(|class| {
            point -= class.rate;
            point < 0.0
        });
        let class = found.unwrap_or(&CLASSES[0]);
        let client = random.random_range(0..CLIENTS);
        let is_long = class.is_stream() && random.random_bool(0.08);
        let body = if is_long {
            random.random_range(BODY_BYTES / 8..BODY_BYTES)
        } else {
            class.tokens * 4
        };
        let is_slow = body > 0 && random.random_bool(0.08);
        let longest = class.limit.min(6.0) / 2.0;
        let sending = if is_slow {
            Duration::from_secs_f64(random.random_range(0.3..longest))
        } else {
            Duration::ZERO
        };
        let leaves = random.random_bool(0.03);
        let leaving = Duration::from_secs_f64(class.limit * random.random_range(0.02..0.4));
        Self {
            class,
            client,
            keeps: client % 2 == 0,
            key: KEYS[client as usize / 2 % KEYS.len()],
            body,
            sending,
            reads_early: random.random_bool(0.5),
            leaves_after: leaves.then_some(leaving),
        }
    }
}
