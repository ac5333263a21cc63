//! The choice of a backend server.
//!
//! Answers hot prompt parts and herds of hosts: requests that share a prompt part go to the few
//! servers that rank first by a hash of it, among these to the one that costs least by what this
//! host has learnt; two drawn at random are compared, so that hosts with the same beliefs part.

use std::hash::Hasher;
use std::sync::Arc;

use galenamast::state::TimePoint;
use siphasher::sip::SipHasher13;

use crate::coordination::placement::LoadBook;
use crate::state::ServerEntry;

/// Settings of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickSettings {
    /// Servers that requests with one prompt part are spread over.
    pub spread: usize,
    /// Cost at which a server of the own failure domain is passed over for another's, in requests.
    pub own_domain_cost: f64,
}

impl Default for PickSettings {
    fn default() -> Self {
        Self { spread: 3, own_domain_cost: 24.0 }
    }
}

/// What a server is wanted for.
#[derive(Clone, Debug, Default)]
pub struct PickQuery<'a> {
    /// Failure domain of the host.
    pub domain: &'a str,
    /// Digest of the prompt part that requests share; `None` for plain services.
    pub affinity: Option<u64>,
    /// Servers that were tried.
    pub excluded: &'a [Arc<str>],
    /// Two random numbers.
    pub points: [u64; 2],
}

/// A chosen server.
#[derive(Clone, Debug)]
pub struct ServerPick {
    /// The server.
    pub server: ServerEntry,
    /// Servers that could have been chosen.
    pub candidates: usize,
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
    if candidates.is_empty() {
        return None;
    }
    let sound: Vec<&ServerEntry> =
        candidates.iter().copied().filter(|entry| loads.is_sound(&entry.id, now)).collect();
    if !sound.is_empty() {
        candidates = sound;
    }
    let total = candidates.len();
    let near: Vec<&ServerEntry> =
        candidates.iter().copied().filter(|entry| *entry.domain == *query.domain).collect();
    let cost = |entry: &&ServerEntry| loads.cost(&entry.id, now);
    let is_near_free = near.iter().any(|entry| cost(entry) < settings.own_domain_cost);
    if is_near_free {
        candidates = near;
    }
    if let Some(part) = query.affinity {
        candidates.sort_by_key(|entry| std::cmp::Reverse(rank(part, &entry.id)));
        candidates.truncate(settings.spread.max(1));
    }
    let first = candidates[index(query.points[0], candidates.len())];
    let second = candidates[index(query.points[1], candidates.len())];
    let chosen = if cost(&second) < cost(&first) { second } else { first };
    Some(ServerPick { server: chosen.clone(), candidates: total })
}

/// Returns the rank of a server for a prompt part.
fn rank(part: u64, server: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(part);
    hasher.write(server.as_bytes());
    hasher.finish()
}

/// Maps a random number to an index.
fn index(point: u64, len: usize) -> usize {
    usize::try_from(point % len as u64).unwrap_or(0)
}
