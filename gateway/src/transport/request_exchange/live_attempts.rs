//! The attempts of one request that are in progress.
//!
//! Load pattern: servers that are late or silent for a while, beside others that are asked in their place.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::select_all;
use galenamast::state::TimePoint;
use tokio::sync::watch;

use crate::coordination::requests::AttemptOutcome;
use crate::state::ServerEntry;
use crate::transport::attempt_runner::{
    AttemptEnd, AttemptRequest, AttemptStage, StreamHead, run_attempt,
};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::server_watch::ServerWatch;

/// Longest time for which an engine works on a request that was sent to another one in its place. Both may
/// not run it for long.
pub(crate) const HANDOVER_TIME: Duration = Duration::from_millis(200);

/// How long the parts of a response may take before another server is asked.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseTimes {
    /// Time from sending the request to the head.
    pub(super) head: Duration,
    /// Time from the head, or from a part of a response that is not streamed, to what is needed next.
    pub(super) rest: Duration,
    /// Expected time to the first byte.
    pub(super) first_byte: Duration,
}

/// An attempt in progress.
pub(super) struct LiveAttempt {
    /// The server.
    pub(super) server: ServerEntry,
    /// Number of the attempt, from 1.
    pub(super) number: u32,
    /// When the attempt began.
    pub(super) started_at: TimePoint,
    /// Whether another server was asked in place of this one.
    pub(super) is_replaced: bool,
    /// Whether a retry was taken from the budget for it.
    pub(super) has_grant: bool,
    /// Whether the server had the request before.
    pub(super) is_return: bool,
    /// Model that runs the request.
    pub(super) model: Option<Arc<str>>,
    /// When half of the time that was left has passed.
    pub(super) half_time: TimePoint,
    // Whether the head of the stream was judged.
    is_judged: bool,
    lateness: ResponseLateness,
    ending: Pin<Box<dyn Future<Output = AttemptEnd> + Send>>,
}

/// Finds out when the response of an attempt is late.
struct ResponseLateness {
    server: ServerEntry,
    times: ResponseTimes,
    stage: watch::Receiver<AttemptStage>,
    // Why the response is late.
    outcome: Option<AttemptOutcome>,
    // When it was last found to be late.
    found_at: Option<TimePoint>,
    watch: Option<ServerWatch>,
}

impl LiveAttempt {
    /// Starts an attempt.
    pub(super) fn start(
        context: &Arc<GatewayContext>,
        call: AttemptRequest,
        times: ResponseTimes,
        time_left: Duration,
    ) -> Self {
        let (sender, stage) = watch::channel(AttemptStage::default());
        Self {
            server: call.server.clone(),
            number: call.number,
            started_at: context.now(),
            is_replaced: false,
            has_grant: false,
            is_return: false,
            model: None,
            half_time: context.now() + time_left / 2,
            is_judged: false,
            lateness: ResponseLateness {
                server: call.server.clone(),
                times,
                stage,
                outcome: None,
                found_at: None,
                watch: None,
            },
            ending: Box::pin(run_attempt(context.clone(), call, sender)),
        }
    }

    /// Returns when the request was sent.
    pub(super) fn sent_at(&self) -> Option<TimePoint> {
        self.lateness.stage.borrow().sent_at
    }

    /// Waits for the end of the attempt.
    pub(super) async fn end(&mut self) -> AttemptEnd {
        self.ending.as_mut().await
    }

    /// Returns why the response is late; `None` if it is not.
    pub(super) fn late_outcome(&self) -> Option<AttemptOutcome> {
        self.lateness.outcome
    }

    /// Returns how the attempt ends if it is given up now for `outcome`.
    pub(super) fn given_up(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        match (self.sent_at(), outcome) {
            (Some(_), outcome) => outcome,
            (None, AttemptOutcome::Silent) => AttemptOutcome::NotSent,
            (None, _) => AttemptOutcome::Withheld,
        }
    }

    /// Records that another server is asked in place of this one.
    pub(super) fn replace(&mut self) {
        self.is_replaced = true;
        self.lateness.watch = None;
    }
}

impl ResponseLateness {
    /// Waits until the response is late, or its server is judged lost. If no other server is asked then,
    /// the same happens again later.
    async fn wait(&mut self, context: &Arc<GatewayContext>) {
        loop {
            let stage = *self.stage.borrow_and_update();
            let is_watched = stage.sent_at.is_some() && !stage.has_head;
            if !is_watched {
                self.watch = None;
            } else if self.watch.is_none() {
                let expected = self.times.first_byte;
                self.watch = Some(ServerWatch::new(context, &self.server, expected));
            }
            let allowed = if stage.has_head {
                self.times.rest
            } else {
                self.times.head
            };
            let overdue_at = stage
                .progress_at
                .map(|at| self.found_at.map_or(at, |found| found.max(at)) + allowed);
            let retry_pause = context.settings.liveness.retry_pause;
            let loss_waits_until = self
                .found_at
                .filter(|_| self.outcome == Some(AttemptOutcome::Lost))
                .map(|at| at + retry_pause);
            let overdue = async {
                match overdue_at {
                    Some(at) => context.timers.sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let lost = async {
                let Some(watch) = &self.watch else {
                    return std::future::pending().await;
                };
                if let Some(at) = loss_waits_until {
                    context.timers.sleep_until(at).await;
                }
                watch.wait_until_lost().await;
            };
            let outcome = tokio::select! {
                biased;
                changed = self.stage.changed() => match changed {
                    Ok(()) => continue,
                    // The attempt is about to end.
                    Err(_) => std::future::pending().await,
                },
                () = lost => AttemptOutcome::Lost,
                () = overdue => AttemptOutcome::Overdue,
            };
            self.outcome = Some(outcome);
            self.found_at = Some(context.now());
            return;
        }
    }
}

/// What happened to the attempts of a request.
pub(super) enum AttemptEvent {
    /// An attempt ended.
    Ended(LiveAttempt, Box<AttemptEnd>),
    /// The attempt with this index has the head of a stream, and no event yet.
    StreamHead(usize, StreamHead),
    /// The latest attempt is late.
    Late,
    /// The server of a replaced attempt is to be left.
    HandedOver(LiveAttempt),
}

/// The attempts of a request that are in progress, in the order in which they began.
#[derive(Default)]
pub(super) struct LiveAttempts {
    attempts: Vec<LiveAttempt>,
}

impl LiveAttempts {
    /// Adds an attempt.
    pub(super) fn push(&mut self, attempt: LiveAttempt) {
        self.attempts.push(attempt);
    }

    /// Removes all attempts and returns them.
    pub(super) fn take_all(&mut self) -> Vec<LiveAttempt> {
        std::mem::take(&mut self.attempts)
    }

    /// Removes the attempt with an index.
    pub(super) fn take(&mut self, index: usize) -> LiveAttempt {
        self.attempts.remove(index)
    }

    /// Removes the attempts after an index and returns them, unless one has the head of its stream.
    pub(super) fn take_after(&mut self, index: usize) -> Vec<LiveAttempt> {
        let has_head = |attempt: &LiveAttempt| attempt.lateness.stage.borrow().has_head;
        match self.attempts.iter().skip(index + 1).any(has_head) {
            true => Vec::new(),
            false => self.attempts.split_off(index + 1),
        }
    }

    /// Removes all attempts but the latest and returns them.
    pub(super) fn take_replaced(&mut self) -> Vec<LiveAttempt> {
        let latest = self.attempts.pop();
        let replaced = std::mem::take(&mut self.attempts);
        self.attempts.extend(latest);
        replaced
    }

    /// Returns the latest attempt.
    pub(super) fn latest_mut(&mut self) -> Option<&mut LiveAttempt> {
        self.attempts.last_mut()
    }

    /// Returns whether no attempt is in progress.
    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the number of attempts.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of attempts that are not late.
    pub(super) fn in_time(&self) -> u32 {
        let in_time = self
            .attempts
            .iter()
            .filter(|attempt| attempt.late_outcome().is_none());
        u32::try_from(in_time.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of attempts at servers that had the request before.
    pub(super) fn returned(&self) -> u32 {
        let returned = self.attempts.iter().filter(|attempt| attempt.is_return);
        u32::try_from(returned.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether the latest attempt has had half of the time that was left when it began.
    pub(super) fn has_waited(&self, now: TimePoint) -> bool {
        let latest = self.attempts.last();
        latest.is_some_and(|latest| now >= latest.half_time)
    }

    /// Returns the servers of the attempts.
    pub(super) fn servers(&self) -> impl Iterator<Item = Arc<str>> {
        self.attempts
            .iter()
            .map(|attempt| attempt.server.id.clone())
    }

    /// Returns when the first of the attempts began.
    pub(super) fn begun_at(&self) -> Option<TimePoint> {
        self.attempts.iter().map(|attempt| attempt.started_at).min()
    }

    /// Waits for the next event. With `hold_time`, a replaced server is left that long after another one
    /// was sent the request.
    pub(super) async fn next_event(
        &mut self,
        context: &Arc<GatewayContext>,
        hold_time: Option<Duration>,
    ) -> AttemptEvent {
        let unjudged = self.attempts.iter().enumerate();
        let unjudged = unjudged.filter(|(_, attempt)| !attempt.is_judged);
        let mut reports: Vec<_> = unjudged
            .map(|(index, attempt)| {
                let mut stage = attempt.lateness.stage.clone();
                Box::pin(async move {
                    let report = stage.wait_for(|stage| stage.stream_head.is_some()).await;
                    report
                        .ok()
                        .and_then(|stage| stage.stream_head.map(|report| (index, report)))
                })
            })
            .collect();
        let reported = async {
            while !reports.is_empty() {
                let (report, _, rest) = select_all(reports).await;
                if let Some(report) = report {
                    return report;
                }
                reports = rest;
            }
            std::future::pending().await
        };
        let Some((latest, earlier)) = self.attempts.split_last_mut() else {
            return std::future::pending().await;
        };
        let hold_time = hold_time.filter(|_| !earlier.is_empty());
        let successor = earlier.get(1).unwrap_or(latest);
        let mut stage = successor.lateness.stage.clone();
        let handed_over = async {
            let Some(hold_time) = hold_time else {
                return std::future::pending().await;
            };
            let sent = stage.wait_for(|stage| stage.sent_at.is_some()).await;
            let sent_at = sent.ok().and_then(|stage| stage.sent_at);
            match sent_at {
                Some(at) => context.timers.sleep_until(at + hold_time).await,
                None => std::future::pending().await,
            }
        };
        let (latest_ending, lateness) = (&mut latest.ending, &mut latest.lateness);
        let earlier_endings = earlier.iter_mut().map(|attempt| &mut attempt.ending);
        let endings = earlier_endings.chain([latest_ending]);
        let ended = tokio::select! {
            biased;
            (index, report) = reported => {
                self.attempts[index].is_judged = true;
                return AttemptEvent::StreamHead(index, report);
            }
            (end, index, _) = select_all(endings) => (index, Some(end)),
            () = handed_over => (0, None),
            () = lateness.wait(context) => return AttemptEvent::Late,
        };
        let (index, end) = ended;
        let attempt = self.attempts.remove(index);
        match end {
            Some(end) => AttemptEvent::Ended(attempt, Box::new(end)),
            None => AttemptEvent::HandedOver(attempt),
        }
    }
}
