//! Runs the leases that an entry host holds or contends for.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::coordination::lease_document::LEASE_KIND;
use crate::coordination::{
    CallPriority, LeaseAction, LeaseEvent, LeaseMachine, LeaseOwner, LeaseRecord, LeaseSettings,
    LeaseStatus, ObjectKey, ObjectRecord, WriteCondition, WriteOutcome,
};
use crate::logging::log_fault;
use crate::state::{HostName, LeaseName};
use crate::transport::lease_view::LeaseView;
use crate::transport::object_client::ObjectClient;
use crate::transport::timer_service::TimerService;

/// Time limit for a stopping host to release its leases.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Holds leases on behalf of other parts of an entry host; clones share one state.
///
/// Each contender reads the lease a few times per lease duration. To bound these calls, only a few
/// hosts should contend for one lease, such as the first ones of a failure domain by rendezvous
/// ranking.
#[derive(Clone, Debug)]
pub struct LeaseRunner {
    objects: ObjectClient,
    timers: TimerService,
    owner: LeaseOwner,
    settings: LeaseSettings,
    stopped: CancellationToken,
    running: Arc<tokio_util::task::TaskTracker>,
    views: Arc<Mutex<BTreeMap<LeaseName, LeaseView>>>,
}

impl LeaseRunner {
    /// Creates the runner of a host.
    pub fn new(
        objects: &ObjectClient,
        timers: TimerService,
        host: &HostName,
        settings: LeaseSettings,
    ) -> Self {
        let owner = LeaseOwner {
            host: host.clone(),
            incarnation: timers.unix_millis() << 16 | u64::from(rand::random::<u16>()),
        };
        Self {
            objects: objects.with_priority(CallPriority::Lease),
            timers,
            owner,
            settings,
            stopped: CancellationToken::new(),
            running: Arc::default(),
            views: Arc::default(),
        }
    }

    /// Contends for a lease until every receiver is dropped or the runner is stopped.
    ///
    /// The status states until when the lease is held. A holder checks [`LeaseStatus::term_at`]
    /// with the current time right before each action, because the process may have been paused.
    pub fn contend(&self, name: &LeaseName) -> watch::Receiver<LeaseStatus> {
        let (sender, receiver) = watch::channel(LeaseStatus::Free);
        let runner = self.clone();
        let name = name.clone();
        let task: JoinHandle<()> = self
            .running
            .spawn(async move { runner.run(&name, &sender).await });
        drop(task);
        receiver
    }

    /// Returns the last known state of each lease that the host holds or contends for.
    pub fn views(&self) -> Vec<LeaseView> {
        let views = self.views.lock().unwrap_or_else(PoisonError::into_inner);
        views.values().cloned().collect()
    }

    /// Releases all leases and waits for the platform to confirm it, for at most 3 seconds.
    pub async fn stop(&self) {
        self.stopped.cancel();
        self.running.close();
        if tokio::time::timeout(RELEASE_TIMEOUT, self.running.wait())
            .await
            .is_err()
        {
            log_fault(
                "lease",
                &"a lease was not released in time; it expires by itself",
            );
        }
    }

    /// Performs the actions of the state machine of one lease until it finishes.
    async fn run(&self, name: &LeaseName, status: &watch::Sender<LeaseStatus>) {
        let key = ObjectKey::new(LEASE_KIND, name.as_str());
        let mut machine = LeaseMachine::new(self.owner.clone(), self.settings, rand::random());
        let mut event = self.read(&key).await;
        let mut released = false;
        loop {
            let mut action = machine.handle(&event, self.timers.now());
            self.publish(&machine, status);
            self.update_view(name, &event, machine.status());
            let releasing = self.stopped.is_cancelled() || status.is_closed();
            if releasing && !released {
                released = true;
                action = machine.handle(&LeaseEvent::Release, self.timers.now());
                self.publish(&machine, status);
            }
            event = match action {
                LeaseAction::Finish => return self.remove_view(name),
                LeaseAction::Read => self.read(&key).await,
                LeaseAction::Write(condition, document) => {
                    let sent = self.timers.now();
                    let outcome = match serde_json::to_value(&document) {
                        Ok(value) => self.write(&key, condition, &value).await,
                        Err(_) => WriteOutcome::Rejected,
                    };
                    LeaseEvent::Written(outcome, sent)
                }
                LeaseAction::Wait(until) => {
                    tokio::select! {
                        () = self.timers.sleep_until(until) => {}
                        () = self.stopped.cancelled() => {}
                        () = status.closed() => {}
                    }
                    LeaseEvent::Due
                }
            };
        }
    }

    /// Publishes the status of the lease if it changed.
    fn publish(&self, machine: &LeaseMachine, status: &watch::Sender<LeaseStatus>) {
        status.send_if_modified(|known| {
            let changed = *known != machine.status();
            *known = machine.status();
            changed
        });
    }

    /// Updates the view of a lease after an event.
    fn update_view(&self, name: &LeaseName, event: &LeaseEvent, status: LeaseStatus) {
        let mut views = self.views.lock().unwrap_or_else(PoisonError::into_inner);
        let view = views.entry(name.clone());
        let view = view.or_insert_with(|| LeaseView::new(name.clone()));
        view.update(event, status, &self.owner.host);
    }

    /// Removes the view of a lease for which the host no longer contends.
    fn remove_view(&self, name: &LeaseName) {
        let mut views = self.views.lock().unwrap_or_else(PoisonError::into_inner);
        views.remove(name);
    }

    /// Reads the lease from the platform; failures are logged.
    async fn read(&self, key: &ObjectKey) -> LeaseEvent {
        match self.objects.read(key).await {
            Ok(None) => LeaseEvent::Read(None),
            Ok(Some(record)) => match decode(record) {
                Ok(record) => LeaseEvent::Read(Some(record)),
                Err(error) => {
                    log_fault("lease", &error);
                    LeaseEvent::ReadFailed
                }
            },
            Err(error) => {
                log_fault("lease", &error);
                LeaseEvent::ReadFailed
            }
        }
    }

    /// Writes the lease to the platform; failures are logged.
    async fn write(
        &self,
        key: &ObjectKey,
        condition: WriteCondition,
        value: &Value,
    ) -> WriteOutcome {
        match self.objects.write(key, condition, value).await {
            Ok(outcome) => outcome,
            Err(error) => {
                log_fault("lease", &error);
                WriteOutcome::Rejected
            }
        }
    }
}

/// Decodes a lease from its object.
fn decode(record: ObjectRecord) -> Result<LeaseRecord, serde_json::Error> {
    Ok(LeaseRecord {
        version: record.version,
        document: serde_json::from_value(record.value)?,
    })
}
