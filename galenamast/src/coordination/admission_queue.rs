//! Bounded queue of requests that wait for a server, with weighted fair queueing between
//! workspaces.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::state::{PoolName, RequestPriority, TimePoint, WorkspaceName};

/// Lower bound applied to the weight of a workspace.
const MIN_WEIGHT: f64 = 0.01;

/// Number of a waiting request, unique on the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket(pub u64);

/// A request that waits for a server of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry {
    /// Number of the request.
    pub ticket: QueueTicket,
    /// Pool whose servers are full.
    pub pool: PoolName,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Weight of the workspace relative to others.
    pub weight: f64,
    /// Priority of the request.
    pub priority: RequestPriority,
    /// Time after which waiting is useless.
    pub deadline: TimePoint,
}

/// Result of adding a request to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueVerdict {
    /// The request was queued.
    Queued,
    /// The request was queued, and this less important one was shed to make room.
    Displaced(QueueTicket),
    /// The queue is full, and the request was shed itself.
    Rejected,
}

/// Queue of waiting requests, with the service that each workspace has received per pool.
///
/// A request that leaves the queue adds the inverse of its weight to the service of its workspace.
#[derive(Debug)]
pub struct AdmissionQueue {
    max_entries: usize,
    entries: BTreeMap<QueueTicket, QueueEntry>,
    served: BTreeMap<PoolName, BTreeMap<WorkspaceName, f64>>,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(max_entries: usize) -> Self {
        Self {
            max_entries,
            entries: BTreeMap::new(),
            served: BTreeMap::new(),
        }
    }

    /// Changes the maximum number of waiting requests. Requests that wait already stay queued.
    pub fn set_limit(&mut self, max_entries: usize) {
        self.max_entries = max_entries;
    }

    /// Refunds the service charged for a request that was taken out but found no server.
    pub fn refund(&mut self, entry: &QueueEntry) {
        let served = self.served.entry(entry.pool.clone()).or_default();
        if let Some(own) = served.get_mut(&entry.workspace) {
            *own = (*own - 1.0 / entry.weight.max(MIN_WEIGHT)).max(0.0);
        }
    }

    /// Adds a request. If the queue is full, sheds the least important request of the workspaces
    /// that hold more than their share of the queue.
    pub fn push(&mut self, entry: QueueEntry) -> QueueVerdict {
        self.align_service(&entry);
        if self.entries.len() < self.max_entries {
            self.entries.insert(entry.ticket, entry);
            return QueueVerdict::Queued;
        }
        let newcomer = entry.ticket;
        self.entries.insert(newcomer, entry);
        let victim = self.next_to_shed().unwrap_or(newcomer);
        self.entries.remove(&victim);
        if victim == newcomer {
            return QueueVerdict::Rejected;
        }
        QueueVerdict::Displaced(victim)
    }

    /// Raises the service of a workspace without waiting requests to the lowest service of those
    /// that have waiting requests.
    fn align_service(&mut self, entry: &QueueEntry) {
        let waits = self
            .entries
            .values()
            .any(|other| other.pool == entry.pool && other.workspace == entry.workspace);
        if waits {
            return;
        }
        let served = self.served.entry(entry.pool.clone()).or_default();
        let least = self
            .entries
            .values()
            .filter(|other| other.pool == entry.pool)
            .filter_map(|other| served.get(&other.workspace).copied())
            .reduce(f64::min);
        let own = served.entry(entry.workspace.clone()).or_insert(0.0);
        *own = own.max(least.unwrap_or(0.0));
    }

    /// Returns the request to shed first. Only workspaces with more than their share of the queue
    /// are considered; the lowest priority goes first, then the longest backlog relative to the
    /// weight, then the newest request.
    fn next_to_shed(&self) -> Option<QueueTicket> {
        let mut backlogs: BTreeMap<&WorkspaceName, f64> = BTreeMap::new();
        let mut weights: BTreeMap<&WorkspaceName, f64> = BTreeMap::new();
        for entry in self.entries.values() {
            let weight = entry.weight.max(MIN_WEIGHT);
            *backlogs.entry(&entry.workspace).or_default() += 1.0 / weight;
            weights.insert(&entry.workspace, weight);
        }
        let share = self.max_entries as f64 / weights.values().sum::<f64>();
        let over_share = |entry: &&QueueEntry| backlogs[&entry.workspace] > share;
        let shed_first = |left: &&QueueEntry, right: &&QueueEntry| {
            let lowest = left.priority.cmp(&right.priority);
            let longest = backlogs[&right.workspace].total_cmp(&backlogs[&left.workspace]);
            let newest = right.ticket.cmp(&left.ticket);
            lowest.then(longest).then(newest)
        };
        let entries = self.entries.values();
        let victim = entries.filter(over_share).min_by(shed_first);
        victim.map(|entry| entry.ticket)
    }

    /// Takes out the next request for a pool: of the workspace with the lowest service for its
    /// weight, the request with the highest priority, then the earliest deadline.
    pub fn pop(&mut self, pool: &PoolName, now: TimePoint) -> Option<QueueEntry> {
        let served = self.served.entry(pool.clone()).or_default();
        let next = self
            .entries
            .values()
            .filter(|entry| entry.pool == *pool && entry.deadline > now)
            .min_by(|left, right| {
                let share = |entry: &QueueEntry| served.get(&entry.workspace).copied();
                let share = |entry| share(entry).unwrap_or(0.0);
                let urgency =
                    |entry: &QueueEntry| (Reverse(entry.priority), entry.deadline, entry.ticket);
                let least = share(left).total_cmp(&share(right));
                least
                    .then_with(|| left.workspace.cmp(&right.workspace))
                    .then_with(|| urgency(left).cmp(&urgency(right)))
            })?
            .ticket;
        let entry = self.entries.remove(&next)?;
        let cost = 1.0 / entry.weight.max(MIN_WEIGHT);
        *served.entry(entry.workspace.clone()).or_default() += cost;
        Some(entry)
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: QueueTicket) -> Option<QueueEntry> {
        self.entries.remove(&ticket)
    }

    /// Returns the number of requests waiting for a pool.
    pub fn waiting(&self, pool: &PoolName) -> usize {
        let waits = |entry: &&QueueEntry| entry.pool == *pool;
        self.entries.values().filter(waits).count()
    }

    /// Returns the pools that have waiting requests.
    pub fn pools(&self) -> Vec<PoolName> {
        let mut pools: Vec<PoolName> = Vec::new();
        for entry in self.entries.values() {
            if !pools.contains(&entry.pool) {
                pools.push(entry.pool.clone());
            }
        }
        pools
    }
}
