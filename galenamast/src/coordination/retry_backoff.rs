//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Bounds of the delays between retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    /// Maximum delay before the first retry.
    pub initial_delay: Duration,
    /// Maximum delay before any retry.
    pub max_delay: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self {
            initial_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(2),
        }
    }
}

impl RetryBackoff {
    /// Draws the delay before a retry, counted from zero.
    ///
    /// The delay lies between half of its bound and the bound, which doubles with each retry.
    ///
    /// ```
    /// use std::time::Duration;
    /// use galenamast::coordination::RetryBackoff;
    /// use rand::SeedableRng;
    ///
    /// let mut generator = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    /// let delay = RetryBackoff::default().delay(3, &mut generator);
    /// assert!(delay >= Duration::from_millis(200) && delay <= Duration::from_millis(400));
    /// ```
    pub fn delay(&self, retry: u32, generator: &mut impl Rng) -> Duration {
        let factor = 1_u32.checked_shl(retry).unwrap_or(u32::MAX);
        let bound = self
            .initial_delay
            .saturating_mul(factor)
            .min(self.max_delay);
        bound.mul_f64(generator.random_range(0.5..=1.0))
    }
}
