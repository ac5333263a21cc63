//! Decides which connections of callers give way when a host has no room for others.
//!
//! Load pattern: more callers than a host has connections or memory for, most of which stop within a request
//! and stay open, or read nothing, and open again when they are closed. Ordinary requests arrive whole within
//! a few milliseconds, on new and on kept connections.

use std::cmp::Reverse;
use std::time::Duration;

/// What a connection does that holds room for a caller which is to do something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionStage {
    /// It waits for its first request.
    Unused,
    /// It waits for a request after others.
    Kept,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// The body of a refused request arrives.
    Refused,
    /// Its caller does not read the response.
    Unread,
    /// Its caller sends on while its request is in progress.
    Ahead,
}

impl ConnectionStage {
    /// All stages.
    pub const ALL: [Self; 7] = [
        Self::Unused,
        Self::Kept,
        Self::Head,
        Self::Body,
        Self::Refused,
        Self::Unread,
        Self::Ahead,
    ];

    /// Returns the name of the stage in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unused => "unused",
            Self::Kept => "kept",
            Self::Head => "head",
            Self::Body => "body",
            Self::Refused => "refused",
            Self::Unread => "unread",
            Self::Ahead => "ahead",
        }
    }
}

/// What a connection has brought since its stage began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionProgress {
    /// Number of the connection.
    pub id: u64,
    /// What it does.
    pub stage: ConnectionStage,
    /// Time since it began to.
    pub age: Duration,
    /// Time since it last brought a byte, or since the stage began.
    pub stalled: Duration,
    /// Bytes that arrived in the stage.
    pub bytes: u64,
    /// Memory that the host gets back.
    pub held: usize,
}

/// Settings of giving way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionSettings {
    /// Time for which a request may arrive before its connection is judged by its progress.
    pub arrival_grace: Duration,
    /// Time for which a kept connection may wait, or a caller may read nothing or send on, before it gives
    /// way in front of requests that arrive.
    pub pause_grace: Duration,
    /// Rate that a request has to keep once its time to arrive is over, in bytes a second, so as not to give
    /// way in front of others.
    pub min_rate: u64,
    /// Steps in which the time without a byte is compared.
    pub stall_step: Duration,
}

impl Default for EvictionSettings {
    fn default() -> Self {
        Self {
            arrival_grace: Duration::from_millis(500),
            pause_grace: Duration::from_secs(2),
            min_rate: 32 * 1_024,
            stall_step: Duration::from_millis(50),
        }
    }
}

/// Rank by which connections give way, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    class: EvictionClass,
    // Bytes a second, among those that are too slow.
    rate: u64,
    // Steps without a byte, the most first.
    stalled: Reverse<u128>,
    // Whether a request arrives fast enough beyond its time to arrive.
    is_steady: bool,
    age: Reverse<Duration>,
}

/// Classes of connections, in the order in which they give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// Had its time and brings too little.
    Slow,
    /// Waits for a further request.
    Waiting,
    /// Brings a request.
    Arriving,
    /// Paused a moment ago.
    Paused,
}

impl ConnectionProgress {
    /// Returns the bytes a second that the connection has brought.
    const fn rate(&self) -> u64 {
        let micros = self.age.as_micros() as u64 + 1;
        self.bytes.saturating_mul(1_000_000) / micros
    }

    /// Returns the rank of the connection. Requests that arrive are compared by the time without a byte, and
    /// by their age only among equals, so that one which arrives whole is not cut by those behind it.
    fn rank(&self, settings: &EvictionSettings) -> EvictionRank {
        let is_paused = self.age >= settings.pause_grace;
        let had_time = self.age >= settings.arrival_grace;
        let is_slow = self.rate() < settings.min_rate;
        let class = match self.stage {
            ConnectionStage::Unread | ConnectionStage::Ahead if is_paused => EvictionClass::Slow,
            ConnectionStage::Kept if is_paused => EvictionClass::Waiting,
            ConnectionStage::Unread | ConnectionStage::Ahead | ConnectionStage::Kept => {
                EvictionClass::Paused
            }
            _ if had_time && is_slow => EvictionClass::Slow,
            _ => EvictionClass::Arriving,
        };
        let step = settings.stall_step.as_micros().max(1);
        EvictionRank {
            class,
            rate: if class == EvictionClass::Slow {
                self.rate()
            } else {
                0
            },
            stalled: Reverse(self.stalled.as_micros() / step),
            is_steady: had_time && !is_slow,
            age: Reverse(self.age),
        }
    }
}

/// Returns the connections that give way so that at least `count` of them and `bytes` of memory become
/// free, those that have brought least for longest first.
///
/// ```
/// use std::time::Duration;
/// use galenamast_gateway::coordination::callers::{
///     ConnectionProgress, ConnectionStage, EvictionSettings, pick_evictions,
/// };
///
/// let slow = ConnectionProgress {
///     id: 1,
///     stage: ConnectionStage::Body,
///     age: Duration::from_secs(2),
///     stalled: Duration::ZERO,
///     bytes: 1_000_000,
///     held: 4_000_000,
/// };
/// let stalled = ConnectionProgress { id: 2, bytes: 60_000, held: 64_000, ..slow };
/// let settings = EvictionSettings::default();
/// assert_eq!(pick_evictions(vec![slow, stalled], 1, 0, &settings), [2]);
/// assert_eq!(pick_evictions(vec![slow, stalled], 0, 100_000, &settings), [2, 1]);
/// ```
pub fn pick_evictions(
    mut connections: Vec<ConnectionProgress>,
    count: usize,
    bytes: usize,
    settings: &EvictionSettings,
) -> Vec<u64> {
    connections.sort_by_cached_key(|connection| (connection.rank(settings), connection.id));
    let mut freed = 0;
    let mut picked = Vec::new();
    for connection in connections {
        if picked.len() >= count && freed >= bytes {
            break;
        }
        freed += connection.held;
        picked.push(connection.id);
    }
    picked
}
