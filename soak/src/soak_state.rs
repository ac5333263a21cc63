//! What the tasks of a run share.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use galenamast_platform_standin::StandInStore;

use crate::config_plan::ConfigPlan;
use crate::fault_event::{FaultEvent, FaultKind};
use crate::host_balancer::HostBalancer;
use crate::host_process::HostProcess;
use crate::platform_config::IDLE_TIMEOUT_MS;
use crate::request_trace::RequestTrace;
use crate::server_pool::ServerPool;

/// The processes and stand-ins of a run, and what was recorded.
#[derive(Debug)]
pub(crate) struct SoakState {
    /// When the run began.
    pub(crate) began: Instant,
    /// The platform's store.
    pub(crate) store: StandInStore,
    /// The servers.
    pub(crate) servers: ServerPool,
    /// The hosts.
    pub(crate) hosts: Vec<Arc<HostProcess>>,
    /// The balancer.
    pub(crate) balancer: HostBalancer,
    traces: Mutex<Vec<RequestTrace>>,
    faults: Mutex<Vec<FaultEvent>>,
    plans: Mutex<Vec<(Instant, ConfigPlan)>>,
    sent: Mutex<BTreeSet<String>>,
    version: AtomicU64,
    idle_ms: AtomicU64,
}

impl SoakState {
    /// Creates the state of a run; the hosts aren't started yet.
    pub(crate) fn new(
        store: StandInStore,
        servers: ServerPool,
        hosts: Vec<Arc<HostProcess>>,
    ) -> Self {
        let state = Self {
            began: Instant::now(),
            store,
            servers,
            balancer: HostBalancer::new(hosts.clone()),
            hosts,
            traces: Mutex::new(Vec::new()),
            faults: Mutex::new(Vec::new()),
            plans: Mutex::new(Vec::new()),
            sent: Mutex::new(BTreeSet::new()),
            version: AtomicU64::new(0),
            idle_ms: AtomicU64::new(IDLE_TIMEOUT_MS),
        };
        state.put_configuration(IDLE_TIMEOUT_MS);
        state
    }

    /// Writes the next version of the configuration.
    pub(crate) fn put_configuration(&self, idle_ms: u64) {
        self.put_plan(|version| ConfigPlan::plain(version, idle_ms));
    }

    /// Writes the next version of the configuration as it is drawn.
    pub(crate) fn put_plan(&self, draw: impl FnOnce(u64) -> ConfigPlan) {
        let version = self.version.fetch_add(3, Ordering::SeqCst) + 3;
        let plan = draw(version);
        self.note(FaultKind::Configuration(version), None);
        self.idle_ms.store(plan.idle_timeout_ms, Ordering::SeqCst);
        let specification = plan.to_json();
        let mut plans = self.plans.lock().unwrap_or_else(PoisonError::into_inner);
        plans.push((Instant::now(), plan));
        drop(plans);
        self.store.put("config", "main", &specification);
    }

    /// Returns the configurations with the times at which they were written.
    pub(crate) fn plans(&self) -> Vec<(Instant, ConfigPlan)> {
        self.plans
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Records the identifier of a request that a caller sends.
    pub(crate) fn note_sent(&self, id: &str) {
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.insert(id.to_owned());
    }

    /// Returns the identifiers of the requests that callers sent, also of those still open.
    pub(crate) fn sent(&self) -> BTreeSet<String> {
        self.sent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns for how long callers use an idle connection.
    pub(crate) fn reuse_time(&self) -> Duration {
        Duration::from_millis(self.idle_ms.load(Ordering::SeqCst) * 4 / 5)
    }

    /// Records a fault that is carried out now.
    pub(crate) fn note(&self, kind: FaultKind, host: Option<usize>) {
        let event = FaultEvent {
            at: Instant::now(),
            host,
            kind,
        };
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.push(event);
    }

    /// Records a request that ended.
    pub(crate) fn record(&self, trace: RequestTrace) {
        let mut traces = self.traces.lock().unwrap_or_else(PoisonError::into_inner);
        traces.push(trace);
    }

    /// Returns the requests that ended.
    pub(crate) fn traces(&self) -> Vec<RequestTrace> {
        let mut traces = self
            .traces
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        traces.sort_by_key(|trace| trace.sent);
        traces
    }

    /// Returns how many requests ended, and how many of them without a response.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let traces = self.traces.lock().unwrap_or_else(PoisonError::into_inner);
        let cut = traces.iter().filter(|trace| trace.end.is_cut()).count();
        (traces.len(), cut)
    }

    /// Returns the faults that were carried out.
    pub(crate) fn faults(&self) -> Vec<FaultEvent> {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
