//! The requests that wait at this host for engines, and the tasks that wait with them.
//!
//! The task of a request waits itself; dropping its place takes the request out of the queue. Only
//! the task of the first request is woken by events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use galenamast::state::TimePoint;
use log::Level;
use tokio::sync::{Notify, watch};

use crate::coordination::backlog::{
    BacklogPlace, BacklogQueue, BacklogRefusal, BacklogReport, BacklogSettings, FleetBacklog,
    ReleasePacer, SentWork, Ticket, TurnInputs, TurnVerdict, WaitingRequest, decide_pass,
    decide_turn,
};
use crate::coordination::placement::{ServerPick, short_server_id};
use crate::protocol::GatewayRecord;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;

/// Weight of one request in the mean time that requests stay on a server.
const STAY_WEIGHT: f64 = 0.1;
/// Number of queues above which the empty ones are dropped, so that old versions do not pile up.
const MAX_IDLE_QUEUES: usize = 64;
/// Shortest interval at which load reports of other hosts wake the first request. In a large fleet
/// they come every few milliseconds, and each look costs a server choice.
const REPORT_WAKE_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the short identifier of the queue for the servers of a service with one version. Sessions
/// that are bound to a version with few servers must not hold up the others.
pub(crate) fn queue_id(service: &str, version: &str) -> u32 {
    short_server_id(&format!("{service}\n{version}"))
}

/// What is known of the servers when a request asks for its turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerView {
    inputs: TurnInputs,
    sent: SentWork,
    slots: f64,
    stay: f64,
}

impl ServerView {
    /// Returns the view that a server choice gives.
    pub(crate) fn new(pick: &ServerPick, goal: Duration, stay: f64, sent: SentWork) -> Self {
        Self {
            inputs: TurnInputs {
                preferred_queue: pick.queue,
                shortest_queue: pick.shortest_queue,
                mean_queue: pick.mean_queue,
                is_full: pick.is_full,
                goal,
                urgent_elsewhere: 0.0,
                capacity: pick.capacity,
            },
            sent,
            slots: pick.slots,
            stay,
        }
    }

    /// Returns the seconds of work per second that the servers take, if requests hold `mean_work`.
    fn capacity(&self, mean_work: f64) -> f64 {
        if self.stay > 0.0 {
            let by_slots = self.slots / self.stay * mean_work;
            self.inputs.capacity.min(by_slots)
        } else {
            self.inputs.capacity
        }
    }
}

/// What follows when a waiting request asks for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// It is sent.
    Granted,
    /// It is the first and waits for an event or the next look.
    First,
    /// Others are before it.
    Behind,
    /// It is not reached before its deadline; its caller should return after the time.
    Rejected(Duration),
    /// The host stops.
    Closed,
}

/// The queue for the servers of one version of a service.
#[derive(Debug)]
struct ServiceQueue {
    queue: BacklogQueue,
    pacer: ReleasePacer,
    wakers: BTreeMap<Ticket, Arc<Notify>>,
    rejected: BTreeMap<Ticket, Duration>,
    first: Option<Ticket>,
    capacity: f64,
    expired_at: TimePoint,
}

impl ServiceQueue {
    /// Creates an empty queue.
    fn new(settings: &BacklogSettings, now: TimePoint) -> Self {
        Self {
            queue: BacklogQueue::new(*settings),
            pacer: ReleasePacer::new(settings.pacer, now),
            wakers: BTreeMap::new(),
            rejected: BTreeMap::new(),
            first: None,
            capacity: 0.0,
            expired_at: now,
        }
    }

    /// Wakes the task of a request.
    fn wake(&self, ticket: Option<Ticket>) {
        if let Some(waker) = ticket.and_then(|ticket| self.wakers.get(&ticket)) {
            waker.notify_one();
        }
    }

    /// Rejects the requests that are not reached in time, and wakes their tasks. `others` is the work
    /// that waits at other hosts.
    fn expire(&mut self, others: f64, now: TimePoint) {
        self.expired_at = now;
        // Without any server, the first request finds out and the others follow it.
        let rate = if self.capacity > 0.0 {
            let own = self.queue.work();
            self.capacity * own / (own + others).max(f64::MIN_POSITIVE)
        } else {
            f64::MAX
        };
        for (ticket, retry_in) in self.queue.expire(now, rate) {
            self.rejected.insert(ticket, retry_in);
            self.wake(Some(ticket));
        }
    }

    /// Updates the capacity from what a request sees of the servers.
    fn record_view(&mut self, view: &ServerView) {
        let mean_work = self.queue.work() / self.queue.len().max(1) as f64;
        self.capacity = view.capacity(mean_work);
    }
}

/// The queues by identifier, and what is known of other hosts' queues.
#[derive(Debug)]
struct BacklogState {
    queues: BTreeMap<u32, ServiceQueue>,
    fleet: FleetBacklog,
    woken_at: TimePoint,
}

/// The requests that wait at this host.
#[derive(Debug)]
pub(crate) struct RequestBacklog {
    settings: BacklogSettings,
    state: Mutex<BacklogState>,
    stays: Mutex<BTreeMap<Arc<str>, f64>>,
    waiting: AtomicUsize,
    has_reports: AtomicBool,
    is_closed: AtomicBool,
    /// Whether requests wait, for the tasks that report them.
    busy: watch::Sender<bool>,
}

impl RequestBacklog {
    /// Creates empty queues.
    pub(crate) fn new(settings: BacklogSettings) -> Self {
        Self {
            state: Mutex::new(BacklogState {
                queues: BTreeMap::new(),
                fleet: FleetBacklog::new(settings.fleet),
                woken_at: TimePoint::ZERO,
            }),
            settings,
            stays: Mutex::new(BTreeMap::new()),
            waiting: AtomicUsize::new(0),
            has_reports: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            busy: watch::Sender::new(false),
        }
    }

    /// Returns a receiver of whether requests wait.
    pub(crate) fn watch_busy(&self) -> watch::Receiver<bool> {
        self.busy.subscribe()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns the mean time that requests of a service stay on a server, in seconds; 0 if none has
    /// ended yet.
    pub(crate) fn stay(&self, service: &str) -> f64 {
        let stays = self.stays.lock().unwrap_or_else(PoisonError::into_inner);
        stays.get(service).copied().unwrap_or(0.0)
    }

    /// Records how long a request stayed on a server.
    pub(crate) fn record_stay(&self, service: &Arc<str>, stay: Duration) {
        let mut stays = self.stays.lock().unwrap_or_else(PoisonError::into_inner);
        let stay = stay.as_secs_f64();
        let mean = stays.entry(service.clone()).or_insert(stay);
        *mean += STAY_WEIGHT * (stay - *mean);
    }

    /// Decides whether a new request may be sent at once: the queues at the servers are short, no
    /// request of this host waits for the same servers, and no more urgent ones of other hosts do.
    pub(crate) fn decide_pass(
        &self,
        queue: u32,
        urgency: u8,
        view: &ServerView,
        now: TimePoint,
    ) -> TurnVerdict {
        let mut inputs = view.inputs;
        if self.waiting() > 0 || self.has_reports.load(Ordering::Relaxed) {
            let state = self.lock();
            let is_empty = |service: &ServiceQueue| service.queue.is_empty();
            if !state.queues.get(&queue).is_none_or(is_empty) {
                return TurnVerdict::Wait;
            }
            inputs.urgent_elsewhere = state.fleet.work_ahead(queue, urgency, now);
        }
        decide_pass(&inputs, &self.settings.turn)
    }

    /// Adds a request to a queue; fails with the time after which its caller should return if it has
    /// no place there.
    pub(crate) fn enter(
        context: &Arc<GatewayContext>,
        queue: u32,
        request: (Arc<str>, WaitingRequest),
        view: &ServerView,
        now: TimePoint,
    ) -> Result<QueuePlace, Duration> {
        let (name, request) = request;
        let backlog = &context.backlog;
        let mut state = backlog.lock();
        let others = state.fleet.total_work(queue, now);
        let settings = &backlog.settings;
        if state.queues.len() > MAX_IDLE_QUEUES {
            state.queues.retain(|_, service| !service.wakers.is_empty());
        }
        let service = state
            .queues
            .entry(queue)
            .or_insert_with(|| ServiceQueue::new(settings, now));
        let ticket = match service.queue.push(request, now) {
            Ok(ticket) => ticket,
            Err(BacklogRefusal::Full { retry_in }) => return Err(retry_in),
        };
        let waker = Arc::new(Notify::new());
        service.wakers.insert(ticket, waker.clone());
        service.record_view(view);
        // A full queue has put out others, which must be told.
        let is_full = service.queue.len() >= settings.max_requests;
        if is_full || now.since(service.expired_at) >= settings.expiry_interval {
            service.expire(others, now);
        }
        backlog.waiting.fetch_add(1, Ordering::Relaxed);
        backlog
            .busy
            .send_if_modified(|busy| !std::mem::replace(busy, true));
        drop(state);
        Ok(QueuePlace {
            context: context.clone(),
            request: name,
            queue,
            ticket,
            waker,
            entered_at: now,
            is_left: false,
            is_logged: false,
        })
    }

    /// Wakes the first request of each queue; costs nothing while no request waits.
    pub(crate) fn wake_heads(&self) {
        if self.waiting() > 0 {
            let state = self.lock();
            let queues = state.queues.values();
            queues.for_each(|service| service.wake(service.first));
        }
    }

    /// Wakes the first request of each queue after a load report, unless one did so just before.
    pub(crate) fn wake_after_report(&self, now: TimePoint) {
        if self.waiting() == 0 {
            return;
        }
        let mut state = self.lock();
        if now.since(state.woken_at) >= REPORT_WAKE_INTERVAL {
            state.woken_at = now;
            drop(state);
            self.wake_heads();
        }
    }

    /// Rejects all waiting requests, and those that come; the host stops.
    pub(crate) fn close(&self) {
        if self.is_closed.swap(true, Ordering::SeqCst) {
            return;
        }
        let state = self.lock();
        let wakers = state
            .queues
            .values()
            .flat_map(|queue| queue.wakers.values());
        wakers.for_each(|waker| waker.notify_one());
    }

    /// Records the report of another host, which stands for `weight` hosts.
    pub(crate) fn record_report(
        &self,
        peer: SocketAddr,
        reports: &[BacklogReport],
        weight: f64,
        now: TimePoint,
    ) {
        let mut state = self.lock();
        state.fleet.record_report(peer, reports, weight, now);
        let has_reports = !state.fleet.is_empty();
        self.has_reports.store(has_reports, Ordering::Relaxed);
    }

    /// Returns what this host reports to others.
    pub(crate) fn reports(&self, now: TimePoint) -> Vec<BacklogReport> {
        let state = self.lock();
        let queues = state.queues.iter();
        let reports = queues.flat_map(|(queue, service)| {
            let levels = service.queue.summary(now);
            levels.into_iter().map(|level| BacklogReport {
                queue: *queue,
                level: level.level,
                count: level.count,
                work_ms: (level.work * 1_000.0) as u32,
            })
        });
        reports.collect()
    }

    /// Locks the queues.
    fn lock(&self) -> MutexGuard<'_, BacklogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of one request in a queue; dropping it takes the request out.
#[derive(Debug)]
pub(crate) struct QueuePlace {
    context: Arc<GatewayContext>,
    request: Arc<str>,
    queue: u32,
    ticket: Ticket,
    waker: Arc<Notify>,
    entered_at: TimePoint,
    is_left: bool,
    is_logged: bool,
}

impl QueuePlace {
    /// Returns the request's place among those that wait.
    pub(crate) fn place(&self, now: TimePoint) -> Option<BacklogPlace> {
        let state = self.context.backlog.lock();
        let service = state.queues.get(&self.queue)?;
        service.queue.place(self.ticket, now)
    }

    /// Returns whether the request is first, or why it does not wait any longer.
    pub(crate) fn standing(&self, now: TimePoint) -> Turn {
        let backlog = &self.context.backlog;
        if backlog.is_closed.load(Ordering::SeqCst) {
            return Turn::Closed;
        }
        let mut state = backlog.lock();
        let others = state.fleet.total_work(self.queue, now);
        let Some(service) = state.queues.get_mut(&self.queue) else {
            return Turn::Closed;
        };
        if now.since(service.expired_at) >= backlog.settings.expiry_interval {
            service.expire(others, now);
        }
        if let Some(retry_in) = service.rejected.get(&self.ticket) {
            return Turn::Rejected(*retry_in);
        }
        service.first = service.queue.head(now);
        if service.first == Some(self.ticket) {
            return Turn::First;
        }
        // The order changes with time, so that another request may be first now.
        service.wake(service.first);
        Turn::Behind
    }

    /// Decides whether the first request is sent, given what it sees of the servers.
    pub(crate) fn take_turn(&mut self, view: &ServerView, now: TimePoint) -> Turn {
        let context = self.context.clone();
        let backlog = &context.backlog;
        let mut state = backlog.lock();
        let state = &mut *state;
        let Some(service) = state.queues.get_mut(&self.queue) else {
            return Turn::Closed;
        };
        let Some(level) = service.queue.level(self.ticket, now) else {
            return Turn::Behind;
        };
        service.record_view(view);
        let inputs = TurnInputs {
            urgent_elsewhere: state.fleet.work_ahead(self.queue, level, now),
            capacity: service.capacity,
            ..view.inputs
        };
        let own = service.queue.summary(now);
        let rate = service.capacity * state.fleet.own_part(self.queue, &own, &view.sent, now);
        let longest = backlog.settings.turn.longest_queue(inputs.goal);
        let rate = rate * backlog.settings.pacer.speed_up(inputs.mean_queue, longest);
        let is_paced = service.capacity <= 0.0 || service.pacer.may_release(rate, now);
        let verdict = decide_turn(&inputs, &backlog.settings.turn);
        if !is_paced || verdict == TurnVerdict::Wait {
            return Turn::First;
        }
        if let Some(request) = service.queue.release(self.ticket, now) {
            service.pacer.record_release(request.work);
        }
        self.leave_queue(service, now);
        Turn::Granted
    }

    /// Waits for an event that concerns the request; the first one also looks again after a while.
    pub(crate) async fn wait(&self, is_first: bool) {
        if is_first {
            let recheck = self.context.backlog.settings.turn.recheck;
            // Either way the request looks again.
            let _ = tokio::time::timeout(recheck, self.waker.notified()).await;
        } else {
            self.waker.notified().await;
        }
    }

    /// Takes the request out of the queue, and logs why.
    pub(crate) fn leave(mut self, reason: &'static str) {
        self.take_out(reason);
    }

    /// Takes the request out of the queue unless it has left it already.
    fn take_out(&mut self, reason: &'static str) {
        let now = self.context.now();
        if !self.is_left {
            let context = self.context.clone();
            let mut state = context.backlog.lock();
            if let Some(service) = state.queues.get_mut(&self.queue) {
                service.queue.leave(self.ticket);
                self.leave_queue(service, now);
            }
        }
        let waited = now.since(self.entered_at);
        self.context.metrics.record_latency("backlog_wait", waited);
        let record = GatewayRecord::RequestDequeued {
            request: self.request.clone(),
            waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            reason,
        };
        log_record(Level::Info, &record);
        self.is_logged = true;
    }

    /// Forgets the request's task, and wakes that of the next request.
    fn leave_queue(&mut self, service: &mut ServiceQueue, now: TimePoint) {
        self.is_left = true;
        service.wakers.remove(&self.ticket);
        service.rejected.remove(&self.ticket);
        service.first = service.queue.head(now);
        service.wake(service.first);
        let backlog = &self.context.backlog;
        if backlog.waiting.fetch_sub(1, Ordering::Relaxed) == 1 {
            backlog.busy.send_replace(false);
        }
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        if !self.is_logged {
            self.context.metrics.increment("backlog_left_total");
            self.take_out("caller left");
        }
    }
}
