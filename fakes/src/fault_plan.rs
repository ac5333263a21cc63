//! Faults that a test can inject into a stand-in.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Faults that a stand-in applies to its calls.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// Time that each call waits before it is handled.
    pub delay: Duration,
    /// Whether calls are refused with status 503 before they have any effect.
    pub refuse: bool,
    /// Whether calls hang without an answer and without an effect.
    pub hang: bool,
    /// Number of upcoming calls that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Kind of object to which lost answers are limited; `None` for every kind.
    pub lose_only: Option<String>,
    /// Number of upcoming calls that are refused with status 429 before they have any effect.
    pub throttle: u32,
}

/// Shares a fault plan between a test and the stand-in.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch {
    plan: Arc<Mutex<FaultPlan>>,
}

impl FaultSwitch {
    /// Changes the plan.
    pub fn set(&self, change: impl FnOnce(&mut FaultPlan)) {
        change(&mut self.plan.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns a copy of the plan.
    pub fn plan(&self) -> FaultPlan {
        self.plan
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Applies the plan's hang and delay to a call; returns false if the call is to be refused.
    pub async fn admit(&self) -> bool {
        let plan = self.plan();
        if plan.hang {
            std::future::pending::<()>().await;
        }
        if !plan.delay.is_zero() {
            tokio::time::sleep(plan.delay).await;
        }
        !plan.refuse
    }

    /// Returns whether to refuse this call with status 429; if so, decrements the plan's counter.
    pub fn throttles(&self) -> bool {
        let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        let throttles = plan.throttle > 0;
        plan.throttle = plan.throttle.saturating_sub(1);
        throttles
    }

    /// Like [`Self::loses_answer`], for a call on a kind of object, which `lose_only` may exempt.
    pub fn loses_answer_of(&self, kind: &str) -> bool {
        let only = self.plan().lose_only;
        only.is_none_or(|only| only == kind) && self.loses_answer()
    }

    /// Returns whether to lose the answer of this call; if so, decrements the plan's counter.
    pub fn loses_answer(&self) -> bool {
        let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        let loses = plan.lose_answers > 0;
        plan.lose_answers = plan.lose_answers.saturating_sub(1);
        loses
    }
}
