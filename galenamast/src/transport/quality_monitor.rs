//! Feeds answers to the judge of versions, publishes quality and brakes, and shares them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::Level;
use tokio::sync::mpsc;

use crate::coordination::{
    BrakeNote, JudgeAction, PeerScope, QualityExchange, QualityNews, RatedAnswer, RatingCounter,
    VersionJudge, rank_hosts,
};
use crate::logging::{log_fault, log_record};
use crate::protocol::{LogRecord, SoftState};
use crate::state::{
    ConfigImage, HostName, QualityOrigin, QualityTable, RouteTables, TimePoint, VersionKey,
};
use crate::transport::host_context::{HostContext, RatingCountFn};
use crate::transport::peer_mesh::SoftHandler;

/// Time between two publications of the quality table.
const PUBLISH_PERIOD: Duration = Duration::from_millis(250);

/// Time between two repetitions of the brakes in force, for hosts that started since.
const BRAKE_REPEAT_PERIOD: Duration = Duration::from_secs(10);
/// Task name by which the host is chosen that repeats them in its failure domain.
const BRAKE_TASK: &str = "brakes";

/// News for the judge of versions.
#[derive(Clone, Debug)]
pub enum QualityEvent {
    /// An attempt ended, or its answer was rated.
    Answer(RatedAnswer),
    /// Another entry host braked a version.
    Brake(BrakeNote),
    /// Another entry host told of quality, evidence or counts.
    Update(QualityNews),
}

/// The judge with the table that it fills.
struct QualityMonitor {
    context: Arc<HostContext>,
    judge: VersionJudge,
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
    let mut brake_repeats = context.timers.subscribe(BRAKE_REPEAT_PERIOD);
    let mut monitor = QualityMonitor {
        judge: VersionJudge::new(origin.clone()),
        counter: RatingCounter::new(origin.clone()),
        table: QualityTable::new(origin),
        exchange: QualityExchange::default(),
        rated: Arc::default(),
        image: context.image.load_full(),
        changed: false,
        context,
    };
    let rated = monitor.rated.clone();
    let call: RatingCountFn =
        Arc::new(move |version| rated.load().get(version).copied().unwrap_or_default());
    monitor.context.rated_answers.store(Some(Arc::new(call)));
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
                if let Some(action) = self.judge.judge_rating(&answer, table, image, now) {
                    self.perform(action);
                }
            }
            QualityEvent::Update(news) => self.merge_update(&news, now),
            QualityEvent::Brake(note) => {
                if self.judge.board.apply(note, now) {
                    self.publish_now();
                }
            }
        }
    }

    /// Takes in what another entry host told.
    fn merge_update(&mut self, news: &QualityNews, now: TimePoint) {
        self.changed = true;
        match news {
            QualityNews::Cells(digest) => self.table.merge(digest, now),
            QualityNews::Counts(counts) => self.counter.merge(counts),
            QualityNews::Evidence(evidence) => {
                let image = self.image.clone();
                if let Some(action) = self.judge.merge_news(evidence, &image, now) {
                    self.perform(action);
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
        for note in self.judge.board.notes(self.context.timers.now()) {
            if let Err(error) = mesh.broadcast(PeerScope::FleetOnce, &SoftState::Brake(note)) {
                log_fault("quality", &error);
            }
        }
    }

    /// Tells other entry hosts what changed here.
    fn broadcast_updates(&mut self) {
        let Some(mesh) = self.context.peers.get() else {
            return;
        };
        let hosts = mesh.members().fleet_estimate();
        let (generation, now) = (self.image.generation, self.context.timers.now());
        let (table, judge, counter) = (&self.table, &self.judge, &self.counter);
        let exchange = &mut self.exchange;
        for news in exchange.round(table, judge, counter, generation, hosts, now) {
            let state = match news {
                QualityNews::Cells(digest) => SoftState::Quality(digest),
                QualityNews::Evidence(evidence) => SoftState::Evidence(evidence),
                QualityNews::Counts(counts) => SoftState::Ratings(counts),
            };
            if let Err(error) = mesh.broadcast(PeerScope::FleetOnce, &state) {
                log_fault("quality", &error);
            }
        }
    }

    /// Forgets what a new configuration superseded.
    fn adopt_image(&mut self) {
        let image = self.context.image.load_full();
        if image.generation != self.image.generation {
            self.judge.adopt_image(&self.image, &image);
            self.image = image;
            self.publish_now();
        }
    }

    /// Brakes a version on this host and tells the others, or raises an alarm.
    fn perform(&mut self, action: JudgeAction) {
        match action {
            JudgeAction::Brake(note) => {
                self.publish_now();
                log_record(Level::Warn, &LogRecord::VersionBraked(note.clone()));
                let Some(mesh) = self.context.peers.get() else {
                    return;
                };
                if let Err(error) = mesh.broadcast(PeerScope::Fleet, &SoftState::Brake(note)) {
                    log_fault("quality", &error);
                }
            }
            JudgeAction::Alarm(version, verdict) => {
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
        let brakes = self.judge.board.active(now);
        let notes = self.judge.board.notes(now);
        self.context.brake_notes.store(Arc::new(notes));
        let suspects = self.judge.suspects();
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
    let handler: SoftHandler = Arc::new(move |_: &HostName, state: &SoftState| {
        let event = match state {
            SoftState::Brake(note) => QualityEvent::Brake(note.clone()),
            SoftState::Quality(digest) => QualityEvent::Update(QualityNews::Cells(digest.clone())),
            SoftState::Evidence(news) => QualityEvent::Update(QualityNews::Evidence(news.clone())),
            SoftState::Ratings(news) => QualityEvent::Update(QualityNews::Counts(news.clone())),
            _ => return,
        };
        if events.try_send(event).is_err() {
            log_fault("quality", &"news of another host was not taken in");
        }
    });
    mesh.on_soft_state(&handler);
}
