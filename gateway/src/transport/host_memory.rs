//! Account of the memory that callers make a host hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::coordination::memory::{MemoryBudget, MemoryUse, may_hold};

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryKind {
    /// Bodies of callers' requests.
    Requests,
    /// Responses that are not streamed, until the caller has taken them.
    Responses,
    /// Events of streams, whole or in part, until the caller has taken them.
    Streams,
    /// Connections of callers, with their buffers and what they have received.
    Connections,
    /// State and heads of requests in progress.
    Exchanges,
    /// Connections to servers and other hosts.
    Servers,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Requests,
        Self::Responses,
        Self::Streams,
        Self::Connections,
        Self::Exchanges,
        Self::Servers,
    ];
    /// Kinds of bodies.
    const BODIES: [Self; 3] = [Self::Requests, Self::Responses, Self::Streams];

    /// Returns the name of the kind on the metrics page.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Responses => "responses",
            Self::Streams => "streams",
            Self::Connections => "connections",
            Self::Exchanges => "exchanges",
            Self::Servers => "servers",
        }
    }
}

/// The memory that callers make a host hold.
#[derive(Debug)]
pub struct HostMemory {
    budget: MemoryBudget,
    held: [AtomicUsize; MemoryKind::ALL.len()],
    // Notified when memory was released.
    released: Notify,
    // Held by the one body that may go beyond the limit, so that of several that wait for each other one
    // ends.
    overdraft: Arc<Semaphore>,
    // Bytes of that body.
    overdrawn: AtomicUsize,
}

impl HostMemory {
    /// Creates an account of nothing held.
    pub fn new(budget: MemoryBudget) -> Self {
        Self {
            budget,
            held: Default::default(),
            released: Notify::new(),
            overdraft: Arc::new(Semaphore::new(1)),
            overdrawn: AtomicUsize::new(0),
        }
    }

    /// Returns the bytes that are held for a kind.
    pub fn held(&self, kind: MemoryKind) -> usize {
        self.held[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the bytes that are held for bodies.
    pub fn total(&self) -> usize {
        let bodies = MemoryKind::BODIES.iter();
        bodies.map(|kind| self.held(*kind)).sum()
    }

    /// Returns all bytes that are held.
    pub fn all(&self) -> usize {
        MemoryKind::ALL.iter().map(|kind| self.held(*kind)).sum()
    }

    /// Returns the largest total of bodies that is held without waiting.
    pub const fn limit(&self) -> usize {
        self.budget.bodies.total
    }

    /// Returns the bounds.
    pub(crate) const fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Returns whether no connection has to give way for further bytes.
    pub(crate) fn is_calm(&self, bytes: usize) -> bool {
        self.all().saturating_add(bytes) <= self.budget.pressure
    }

    /// Returns lines of the metrics page.
    pub fn render(&self) -> String {
        let line = |kind: &MemoryKind| {
            format!(
                "memory_held_bytes{{kind=\"{}\"}} {}\n",
                kind.name(),
                self.held(*kind)
            )
        };
        let held: String = MemoryKind::ALL.iter().map(line).collect();
        held + &format!("memory_limit_bytes {}\n", self.budget.all)
    }

    /// Waits until there is room.
    pub(crate) async fn wait_until(&self, has_room: impl Fn() -> bool) {
        loop {
            let released = self.released.notified();
            if has_room() {
                return;
            }
            released.await;
        }
    }

    /// Counts bytes that are held.
    fn add(&self, kind: MemoryKind, bytes: usize) {
        self.held[kind as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    /// Discounts bytes that are no longer held.
    fn remove(&self, kind: MemoryKind, bytes: usize) {
        if bytes > 0 {
            self.held[kind as usize].fetch_sub(bytes, Ordering::Relaxed);
            self.released.notify_waiters();
        }
    }
}

/// The memory that one body holds, until it is dropped.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    memory: Arc<HostMemory>,
    kind: MemoryKind,
    bytes: usize,
    overdraft: Option<OwnedSemaphorePermit>,
}

impl MemoryShare {
    /// Creates a share of no bytes.
    pub(crate) fn new(memory: &Arc<HostMemory>, kind: MemoryKind) -> Self {
        Self {
            memory: memory.clone(),
            kind,
            bytes: 0,
            overdraft: None,
        }
    }

    /// Returns the bytes that are held.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the bytes that are held, whether or not there is room for them.
    pub(crate) fn set(&mut self, bytes: usize) {
        if self.overdraft.is_some() {
            self.memory.overdrawn.store(bytes, Ordering::Relaxed);
        }
        if bytes > self.bytes {
            self.memory.add(self.kind, bytes - self.bytes);
        } else {
            self.memory.remove(self.kind, self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    /// Counts further bytes if there is room for them; returns whether there is.
    pub(crate) fn try_add(&mut self, bytes: usize) -> bool {
        let has_room = self.has_room(bytes);
        if has_room {
            self.set(self.bytes + bytes);
        }
        has_room
    }

    /// Counts further bytes once there is room for them within the limit.
    pub(crate) async fn add_within(&mut self, bytes: usize) {
        let memory = self.memory.clone();
        loop {
            let released = memory.released.notified();
            if self.try_add(bytes) {
                return;
            }
            released.await;
        }
    }

    /// Counts further bytes once there is room for them.
    pub(crate) async fn add(&mut self, bytes: usize) {
        self.wait_for_room(bytes).await;
        self.set(self.bytes + bytes);
    }

    /// Waits until there is room for further bytes. Of several bodies that wait, one gets room beyond the
    /// limit.
    pub(crate) async fn wait_for_room(&mut self, bytes: usize) {
        while !self.has_room(bytes) {
            let memory = self.memory.clone();
            let released = memory.released.notified();
            if self.has_room(bytes) {
                break;
            }
            tokio::select! {
                () = released => {}
                permit = memory.overdraft.clone().acquire_owned() => {
                    self.overdraft = permit.ok();
                    self.set(self.bytes);
                }
            }
        }
    }

    /// Returns whether further bytes may be held. The body beyond the limit leaves the others theirs.
    fn has_room(&self, bytes: usize) -> bool {
        if self.overdraft.is_some() {
            return true;
        }
        let (memory, budget) = (&self.memory, &self.memory.budget);
        let overdrawn = memory.overdrawn.load(Ordering::Relaxed);
        let bodies = MemoryUse {
            all: memory.total().saturating_sub(overdrawn),
            own: self.bytes,
        };
        let all = memory.all().saturating_add(bytes);
        match self.kind {
            MemoryKind::Connections | MemoryKind::Exchanges | MemoryKind::Servers => {
                all <= budget.open
            }
            MemoryKind::Requests => all <= budget.open && may_hold(bodies, bytes, &budget.bodies),
            MemoryKind::Responses | MemoryKind::Streams => {
                all <= budget.all && may_hold(bodies, bytes, &budget.bodies)
            }
        }
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.set(0);
        if self.overdraft.take().is_some() {
            self.memory.released.notify_waiters();
        }
    }
}
