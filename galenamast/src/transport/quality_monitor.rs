//! Evaluates versions by their answers, publishes quality and brakes to routing, and shares both
//! with other entry hosts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::Level;
use tokio::sync::mpsc;

use crate::coordination::{
    BrakeNotice, MonitorAction, PeerScope, QualityExchange, QualityUpdate, RatedAnswer,
    RatingCounter, VersionMonitor, rank_hosts,
};
use crate::logging::{log_fault, log_record};
use crate::protocol::{LogRecord, SoftState};
use crate::state::{
    ConfigImage, HostName, QualityOrigin, QualityTable, RouteTables, TimePoint, VersionKey,
};
use crate::transport::host_context::{HostContext, RatingCountFn};
use crate::transport::peer_mesh::SoftStateHandler;

/// Time between two publications of the quality table.
const PUBLISH_PERIOD: Duration = Duration::from_millis(250);

/// Time between two broadcasts of the active brakes, for hosts that have started since.
const BRAKE_REPEAT_PERIOD: Duration = Duration::from_secs(10);
/// Rendezvous task that selects the host of each failure domain that repeats the active brakes.
const BRAKE_TASK: &str = "brakes";

/// Input of the quality monitor.
#[derive(Clone, Debug)]
pub enum QualityEvent {
    /// An attempt ended or its answer was rated on this host.
    Answer(RatedAnswer),
    /// Another entry host braked a version.
    Brake(BrakeNotice),
    /// Another entry host shared quality sums, evidence or rating counts.
    Peer(QualityUpdate),
}

/// State of the quality monitor. `rating_counts` is shared with readers; `changed` is set when
/// there is something new to publish.
struct QualityMonitor {
    context: Arc<HostContext>,
    version_monitor: VersionMonitor,
    table: QualityTable,
    image: Arc<ConfigImage>,
    counter: RatingCounter,
    exchange: QualityExchange,
    rating_counts: Arc<ArcSwap<BTreeMap<VersionKey, u64>>>,
    changed: bool,
}

/// Evaluates versions until the task is aborted.
pub async fn monitor_quality(context: Arc<HostContext>, mut events: mpsc::Receiver<QualityEvent>) {
    let origin = QualityOrigin {
        host: context.settings.host.name.clone(),
        incarnation: context.timers.unix_millis(),
    };
    let mut ticks = context.timers.subscribe(PUBLISH_PERIOD);
    let mut brake_repeats = context.timers.subscribe(BRAKE_REPEAT_PERIOD);
    let mut monitor = QualityMonitor {
        version_monitor: VersionMonitor::new(origin.clone()),
        counter: RatingCounter::new(origin.clone()),
        table: QualityTable::new(origin),
        exchange: QualityExchange::default(),
        rating_counts: Arc::default(),
        image: context.image.load_full(),
        changed: false,
        context,
    };
    let counts = monitor.rating_counts.clone();
    let rating_count: RatingCountFn =
        Arc::new(move |version| counts.load().get(version).copied().unwrap_or_default());
    monitor
        .context
        .rated_answers
        .store(Some(Arc::new(rating_count)));
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => monitor.handle(event),
                None => return,
            },
            _ = brake_repeats.tick() => monitor.repeat_brakes(),
            _ = ticks.tick() => {
                monitor.publish();
                monitor.broadcast_updates();
            }
        }
    }
}

impl QualityMonitor {
    /// Handles an event.
    fn handle(&mut self, event: QualityEvent) {
        self.adopt_image();
        let now = self.context.timers.now();
        match event {
            QualityEvent::Answer(answer) => {
                self.changed = true;
                if answer.rating.is_some() {
                    self.counter.count(&answer.version);
                }
                let (table, image) = (&mut self.table, &self.image);
                if let Some(action) = self
                    .version_monitor
                    .observe_answer(&answer, table, image, now)
                {
                    self.perform(action);
                }
            }
            QualityEvent::Peer(update) => self.merge_update(&update, now),
            QualityEvent::Brake(notice) => {
                if self.version_monitor.brake_table.apply(notice, now) {
                    self.publish_now();
                }
            }
        }
    }

    /// Merges an update of another entry host.
    fn merge_update(&mut self, update: &QualityUpdate, now: TimePoint) {
        self.changed = true;
        match update {
            QualityUpdate::Cells(digest) => self.table.merge(digest, now),
            QualityUpdate::Counts(counts) => self.counter.merge(counts),
            QualityUpdate::Evidence(evidence) => {
                let image = self.image.clone();
                if let Some(action) = self.version_monitor.merge_update(evidence, &image, now) {
                    self.perform(action);
                }
            }
        }
    }

    /// Broadcasts the active brakes if this host is selected to do so.
    fn repeat_brakes(&self) {
        let Some(mesh) = self.context.peers.get() else {
            return;
        };
        let members = mesh.members();
        let names = members.live().map(|record| &record.name);
        if rank_hosts(BRAKE_TASK, names).first() != Some(mesh.own()) {
            return;
        }
        for notice in self
            .version_monitor
            .brake_table
            .notes(self.context.timers.now())
        {
            if let Err(error) = mesh.broadcast(PeerScope::FleetPeriodic, &SoftState::Brake(notice))
            {
                log_fault("quality", &error);
            }
        }
    }

    /// Broadcasts what has changed on this host, when the next round is due.
    fn broadcast_updates(&mut self) {
        let Some(mesh) = self.context.peers.get() else {
            return;
        };
        let hosts = mesh.members().fleet_estimate();
        let (generation, now) = (self.image.generation, self.context.timers.now());
        let (table, versions, counter) = (&self.table, &self.version_monitor, &self.counter);
        let exchange = &mut self.exchange;
        for update in exchange.round(table, versions, counter, generation, hosts, now) {
            let state = match update {
                QualityUpdate::Cells(digest) => SoftState::Quality(digest),
                QualityUpdate::Evidence(evidence) => SoftState::Evidence(evidence),
                QualityUpdate::Counts(counts) => SoftState::Ratings(counts),
            };
            if let Err(error) = mesh.broadcast(PeerScope::FleetPeriodic, &state) {
                log_fault("quality", &error);
            }
        }
    }

    /// Drops tests and brakes that a new configuration supersedes.
    fn adopt_image(&mut self) {
        let image = self.context.image.load_full();
        if image.generation != self.image.generation {
            self.version_monitor.adopt_image(&self.image, &image);
            self.image = image;
            self.publish_now();
        }
    }

    /// Publishes and broadcasts a brake, or logs an alarm for a bad version that cannot be braked.
    fn perform(&mut self, action: MonitorAction) {
        match action {
            MonitorAction::Brake(notice) => {
                self.publish_now();
                log_record(Level::Warn, &LogRecord::VersionBraked(notice.clone()));
                let Some(mesh) = self.context.peers.get() else {
                    return;
                };
                if let Err(error) = mesh.broadcast(PeerScope::Fleet, &SoftState::Brake(notice)) {
                    log_fault("quality", &error);
                }
            }
            MonitorAction::Alarm(version, verdict) => {
                let message = format!(
                    "{version} failed its test ({verdict:?}) but is not braked: \
                     a workspace has no other version"
                );
                log_fault("quality", &message);
            }
        }
    }

    /// Publishes quality and brakes if anything changed.
    fn publish(&mut self) {
        self.adopt_image();
        if self.changed {
            self.publish_now();
        }
    }

    /// Publishes quality, rating counts and brakes.
    fn publish_now(&mut self) {
        self.changed = false;
        let quality = Arc::new(self.table.snapshot());
        self.rating_counts.store(Arc::new(self.counter.totals()));
        let now = self.context.timers.now();
        let brakes = self.version_monitor.brake_table.active(now);
        let notes = self.version_monitor.brake_table.notes(now);
        self.context.brake_notes.store(Arc::new(notes));
        let suspects = self.version_monitor.suspects();
        self.context.tables.rcu(|tables| RouteTables {
            quality: quality.clone(),
            brakes: brakes.clone(),
            suspects: suspects.clone(),
            ..RouteTables::clone(tables)
        });
    }
}

/// Subscribes to brakes, quality, evidence and rating counts of other entry hosts.
pub fn subscribe_quality_updates(context: &Arc<HostContext>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    let events = context.quality_events.clone();
    let handler: SoftStateHandler = Arc::new(move |_: &HostName, state: &SoftState| {
        let event = match state {
            SoftState::Brake(notice) => QualityEvent::Brake(notice.clone()),
            SoftState::Quality(digest) => QualityEvent::Peer(QualityUpdate::Cells(digest.clone())),
            SoftState::Evidence(item) => QualityEvent::Peer(QualityUpdate::Evidence(item.clone())),
            SoftState::Ratings(item) => QualityEvent::Peer(QualityUpdate::Counts(item.clone())),
            _ => return,
        };
        if events.try_send(event).is_err() {
            log_fault(
                "quality",
                &"update of another host dropped: the event queue is full or closed",
            );
        }
    });
    mesh.on_soft_state(&handler);
}
