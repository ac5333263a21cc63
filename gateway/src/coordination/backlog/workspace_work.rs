//! Work that each workspace received recently.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Number of workspaces above which those without recent work are forgotten.
const MAX_IDLE_WORKSPACES: usize = 256;

/// Work that each workspace received, which decays by half in each half-life.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceWork {
    half_life: Duration,
    names: Vec<Arc<str>>,
    received: Vec<f64>,
    at: TimePoint,
}

impl WorkspaceWork {
    /// Creates the record without any work.
    pub(super) fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            names: Vec::new(),
            received: Vec::new(),
            at: TimePoint::ZERO,
        }
    }

    /// Returns the index of a workspace, which is valid until `forget_all`.
    pub(super) fn index_of(&mut self, workspace: &Arc<str>) -> usize {
        let known = self.names.iter().position(|name| name == workspace);
        known.unwrap_or_else(|| {
            self.names.push(workspace.clone());
            self.received.push(0.0);
            self.names.len() - 1
        })
    }

    /// Returns the work that each workspace received, by index. All values decay alike, so that
    /// their order does not depend on the time.
    pub(super) fn received(&self) -> &[f64] {
        &self.received
    }

    /// Counts work that a workspace receives.
    pub(super) fn add(&mut self, index: usize, work: f64, now: TimePoint) {
        let halves = now.since(self.at).as_secs_f64() / self.half_life.as_secs_f64();
        let factor = 0.5_f64.powf(halves);
        self.received.iter_mut().for_each(|work| *work *= factor);
        self.received[index] += work;
        self.at = now;
    }

    /// Forgets all workspaces if there are many, so that names do not pile up over days. No request
    /// may wait.
    pub(super) fn forget_all(&mut self) {
        if self.names.len() > MAX_IDLE_WORKSPACES {
            self.names.clear();
            self.received.clear();
        }
    }
}
