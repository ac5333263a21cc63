//! Limits retries, so that failures do not grow into a retry storm.
//!
//! All hosts share one limit per service: in any window, retries stay below a ratio of the requests
//! plus a slack. Each host applies the ratio to its own requests and uses an equal share of the
//! slack, so that the sum holds without coordination in a fleet of any size. Failures have priority over cascades, which
//! must leave a part of the budget unused.

use std::collections::VecDeque;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Width of the slots that a window is counted in; limits the error at the window's edges.
const SLOT_WIDTH: Duration = Duration::from_millis(250);

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPurpose {
    /// An attempt failed or was refused.
    Failure,
    /// A larger model should answer.
    Cascade,
    /// A server is slow.
    Hedge,
}

/// Settings of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries per request that the platform allows.
    pub ratio: f64,
    /// Retries that all hosts together may send in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Part of the ratio that this host uses; the rest covers the counting error at the window's
    /// edges.
    pub local_ratio_part: f64,
    /// Part of the slack that all known hosts share; the rest is for hosts that are not known yet, and
    /// for hosts that restart within a window and use their share again.
    pub shared_slack_part: f64,
    /// Number of hosts that is assumed until their list was read.
    pub assumed_hosts: usize,
    /// Part of the budget that cascades may use; the rest is reserved for failures.
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
            local_ratio_part: 0.95,
            shared_slack_part: 0.6,
            assumed_hosts: 400,
            cascade_part: 0.9,
            hedge_part: 0.3,
        }
    }
}

/// Counts of one slot of the window.
#[derive(Clone, Copy, Debug)]
struct BudgetSlot {
    starts_at: TimePoint,
    requests: u32,
    retries: u32,
}

/// The retry budget of one service.
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

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: TimePoint) {
        self.slot(now).requests += 1;
    }

    /// Takes a retry from the budget of a fleet with a number of known hosts, 0 if none is known yet;
    /// returns whether it allows one.
    pub fn take_retry(&mut self, purpose: RetryPurpose, hosts: usize, now: TimePoint) -> bool {
        self.slot(now);
        let settings = &self.settings;
        // A slot that reaches back beyond the window counts for its retries only.
        let whole = self
            .slots
            .iter()
            .filter(|slot| now.since(slot.starts_at) < settings.window);
        let requests: u32 = whole.map(|slot| slot.requests).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let part = match purpose {
            RetryPurpose::Failure => 1.0,
            RetryPurpose::Cascade => settings.cascade_part,
            RetryPurpose::Hedge => settings.hedge_part,
        };
        let earned = settings.ratio * settings.local_ratio_part * f64::from(requests);
        let hosts = if hosts == 0 {
            settings.assumed_hosts
        } else {
            hosts
        };
        let slack = settings.slack * settings.shared_slack_part / hosts as f64;
        let bound = (earned + slack) * part;
        if f64::from(retries) + 1.0 > bound {
            return false;
        }
        self.slot(now).retries += 1;
        true
    }

    /// Returns the current slot, and drops those that ended before the window.
    fn slot(&mut self, now: TimePoint) -> &mut BudgetSlot {
        let window = self.settings.window + SLOT_WIDTH;
        while self
            .slots
            .front()
            .is_some_and(|slot| now.since(slot.starts_at) > window)
        {
            self.slots.pop_front();
        }
        let is_current = |slot: &BudgetSlot| now.since(slot.starts_at) < SLOT_WIDTH;
        if !self.slots.back().is_some_and(is_current) {
            self.slots.push_back(BudgetSlot {
                starts_at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
