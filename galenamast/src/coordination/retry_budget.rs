//! Limits retries and hedges to a fraction of a workspace's admitted requests.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths per token. One retry or hedge costs one token.
const MILLITOKENS_PER_TOKEN: i64 = 1_000;
/// Maximum number of tokens that a workspace can accumulate.
const MAX_TOKENS: i64 = 20;
/// Number of tokens of a workspace without admitted requests.
const INITIAL_TOKENS: i64 = 5;

/// Token bucket for retries and hedges, to which each admitted request adds a fraction of a token.
#[derive(Debug)]
pub struct RetryBudget {
    /// Balance in thousandths of a token.
    balance: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: AtomicI64::new(INITIAL_TOKENS * MILLITOKENS_PER_TOKEN),
        }
    }
}

impl RetryBudget {
    /// Creates a budget without tokens.
    pub fn empty() -> Self {
        Self {
            balance: AtomicI64::new(0),
        }
    }

    /// Adds the fraction of a token that an admitted request earns; ratios outside 0 to 1 are
    /// clamped.
    pub fn deposit(&self, retry_ratio: f64) {
        #[expect(clippy::cast_possible_truncation, reason = "the ratio is clamped")]
        let earned = (retry_ratio.clamp(0.0, 1.0) * MILLITOKENS_PER_TOKEN as f64) as i64;
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                Some((balance + earned).min(MAX_TOKENS * MILLITOKENS_PER_TOKEN))
            });
    }

    /// Takes a token if one is left.
    ///
    /// ```
    /// use galenamast::coordination::RetryBudget;
    ///
    /// let budget = RetryBudget::empty();
    /// assert!(!budget.try_take());
    /// budget.deposit(1.0);
    /// assert!(budget.try_take());
    /// ```
    pub fn try_take(&self) -> bool {
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                (balance >= MILLITOKENS_PER_TOKEN).then_some(balance - MILLITOKENS_PER_TOKEN)
            })
            .is_ok()
    }
}
