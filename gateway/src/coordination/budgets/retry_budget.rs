//! Bounds repeats against a retry storm.
//!
//! All hosts share one bound per service: in any window, repeats stay below a ratio of the
//! requests plus a slack. Each host keeps to the ratio of its own requests and to a small part of
//! the slack, so that the sum holds without a call. Failures go before cascades: cascades leave a
//! part of the budget that they may not touch.

use std::collections::VecDeque;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Width of the slots that a window is counted in; bounds the error of its edge.
const SLOT: Duration = Duration::from_millis(250);

/// What a repeat is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPurpose {
    /// An attempt failed or was refused.
    Failure,
    /// A larger model is asked.
    Cascade,
    /// A server is slow.
    Hedge,
}

/// Figures of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats for each request that the platform allows.
    pub ratio: f64,
    /// Repeats that all hosts together may send beside the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Part of the ratio that this host uses; the rest absorbs what the window's edges hide.
    pub used_part: f64,
    /// Part of the slack that one host uses; its inverse is the largest fleet.
    pub slack_part: f64,
    /// Part of the budget that cascades may use; the rest is kept for failures.
    pub cascade_part: f64,
    /// Part of the budget that hedges may use.
    pub hedge_part: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.9,
            slack: 50.0,
            window: Duration::from_secs(10),
            used_part: 0.85,
            slack_part: 1.0 / 64.0,
            cascade_part: 0.8,
            hedge_part: 0.3,
        }
    }
}

/// Counts of a slot of the window.
#[derive(Clone, Copy, Debug)]
struct BudgetSlot {
    starts_at: TimePoint,
    requests: u32,
    repeats: u32,
}

/// The budget of repeats for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    slots: VecDeque<BudgetSlot>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            slots: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: TimePoint) {
        self.slot(now).requests += 1;
    }

    /// Takes a repeat from the budget, if it allows one.
    pub fn take_retry(&mut self, purpose: RetryPurpose, now: TimePoint) -> bool {
        self.slot(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let repeats: u32 = self.slots.iter().map(|slot| slot.repeats).sum();
        let settings = &self.settings;
        let part = match purpose {
            RetryPurpose::Failure => 1.0,
            RetryPurpose::Cascade => settings.cascade_part,
            RetryPurpose::Hedge => settings.hedge_part,
        };
        let earned = settings.ratio * settings.used_part * f64::from(requests);
        let bound = (earned + settings.slack * settings.slack_part) * part;
        if f64::from(repeats) + 1.0 > bound {
            return false;
        }
        self.slot(now).repeats += 1;
        true
    }

    /// Returns the slot of the present and forgets those outside the window.
    fn slot(&mut self, now: TimePoint) -> &mut BudgetSlot {
        let window = self.settings.window;
        while self
            .slots
            .front()
            .is_some_and(|slot| now.since(slot.starts_at) > window)
        {
            self.slots.pop_front();
        }
        let is_current = |slot: &BudgetSlot| now.since(slot.starts_at) < SLOT;
        if !self.slots.back().is_some_and(is_current) {
            self.slots.push_back(BudgetSlot {
                starts_at: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
