//! The requests that wait at a host for the servers of one service.
//!
//! Load pattern: a burst of two and a half times what is usual after a quarter of the engines are
//! lost, with one workspace at seven times its usual load. Urgent requests go first, each workspace
//! gets its turn, nothing waits for ever, and what cannot be reached in time is rejected while its
//! caller can still do something else.

use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::backlog::backlog_order::{LAST_LEVEL, OrderKey, OrderTimes, level_of};
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
    times: OrderTimes,
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
            times: OrderTimes::new(&request),
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
        let keyed = self
            .waiting
            .iter()
            .map(|queued| (self.key(queued, now), queued.ticket));
        let (best, first) = keyed.min()?;
        let level = level_of(&best);
        let interval = self.settings.late_interval;
        if self.releases[usize::from(level)] % interval != interval - 1 {
            return Some(first);
        }
        let is_late =
            |queued: &&QueuedRequest| queued.times.is_late(now) && queued.times.level(now) == level;
        let late = self.waiting.iter().filter(is_late);
        let oldest = late
            .map(|queued| (queued.request.since, queued.ticket))
            .min();
        Some(oldest.map_or(first, |(_, ticket)| ticket))
    }

    /// Returns a waiting request.
    pub fn request(&self, ticket: Ticket) -> Option<&WaitingRequest> {
        let index = self.index_of(ticket)?;
        Some(&self.waiting[index].request)
    }

    /// Returns the level of a waiting request.
    pub fn level(&self, ticket: Ticket, now: TimePoint) -> Option<u8> {
        let index = self.index_of(ticket)?;
        Some(self.waiting[index].times.level(now))
    }

    /// Removes a request that is sent, and counts its work as received by its workspace.
    pub fn release(&mut self, ticket: Ticket, now: TimePoint) -> Option<WaitingRequest> {
        let queued = self.remove(self.index_of(ticket)?);
        let level = queued.times.level(now);
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
        let late_rate = drain_rate / f64::from(self.settings.late_interval);
        let mut ahead = 0.0;
        let mut unreached = Vec::new();
        for (place, (level, index)) in order.iter().enumerate() {
            let request = &self.waiting[*index].request;
            let left = request.deadline.since(now).as_secs_f64();
            let by_order = ahead / drain_rate;
            // A request that moves up is late by then, and every fifth release is one of those.
            let moves_up = *level > first_level && level.saturating_sub(2) <= first_level;
            let moved_in = self.waiting[*index].times.moved_in(now);
            let by_moves = moved_in.as_secs_f64().max(older[place] / late_rate);
            let is_reached =
                by_order + request.work <= left || (moves_up && by_moves + request.work <= left);
            if is_reached && drain_rate > 0.0 {
                ahead += request.work;
            } else {
                unreached.push((*index, by_order));
            }
        }
        // Removing from the end keeps the other indices valid.
        unreached.sort_unstable_by_key(|(index, _)| std::cmp::Reverse(*index));
        for (index, starts_in) in unreached {
            let queued = self.remove(index);
            let retry_in = self.retry_pause(starts_in, &queued.request, now);
            expired.push((queued.ticket, retry_in));
        }
        self.tidy();
        expired
    }

    /// Returns the place of a request in the present order.
    pub fn place(&self, ticket: Ticket, now: TimePoint) -> Option<BacklogPlace> {
        let own = &self.waiting[self.index_of(ticket)?];
        let own_key = (self.key(own, now), ticket);
        let is_ahead = |queued: &&QueuedRequest| (self.key(queued, now), queued.ticket) < own_key;
        let works = self.waiting.iter().filter(is_ahead);
        let (position, work_ahead) = works.fold((0, 0.0), |(count, work), queued| {
            (count + 1, work + queued.request.work)
        });
        Some(BacklogPlace {
            position,
            work_ahead,
            level: own.times.level(now),
        })
    }

    /// Returns the waiting requests by level, the most urgent first.
    pub fn summary(&self, now: TimePoint) -> Vec<BacklogLevel> {
        let mut levels = [(0u32, 0.0); LEVELS];
        for queued in &self.waiting {
            let level = &mut levels[usize::from(queued.times.level(now))];
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
            .map(|index| (self.waiting[index].times.key(0.0, now), index))
            .collect();
        keyed.sort_unstable();
        let mut received = self.workspaces.received().to_vec();
        for (key, index) in &mut keyed {
            let queued = &self.waiting[*index];
            *key = queued.times.key(received[queued.workspace], now);
            received[queued.workspace] += queued.request.work;
        }
        keyed.sort_unstable();
        keyed
            .into_iter()
            .map(|(key, index)| (level_of(&key), index))
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
        indices.max_by_key(|index| {
            let queued = &self.waiting[*index];
            (self.key(queued, now), queued.ticket)
        })
    }

    /// Returns the key of a request in the order.
    fn key(&self, queued: &QueuedRequest, now: TimePoint) -> OrderKey {
        let received = self.workspaces.received()[queued.workspace];
        queued.times.key(received, now)
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
