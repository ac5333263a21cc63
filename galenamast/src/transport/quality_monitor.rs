//! Feeds answers to the judge of versions, publishes quality and brakes, and shares them.

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

/// Time between two repetitions of the brakes in force, for hosts that started since.
const BRAKE_PERIOD: Duration = Duration::from_secs(10);
/// Task name by which the host is chosen that repeats them in its failure domain.
const BRAKE_TASK: &str = "brakes";

/// News for the judge of versions.
#[derive(Clone, Debug)]
pub enum QualityEvent {
    /// An attempt ended, or its answer was rated.
    Answer(RatedAnswer),
    /// Another entry host braked a version.
    Brake(BrakeNotice),
    /// Another entry host told of quality, evidence or counts.
    News(QualityUpdate),
}

/// The judge with the table that it fills.
struct QualityMonitor {
    context: Arc<HostContext>,
    monitor: VersionMonitor,
    table: QualityTable,
    image: Arc<ConfigImage>,
    counter: RatingCounter,
    exchange: QualityExchange,
    rated: Arc<ArcSwap<BTreeMap<VersionKey, u64>>>,
    changed: bool,
}

/// Judges versions until the task is aborted.
pub async fn monitor_quality(context: Arc<HostContext>, mut events: mpsc::Receiver<QualityEvent>) {
    let origin = QualityOrigin {
        host: context.settings.host.name.clone(),
        incarnation: context.timers.unix_millis(),
    };
    let mut ticks = context.timers.subscribe(PUBLISH_PERIOD);
    let mut repeats = context.timers.subscribe(BRAKE_PERIOD);
    let mut feed = QualityMonitor {
        monitor: VersionMonitor::new(origin.clone()),
        counter: RatingCounter::new(origin.clone()),
        table: QualityTable::new(origin),
        exchange: QualityExchange::default(),
        rated: Arc::default(),
        image: context.image.load_full(),
        changed: false,
        context,
    };
    let rated = feed.rated.clone();
    let call: RatingCountFn =
        Arc::new(move |version| rated.load().get(version).copied().unwrap_or_default());
    feed.context.rated_answers.store(Some(Arc::new(call)));
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => feed.handle(event),
                None => return,
            },
            _ = repeats.tick() => feed.repeat_brakes(),
            _ = ticks.tick() => {
                feed.publish();
                feed.tell_peers();
            }
        }
    }
}

impl QualityMonitor {
    /// Takes in news.
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
                if let Some(action) = self.monitor.observe_answer(&answer, table, image, now) {
                    self.act(action);
                }
            }
            QualityEvent::News(news) => self.take_news(&news, now),
            QualityEvent::Brake(note) => {
                if self.monitor.brake_table.apply(note, now) {
                    self.publish_now();
                }
            }
        }
    }

    /// Takes in what another entry host told.
    fn take_news(&mut self, news: &QualityUpdate, now: TimePoint) {
        self.changed = true;
        match news {
            QualityUpdate::Cells(digest) => self.table.merge(digest, now),
            QualityUpdate::Counts(counts) => self.counter.merge(counts),
            QualityUpdate::Evidence(evidence) => {
                let image = self.image.clone();
                if let Some(action) = self.monitor.merge_update(evidence, &image, now) {
                    self.act(action);
                }
            }
        }
    }

    /// Repeats the brakes in force, if this host is the one to do so.
    fn repeat_brakes(&self) {
        let Some(mesh) = self.context.peers.get() else {
            return;
        };
        let members = mesh.members();
        let names = members.live().map(|record| &record.name);
        if rank_hosts(BRAKE_TASK, names).first() != Some(mesh.own()) {
            return;
        }
        for note in self.monitor.brake_table.notes(self.context.timers.now()) {
            if let Err(error) = mesh.broadcast(PeerScope::FleetPeriodic, &SoftState::Brake(note)) {
                log_fault("quality", &error);
            }
        }
    }

    /// Tells other entry hosts what changed here.
    fn tell_peers(&mut self) {
        let Some(mesh) = self.context.peers.get() else {
            return;
        };
        let hosts = mesh.members().fleet_estimate();
        let (generation, now) = (self.image.generation, self.context.timers.now());
        let (table, monitor, counter) = (&self.table, &self.monitor, &self.counter);
        let exchange = &mut self.exchange;
        for news in exchange.round(table, monitor, counter, generation, hosts, now) {
            let state = match news {
                QualityUpdate::Cells(digest) => SoftState::Quality(digest),
                QualityUpdate::Evidence(evidence) => SoftState::Evidence(evidence),
                QualityUpdate::Counts(counts) => SoftState::Ratings(counts),
            };
            if let Err(error) = mesh.broadcast(PeerScope::FleetPeriodic, &state) {
                log_fault("quality", &error);
            }
        }
    }

    /// Forgets what a new configuration superseded.
    fn adopt_image(&mut self) {
        let image = self.context.image.load_full();
        if image.generation != self.image.generation {
            self.monitor.adopt_image(&self.image, &image);
            self.image = image;
            self.publish_now();
        }
    }

    /// Brakes a version on this host and tells the others, or raises an alarm.
    fn act(&mut self, action: MonitorAction) {
        match action {
            MonitorAction::Brake(note) => {
                self.publish_now();
                log_record(Level::Warn, &LogRecord::VersionBraked(note.clone()));
                let Some(mesh) = self.context.peers.get() else {
                    return;
                };
                if let Err(error) = mesh.broadcast(PeerScope::Fleet, &SoftState::Brake(note)) {
                    log_fault("quality", &error);
                }
            }
            MonitorAction::Alarm(version, verdict) => {
                let message = format!("{version} is bad ({verdict:?}) but the last one in use");
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

    /// Publishes quality and brakes.
    fn publish_now(&mut self) {
        self.changed = false;
        let quality = Arc::new(self.table.snapshot());
        self.rated.store(Arc::new(self.counter.totals()));
        let now = self.context.timers.now();
        let brakes = self.monitor.brake_table.active(now);
        let notes = self.monitor.brake_table.notes(now);
        self.context.brake_notes.store(Arc::new(notes));
        let suspects = self.monitor.suspects();
        self.context.tables.rcu(|tables| RouteTables {
            quality: quality.clone(),
            brakes: brakes.clone(),
            suspects: suspects.clone(),
            ..RouteTables::clone(tables)
        });
    }
}

/// Takes in the brakes and the quality of other entry hosts from now on.
pub fn subscribe_quality_updates(context: &Arc<HostContext>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    let events = context.quality_events.clone();
    let handler: SoftStateHandler = Arc::new(move |_: &HostName, state: &SoftState| {
        let event = match state {
            SoftState::Brake(note) => QualityEvent::Brake(note.clone()),
            SoftState::Quality(digest) => QualityEvent::News(QualityUpdate::Cells(digest.clone())),
            SoftState::Evidence(news) => QualityEvent::News(QualityUpdate::Evidence(news.clone())),
            SoftState::Ratings(news) => QualityEvent::News(QualityUpdate::Counts(news.clone())),
            _ => return,
        };
        if events.try_send(event).is_err() {
            log_fault("quality", &"news of another host was not taken in");
        }
    });
    mesh.on_soft_state(&handler);
}
