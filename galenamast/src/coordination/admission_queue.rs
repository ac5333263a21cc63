//! A bounded queue of requests that wait for a server, fair between workspaces.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::state::{PoolName, RequestPriority, TimePoint, WorkspaceName};

/// Smallest share weight that is reckoned with.
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
    /// Share of the workspace, relative to others.
    pub weight: f64,
    /// Importance of the request.
    pub priority: RequestPriority,
    /// Time after which waiting is useless.
    pub deadline: TimePoint,
}

/// What became of a request that was to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueVerdict {
    /// The request waits.
    Queued,
    /// The request waits, and a less important one was shed for it.
    Displaced(QueueTicket),
    /// The queue is full of requests that are as important.
    Rejected,
}

/// Requests that wait, with the service that each workspace has had.
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

    /// Changes the number of requests that may wait; those that wait stay.
    pub fn set_limit(&mut self, max_entries: usize) {
        self.max_entries = max_entries;
    }

    /// Takes back the service of a request that was let out and found no server after all.
    pub fn refund(&mut self, entry: &QueueEntry) {
        let served = self.served.entry(entry.pool.clone()).or_default();
        if let Some(own) = served.get_mut(&entry.workspace) {
            *own = (*own - 1.0 / entry.weight.max(MIN_WEIGHT)).max(0.0);
        }
    }

    /// Adds a request; when the queue is full, one is shed: of the workspaces that hold more than
    /// their share of the places the least important request.
    pub fn push(&mut self, entry: QueueEntry) -> QueueVerdict {
        self.join_service(&entry);
        if self.entries.len() < self.max_entries {
            self.entries.insert(entry.ticket, entry);
            return QueueVerdict::Queued;
        }
        let newcomer = entry.ticket;
        self.entries.insert(newcomer, entry);
        let victim = self.least_important().unwrap_or(newcomer);
        self.entries.remove(&victim);
        if victim == newcomer {
            return QueueVerdict::Rejected;
        }
        QueueVerdict::Displaced(victim)
    }

    /// Starts the account of a workspace that did not wait at the least service of those that do.
    fn join_service(&mut self, entry: &QueueEntry) {
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

    /// Finds the request that is shed first: one of a workspace with more than its share of the
    /// places, and among these low priority, then the longest line, then the newest.
    fn least_important(&self) -> Option<QueueTicket> {
        let mut lines: BTreeMap<&WorkspaceName, f64> = BTreeMap::new();
        let mut weights: BTreeMap<&WorkspaceName, f64> = BTreeMap::new();
        for entry in self.entries.values() {
            let weight = entry.weight.max(MIN_WEIGHT);
            *lines.entry(&entry.workspace).or_default() += 1.0 / weight;
            weights.insert(&entry.workspace, weight);
        }
        let share = self.max_entries as f64 / weights.values().sum::<f64>();
        let over_share = |entry: &&QueueEntry| lines[&entry.workspace] > share;
        let shed_first = |left: &&QueueEntry, right: &&QueueEntry| {
            let lowest = left.priority.cmp(&right.priority);
            let longest = lines[&right.workspace].total_cmp(&lines[&left.workspace]);
            let newest = right.ticket.cmp(&left.ticket);
            lowest.then(longest).then(newest)
        };
        let entries = self.entries.values();
        let victim = entries.filter(over_share).min_by(shed_first);
        victim.map(|entry| entry.ticket)
    }

    /// Takes out the next request for a pool: the workspace that had the least service for its
    /// weight, and within it the most important and most urgent request.
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

    /// Takes out a request that no longer waits.
    pub fn remove(&mut self, ticket: QueueTicket) -> Option<QueueEntry> {
        self.entries.remove(&ticket)
    }

    /// Returns the number of requests that wait for a pool.
    pub fn waiting(&self, pool: &PoolName) -> usize {
        let waits = |entry: &&QueueEntry| entry.pool == *pool;
        self.entries.values().filter(waits).count()
    }

    /// Returns the pools that requests wait for.
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
