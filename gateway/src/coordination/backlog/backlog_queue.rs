//! The requests that wait at a host for the servers of one service.
//!
//! Load pattern: a burst of two and a half times what is usual after a quarter of the engines are
//! lost, with one workspace at seven times its usual load. Urgent requests go first, each workspace
//! gets its turn, nothing waits for ever, and what cannot be reached in time is rejected while its
//! caller can still do something else.

use std::cmp::Ordering;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::backlog::backlog_order::{LAST_LEVEL, OrderKey, level_of};
use crate::coordination::backlog::workspace_work::WorkspaceWork;
use crate::coordination::backlog::{
    BacklogLevel, BacklogPlace, BacklogRefusal, BacklogSettings, Ticket, WaitingRequest,
};

/// Number of levels.
const LEVELS: usize = LAST_LEVEL as usize + 1;

/// A request in the queue.
#[derive(Clone, Debug)]
struct QueuedRequest {
    ticket: Ticket,
    workspace: usize,
    request: WaitingRequest,
}

/// A queue of requests, which is bounded by number and bytes.
#[derive(Clone, Debug)]
pub struct BacklogQueue {
    settings: BacklogSettings,
    waiting: Vec<QueuedRequest>,
    next_ticket: u64,
    bytes: usize,
    work: f64,
    workspaces: WorkspaceWork,
    // Releases of each level, to give every fifth to the oldest late request.
    releases: [u32; LEVELS],
    // Requests that gave way to others when the queue was full; `expire` returns them.
    displaced: Vec<(Ticket, Duration)>,
}

impl BacklogQueue {
    /// Creates an empty queue.
    pub fn new(settings: BacklogSettings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            next_ticket: 0,
            bytes: 0,
            work: 0.0,
            workspaces: WorkspaceWork::new(settings.work_half_life),
            releases: [0; LEVELS],
            displaced: Vec::new(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the work of all waiting requests, in seconds on a typical server.
    pub fn work(&self) -> f64 {
        self.work
    }

    /// Adds a request. If the queue is full, the last requests in the order leave it; the next call
    /// of `expire` returns them.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue is full and the request itself would be the last.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use galenamast::state::TimePoint;
    /// use galenamast_gateway::coordination::backlog::{
    ///     BacklogQueue, BacklogSettings, WaitingRequest,
    /// };
    ///
    /// let now = TimePoint::from_millis(10);
    /// let mut queue = BacklogQueue::new(BacklogSettings::default());
    /// let request = |urgency| WaitingRequest {
    ///     urgency,
    ///     workspace: "w-1".into(),
    ///     work: 0.1,
    ///     since: now,
    ///     goal: now + Duration::from_secs(1),
    ///     deadline: now + Duration::from_secs(8),
    ///     bytes: 100,
    /// };
    /// queue.push(request(3), now).expect("there is room");
    /// let urgent = queue.push(request(0), now).expect("there is room");
    /// assert_eq!(queue.head(now), Some(urgent));
    /// ```
    pub fn push(
        &mut self,
        request: WaitingRequest,
        now: TimePoint,
    ) -> Result<Ticket, BacklogRefusal> {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let workspace = self.workspaces.index_of(&request.workspace);
        self.bytes += request.bytes;
        self.work += request.work;
        self.waiting.push(QueuedRequest {
            ticket,
            workspace,
            request,
        });
        while self.waiting.len() > self.settings.max_requests
            || self.bytes > self.settings.max_bytes
        {
            let Some(last) = self.last(now) else {
                break;
            };
            let dropped = self.remove(last);
            let retry_in = self.retry_pause(f64::INFINITY, &dropped.request, now);
            if dropped.ticket == ticket {
                return Err(BacklogRefusal::Full { retry_in });
            }
            self.displaced.push((dropped.ticket, retry_in));
        }
        Ok(ticket)
    }

    /// Returns the next request in the order.
    pub fn head(&self, now: TimePoint) -> Option<Ticket> {
        let first = self.waiting.first()?;
        let mut best = (self.key(first, now), first.ticket);
        let mut oldest_late: Option<(TimePoint, Ticket)> = None;
        for queued in &self.waiting {
            let key = self.key(queued, now);
            if key.level < best.0.level {
                oldest_late = None;
            }
            if key.is_late && key.level <= best.0.level {
                let late = (queued.request.since, queued.ticket);
                oldest_late = Some(oldest_late.map_or(late, |oldest| oldest.min(late)));
            }
            if before(&key, queued.ticket, &best.0, best.1) {
                best = (key, queued.ticket);
            }
        }
        let interval = self.settings.late_interval;
        let is_late_turn = self.releases[usize::from(best.0.level)] % interval == interval - 1;
        match oldest_late.filter(|_| is_late_turn) {
            Some((_, ticket)) => Some(ticket),
            None => Some(best.1),
        }
    }

    /// Returns a waiting request.
    pub fn request(&self, ticket: Ticket) -> Option<&WaitingRequest> {
        let index = self.index_of(ticket)?;
        Some(&self.waiting[index].request)
    }

    /// Returns the level of a waiting request.
    pub fn level(&self, ticket: Ticket, now: TimePoint) -> Option<u8> {
        self.request(ticket).map(|request| level_of(request, now))
    }

    /// Removes a request that is sent, and counts its work as received by its workspace.
    pub fn release(&mut self, ticket: Ticket, now: TimePoint) -> Option<WaitingRequest> {
        let queued = self.remove(self.index_of(ticket)?);
        let level = level_of(&queued.request, now);
        let count = &mut self.releases[usize::from(level)];
        *count = count.wrapping_add(1);
        let work = queued.request.work;
        self.workspaces.add(queued.workspace, work, now);
        self.tidy();
        Some(queued.request)
    }

    /// Removes a request whose caller has left.
    pub fn leave(&mut self, ticket: Ticket) -> Option<WaitingRequest> {
        let queued = self.remove(self.index_of(ticket)?);
        self.tidy();
        Some(queued.request)
    }

    /// Removes the requests that will not be reached before their deadline in this order, at a rate
    /// of `drain_rate` seconds of work per second. Returns them with the time after which their
    /// callers should return. Those that were displaced from a full queue are included.
    pub fn expire(&mut self, now: TimePoint, drain_rate: f64) -> Vec<(Ticket, Duration)> {
        let mut expired = std::mem::take(&mut self.displaced);
        if self.reaches_all(now, drain_rate) {
            return expired;
        }
        let order = self.predicted_order(now);
        let first_level = order.first().map_or(0, |(level, _)| *level);
        let older = self.older_work(&order, first_level);
        let mut ahead = 0.0;
        let mut unreached = Vec::new();
        for (place, (level, index)) in order.iter().enumerate() {
            let request = &self.waiting[*index].request;
            let left = request.deadline.since(now).as_secs_f64();
            let by_order = ahead / drain_rate;
            // A request that moves up is late by then, and every fifth release is one of those.
            let rate = drain_rate / f64::from(self.settings.late_interval);
            let moves_up = *level > first_level && level.saturating_sub(2) <= first_level;
            let moved_in = {
                let total = request.deadline.since(request.since);
                (request.since + total.mul_f64(0.75)).since(now)
            };
            let by_moves = moved_in.as_secs_f64().max(older[place] / rate);
            let is_reached =
                by_order + request.work <= left || (moves_up && by_moves + request.work <= left);
            if is_reached && drain_rate > 0.0 {
                ahead += request.work;
            } else {
                unreached.push((self.waiting[*index].ticket, by_order));
            }
        }
        for (ticket, starts_in) in unreached {
            if let Some(index) = self.index_of(ticket) {
                let queued = self.remove(index);
                expired.push((ticket, self.retry_pause(starts_in, &queued.request, now)));
            }
        }
        self.tidy();
        expired
    }

    /// Returns the place of a request in the order, if nothing else comes.
    pub fn place(&self, ticket: Ticket, now: TimePoint) -> Option<BacklogPlace> {
        let order = self.predicted_order(now);
        let mut work_ahead = 0.0;
        for (position, (level, index)) in order.into_iter().enumerate() {
            let queued = &self.waiting[index];
            if queued.ticket == ticket {
                return Some(BacklogPlace {
                    position,
                    work_ahead,
                    level,
                });
            }
            work_ahead += queued.request.work;
        }
        None
    }

    /// Returns the waiting requests by level, the most urgent first.
    pub fn summary(&self, now: TimePoint) -> Vec<BacklogLevel> {
        let mut levels = [(0u32, 0.0); LEVELS];
        for queued in &self.waiting {
            let level = &mut levels[usize::from(level_of(&queued.request, now))];
            level.0 += 1;
            level.1 += queued.request.work;
        }
        let numbered = (0u8..).zip(levels).filter(|(_, (count, _))| *count > 0);
        numbered
            .map(|(level, (count, work))| BacklogLevel { level, count, work })
            .collect()
    }

    /// Returns whether even the request with the least time left would be reached if all others went
    /// first.
    fn reaches_all(&self, now: TimePoint, drain_rate: f64) -> bool {
        let deadlines = self.waiting.iter().map(|queued| queued.request.deadline);
        let Some(earliest) = deadlines.min() else {
            return true;
        };
        let works = self.waiting.iter().map(|queued| queued.request.work);
        let largest = works.fold(0.0, f64::max);
        drain_rate > 0.0 && self.work / drain_rate + largest <= earliest.since(now).as_secs_f64()
    }

    /// Returns the levels and indices of all requests in the order in which they would be released
    /// if no other came. Each workspace has received what it got so far and what it gets before.
    fn predicted_order(&self, now: TimePoint) -> Vec<(u8, usize)> {
        let mut keyed: Vec<(OrderKey, usize)> = (0..self.waiting.len())
            .map(|index| (self.key(&self.waiting[index], now), index))
            .collect();
        keyed.sort_unstable_by_key(|(key, index)| (key.level, key.is_late, key.goal, *index));
        let mut received = self.workspaces.received().to_vec();
        for (key, index) in &mut keyed {
            let queued = &self.waiting[*index];
            key.received = received[queued.workspace];
            received[queued.workspace] += queued.request.work;
        }
        let compare = |left: &(OrderKey, usize), right: &(OrderKey, usize)| {
            left.0.compare(&right.0).then(left.1.cmp(&right.1))
        };
        keyed.sort_unstable_by(compare);
        keyed
            .into_iter()
            .map(|(key, index)| (key.level, index))
            .collect()
    }

    /// Returns, for each request of an order, the work of the older ones that are not of the first
    /// level.
    fn older_work(&self, order: &[(u8, usize)], first_level: u8) -> Vec<f64> {
        let mut by_age: Vec<usize> = (0..order.len()).collect();
        let since = |place: usize| self.waiting[order[place].1].request.since;
        by_age.sort_unstable_by_key(|place| (since(*place), *place));
        let mut older = vec![0.0; order.len()];
        let mut sum = 0.0;
        for place in by_age {
            older[place] = sum;
            if order[place].0 > first_level {
                sum += self.waiting[order[place].1].request.work;
            }
        }
        older
    }

    /// Returns how long the caller of a rejected request should pause.
    fn retry_pause(&self, starts_in: f64, request: &WaitingRequest, now: TimePoint) -> Duration {
        let left = request.deadline.since(now);
        let longest = left.mul_f64(self.settings.max_retry_part);
        Duration::try_from_secs_f64(starts_in)
            .unwrap_or(longest)
            .max(self.settings.min_retry_pause)
            .min(longest)
    }

    /// Returns the index of the last request in the order.
    fn last(&self, now: TimePoint) -> Option<usize> {
        let indices = 0..self.waiting.len();
        indices.max_by(|left, right| {
            let (left, right) = (&self.waiting[*left], &self.waiting[*right]);
            let by_key = self.key(left, now).compare(&self.key(right, now));
            by_key.then(left.ticket.cmp(&right.ticket))
        })
    }

    /// Returns the key of a request in the order.
    fn key(&self, queued: &QueuedRequest, now: TimePoint) -> OrderKey {
        let received = self.workspaces.received()[queued.workspace];
        OrderKey::new(&queued.request, received, now)
    }

    /// Returns the index of a request.
    fn index_of(&self, ticket: Ticket) -> Option<usize> {
        self.waiting
            .iter()
            .position(|queued| queued.ticket == ticket)
    }

    /// Removes the request at an index.
    fn remove(&mut self, index: usize) -> QueuedRequest {
        let queued = self.waiting.swap_remove(index);
        self.bytes -= queued.request.bytes;
        self.work = (self.work - queued.request.work).max(0.0);
        queued
    }

    /// Clears sums that rounding has left, and names of workspaces, once no request waits.
    fn tidy(&mut self) {
        if self.waiting.is_empty() {
            self.work = 0.0;
            self.workspaces.forget_all();
        }
    }
}

/// Returns whether a request comes before another; the earlier ticket decides between equal ones.
fn before(key: &OrderKey, ticket: Ticket, other: &OrderKey, other_ticket: Ticket) -> bool {
    match key.compare(other) {
        Ordering::Less => true,
        Ordering::Equal => ticket < other_ticket,
        Ordering::Greater => false,
    }
}
