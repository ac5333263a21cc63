//! Performs the steps of roll-outs while this host holds their leases.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::coordination::rollout_step::step_change;
use crate::coordination::{
    ChangeReceipt, ChangeRefusal, ConfigChange, RolloutController, RolloutEvent, RolloutStep,
    RolloutView,
};
use crate::logging::{log_fault, log_record};
use crate::protocol::LogRecord;
use crate::state::{ConfigImage, HostName, RolloutName, RolloutSpec, VersionKey};
use crate::transport::timer_service::TimerService;

/// Future of a configuration change.
pub type ChangeFuture =
    std::pin::Pin<Box<dyn Future<Output = Result<ChangeReceipt, ChangeRefusal>> + Send>>;

/// Inputs of the roll-out controllers and the call that applies a change, as closures.
#[derive(Clone)]
pub struct RolloutSources {
    /// Current configuration.
    pub image: Arc<dyn Fn() -> Arc<ConfigImage> + Send + Sync>,
    /// Whether this host holds the lease of a roll-out.
    pub holds_lease: Arc<dyn Fn(&RolloutName) -> bool + Send + Sync>,
    /// Whether a host has braked a version.
    pub is_braked: Arc<dyn Fn(&VersionKey) -> bool + Send + Sync>,
    /// Number of rated answers of a version on all hosts, counted from any fixed point in time.
    pub ratings: Arc<dyn Fn(&VersionKey) -> u64 + Send + Sync>,
    /// Whether the engines have capacity for the next step of a roll-out.
    pub has_capacity: Arc<dyn Fn(&RolloutSpec) -> bool + Send + Sync>,
    /// Applies a change to the configuration.
    pub apply: Arc<dyn Fn(ConfigChange) -> ChangeFuture + Send + Sync>,
}

impl fmt::Debug for RolloutSources {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("RolloutSources(..)")
    }
}

/// Runs one controller for each roll-out and applies the steps that they decide on.
#[derive(Debug)]
pub struct RolloutRunner {
    host: HostName,
    timers: TimerService,
    sources: RolloutSources,
    controllers: BTreeMap<RolloutName, RolloutController>,
}

impl RolloutRunner {
    /// Creates a runner.
    pub fn new(host: HostName, timers: TimerService, sources: RolloutSources) -> Self {
        Self {
            host,
            timers,
            sources,
            controllers: BTreeMap::new(),
        }
    }

    /// Runs a pass each period until the task is aborted.
    pub async fn run(mut self, period: Duration) {
        let mut ticks = self.timers.subscribe(period);
        loop {
            self.pass().await;
            ticks.tick().await;
        }
    }

    /// Checks every roll-out and makes the steps that are due; returns the accepted ones.
    pub async fn pass(&mut self) -> Vec<(RolloutName, RolloutStep)> {
        let image = (self.sources.image)();
        self.controllers
            .retain(|name, _| image.rollouts.contains_key(name));
        let mut accepted = Vec::new();
        for name in image.rollouts.keys() {
            let Some(step) = self.decide(&image, name) else {
                continue;
            };
            let made = self.make_step(&image, name, step).await;
            let event = if made {
                accepted.push((name.clone(), step));
                RolloutEvent::Accepted
            } else {
                RolloutEvent::Refused
            };
            let now = self.timers.now();
            self.controller(name).handle(&event, now);
        }
        accepted
    }

    /// Passes the current view of a roll-out to its controller and returns the step that is due.
    fn decide(&mut self, image: &ConfigImage, name: &RolloutName) -> Option<RolloutStep> {
        let view = self.view(image, name);
        let event = match view {
            Some(view) if (self.sources.holds_lease)(name) => RolloutEvent::Seen(Box::new(view)),
            _ => RolloutEvent::LeaseLost,
        };
        let now = self.timers.now();
        self.controller(name).handle(&event, now)
    }

    /// Builds the controller's view of a roll-out; `None` if the configuration lacks it.
    fn view(&self, image: &ConfigImage, name: &RolloutName) -> Option<RolloutView> {
        let view = RolloutView::of_image(image, name)?;
        let candidate = VersionKey {
            model: view.rollout.model.clone(),
            version: view.rollout.candidate.clone(),
        };
        Some(RolloutView {
            braked: (self.sources.is_braked)(&candidate),
            ratings: (self.sources.ratings)(&candidate),
            has_capacity: (self.sources.has_capacity)(&view.rollout),
            ..view
        })
    }

    /// Applies a step if the lease is still held; returns whether the change was accepted.
    async fn make_step(&self, image: &ConfigImage, name: &RolloutName, step: RolloutStep) -> bool {
        let Some(change) = step_change(image, name, step, &self.host) else {
            return false;
        };
        if !(self.sources.holds_lease)(name) {
            return false;
        }
        if let Err(error) = (self.sources.apply)(change).await {
            log_fault("rollouts", &error);
            return false;
        }
        let record = LogRecord::RolloutStep {
            rollout: name.clone(),
            generation: image.generation,
            step,
        };
        log_record(Level::Info, &record);
        true
    }

    /// Returns the controller of a roll-out; a new one for a roll-out that is not known yet.
    fn controller(&mut self, name: &RolloutName) -> &mut RolloutController {
        self.controllers.entry(name.clone()).or_default()
    }
}
