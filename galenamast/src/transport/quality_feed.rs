//! Feeds answers to the judge of versions, publishes quality and brakes, and shares brakes.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tokio::sync::mpsc;

use crate::coordination::{BrakeNote, JudgeAction, PeerScope, RatedAnswer, VersionJudge};
use crate::logging::{log_fault, log_record};
use crate::protocol::{LogRecord, SoftState};
use crate::state::{ConfigImage, HostName, QualityOrigin, QualityTable, RouteTables};
use crate::transport::host_context::HostContext;
use crate::transport::peer_mesh::SoftHandler;

/// Time between two publications of the quality table.
const PUBLISH_PERIOD: Duration = Duration::from_millis(250);

/// News for the judge of versions.
#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// An attempt ended, or its answer was rated.
    Answer(RatedAnswer),
    /// Another entry host braked a version.
    Brake(BrakeNote),
}

/// The judge with the table that it fills.
struct QualityFeed {
    context: Arc<HostContext>,
    judge: VersionJudge,
    table: QualityTable,
    image: Arc<ConfigImage>,
    changed: bool,
}

/// Judges versions until the task is aborted.
pub async fn follow_answers(context: Arc<HostContext>, mut events: mpsc::Receiver<FeedEvent>) {
    let origin = QualityOrigin {
        host: context.settings.host.name.clone(),
        incarnation: context.timers.unix_millis(),
    };
    let mut ticks = context.timers.subscribe(PUBLISH_PERIOD);
    let mut feed = QualityFeed {
        judge: VersionJudge::new(origin.clone()),
        table: QualityTable::new(origin),
        image: context.image.load_full(),
        changed: false,
        context,
    };
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => feed.handle(event),
                None => return,
            },
            _ = ticks.tick() => feed.publish(),
        }
    }
}

impl QualityFeed {
    /// Takes in news.
    fn handle(&mut self, event: FeedEvent) {
        self.adopt_image();
        let now = self.context.timers.now();
        match event {
            FeedEvent::Answer(answer) => {
                self.changed = true;
                let (table, image) = (&mut self.table, &self.image);
                if let Some(action) = self.judge.judge_rating(&answer, table, image, now) {
                    self.act(action);
                }
            }
            FeedEvent::Brake(note) => {
                if self.judge.board.apply(note, now) {
                    self.publish_now();
                }
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
    fn act(&mut self, action: JudgeAction) {
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
        let quality = Arc::new(self.table.clone());
        let now = self.context.timers.now();
        let brakes = self.judge.board.active(now);
        let notes = self.judge.board.notes(now);
        self.context.brake_notes.store(Arc::new(notes));
        self.context.tables.rcu(|tables| RouteTables {
            quality: quality.clone(),
            brakes: brakes.clone(),
            ..RouteTables::clone(tables)
        });
    }
}

/// Takes in the brakes of other entry hosts from now on.
pub fn follow_brakes(context: &Arc<HostContext>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    let events = context.answers.clone();
    let handler: SoftHandler = Arc::new(move |_: &HostName, state: &SoftState| {
        if let SoftState::Brake(note) = state
            && events.try_send(FeedEvent::Brake(note.clone())).is_err()
        {
            log_fault("quality", &"a brake was not taken in");
        }
    });
    mesh.on_soft_state(&handler);
}
