//! Bounds retries and hedges to a share of the admitted requests of a workspace.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths of a token that one retry takes.
const TOKEN: i64 = 1_000;
/// Tokens that a workspace may save up.
const MAX_TOKENS: i64 = 20;
/// Tokens of a workspace that has admitted nothing yet.
const INITIAL_TOKENS: i64 = 5;

/// Tokens for retries and hedges; each admitted request adds a part of one.
#[derive(Debug)]
pub struct RetryBudget {
    balance: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: AtomicI64::new(INITIAL_TOKENS * TOKEN),
        }
    }
}

impl RetryBudget {
    /// Creates a budget without any token.
    pub fn empty() -> Self {
        Self {
            balance: AtomicI64::new(0),
        }
    }

    /// Adds the part of a token that an admitted request earns.
    pub fn deposit(&self, retry_ratio: f64) {
        #[expect(clippy::cast_possible_truncation, reason = "the ratio is clamped")]
        let earned = (retry_ratio.clamp(0.0, 1.0) * TOKEN as f64) as i64;
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                Some((balance + earned).min(MAX_TOKENS * TOKEN))
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
                (balance >= TOKEN).then_some(balance - TOKEN)
            })
            .is_ok()
    }
}
