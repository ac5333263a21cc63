//! The choice of a backend server.
//!
//! Answers hot prompt parts, uneven failure domains and herds of hosts: each server is priced in
//! seconds until it would begin to answer, by what all hosts have sent there. A server that has
//! read the prompt's first part begins sooner; one of another failure domain costs the bytes
//! between the domains.

use std::hash::Hasher;
use std::sync::Arc;

use galenamast::state::TimePoint;
use siphasher::sip::SipHasher13;

use crate::coordination::placement::LoadBook;
use crate::state::ServerEntry;

/// Settings of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickSettings {
    /// Servers that are expected to keep a prompt part.
    pub spread: usize,
    /// Part of the reading that is left where the prompt part is kept.
    pub kept_part: f64,
    /// Cost of a server in another failure domain, in seconds.
    pub domain_cost: f64,
}

impl Default for PickSettings {
    fn default() -> Self {
        Self {
            spread: 3,
            kept_part: 0.3,
            domain_cost: 0.3,
        }
    }
}

/// What a server is wanted for.
#[derive(Clone, Debug, Default)]
pub struct PickQuery<'a> {
    /// Failure domain of the host.
    pub domain: &'a str,
    /// Digest of the prompt part that requests share; `None` for plain services.
    pub affinity: Option<u64>,
    /// Work of the request, in seconds of an ordinary server.
    pub work: f64,
    /// Servers that were tried.
    pub excluded: &'a [Arc<str>],
    /// A random number.
    pub point: u64,
}

/// A chosen server.
#[derive(Clone, Debug)]
pub struct ServerPick {
    /// The server.
    pub server: ServerEntry,
    /// Servers that could have been chosen.
    pub candidates: usize,
    /// Seconds until it is predicted to begin to answer, with what else is held against it.
    pub cost: f64,
    /// Seconds until an ordinary server that keeps nothing of the prompt would begin.
    pub ordinary: f64,
}

/// Picks a server among those that take work.
pub fn pick_server(
    serving: &[&ServerEntry],
    query: &PickQuery<'_>,
    loads: &LoadBook,
    settings: &PickSettings,
    now: TimePoint,
) -> Option<ServerPick> {
    let fresh = |entry: &&&ServerEntry| !query.excluded.contains(&entry.id);
    let mut candidates: Vec<&ServerEntry> = serving.iter().filter(fresh).copied().collect();
    if let Some(part) = query.affinity {
        candidates.sort_by_key(|entry| std::cmp::Reverse(rank(part, &entry.id)));
    }
    let total = candidates.len();
    let kept = if query.affinity.is_some() {
        settings.spread.min(total)
    } else {
        0
    };
    // Among servers that cost the same, each request has its own order.
    candidates[kept..].sort_by_key(|entry| rank(query.point, &entry.id));
    let priced = candidates.iter().enumerate().map(|(place, entry)| {
        let is_kept = place < kept;
        let work = if is_kept {
            query.work * settings.kept_part
        } else {
            query.work
        };
        let lanes = lanes_of(query, entry);
        let far = if *entry.domain == *query.domain {
            0.0
        } else {
            settings.domain_cost
        };
        let cost = loads.cost(&entry.id, work, lanes, now) + far;
        (cost, *entry)
    });
    let (cost, server) = priced.min_by(|(left, _), (right, _)| left.total_cmp(right))?;
    Some(ServerPick {
        server: server.clone(),
        candidates: total,
        cost,
        ordinary: loads.queue(&server.id, lanes_of(query, server), now) + query.work,
    })
}

/// Returns how many requests a server runs side by side without delaying one another.
fn lanes_of(query: &PickQuery<'_>, server: &ServerEntry) -> f64 {
    match query.affinity {
        // An engine reads one prompt after the other.
        Some(_) => 1.0,
        None => f64::from(server.slots.max(1)),
    }
}

/// Returns the rank of a server for a number.
fn rank(number: u64, server: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(number);
    hasher.write(server.as_bytes());
    hasher.finish()
}
