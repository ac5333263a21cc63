//! Faults that a stand-in can be told to show.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Faults that a stand-in shows on each call.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    /// Time that each call waits before it is handled.
    pub delay: Duration,
    /// Calls are refused with status 503 before they have any effect.
    pub refuse: bool,
    /// Calls hang without an answer and without an effect.
    pub hang: bool,
    /// The next calls take effect, but their answer is lost.
    pub lose_answers: u32,
    /// Kind of object whose answers alone are lost; `None` for any.
    pub lose_only: Option<String>,
    /// The next calls are refused with status 429 before they have any effect.
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

    /// Waits and fails as the plan says; returns whether the call goes on.
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

    /// Returns whether this call is to be refused as one too many.
    pub fn throttles(&self) -> bool {
        let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        let throttles = plan.throttle > 0;
        plan.throttle = plan.throttle.saturating_sub(1);
        throttles
    }

    /// Returns whether the answer of a call for a kind of object is to be lost.
    pub fn loses_answer_of(&self, kind: &str) -> bool {
        let only = self.plan().lose_only;
        only.is_none_or(|only| only == kind) && self.loses_answer()
    }

    /// Returns whether the answer of this call is to be lost.
    pub fn loses_answer(&self) -> bool {
        let mut plan = self.plan.lock().unwrap_or_else(PoisonError::into_inner);
        let loses = plan.lose_answers > 0;
        plan.lose_answers = plan.lose_answers.saturating_sub(1);
        loses
    }
}
