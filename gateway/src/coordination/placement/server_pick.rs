//! The choice of a backend server.
//!
//! Answers hot prompt parts, uneven failure domains and herds of hosts: each server is priced in
//! seconds until it would begin to answer, by what all hosts have sent there. A server that keeps
//! the beginning of the prompt begins sooner and saves the model's price of reading; one of another
//! failure domain costs the bytes between the domains. So a prompt that is dear to read goes where
//! it is kept, and one that is cheap to read stays in its domain.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::sync::Arc;

use galenamast::state::TimePoint;
use siphasher::sip::SipHasher13;

use crate::coordination::placement::load_estimator::FIXED_TOKENS;
use crate::coordination::placement::{LoadEstimator, PromptPrefixes, short_server_id};
use crate::state::ServerEntry;

/// Settings of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickSettings {
    /// Likelihood that an engine keeps what it was seen to read.
    pub kept_share: f64,
    /// Likelihood that the one engine to which all hosts send a beginning keeps it.
    pub home_share: f64,
    /// Likelihood that the engine to which the hosts of a domain send a beginning keeps it.
    pub domain_home_share: f64,
    /// Seconds that are worth one unit of price.
    pub seconds_per_price: f64,
    /// Price of a byte between failure domains, by the users' sheet.
    pub byte_price: f64,
}

impl Default for PickSettings {
    fn default() -> Self {
        Self {
            kept_share: 0.85,
            home_share: 0.6,
            domain_home_share: 0.35,
            seconds_per_price: 4.0,
            byte_price: 5.5e-6,
        }
    }
}

/// What a server is wanted for.
#[derive(Clone, Debug, Default)]
pub struct PickQuery<'a> {
    /// Failure domain of the host.
    pub domain: &'a str,
    /// The prompt as the model reads it; `None` for plain services.
    pub prompt: Option<&'a PromptPrefixes>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that engines were seen to read, by short name.
    pub kept: BTreeMap<u32, u32>,
    /// Price of a token that is read.
    pub read_price: f64,
    /// Bytes of the request and of its answer.
    pub bytes: f64,
    /// Work of the request if nothing is kept, in seconds of an ordinary server.
    pub work: f64,
    /// Servers that were tried.
    pub excluded: &'a [Arc<str>],
    /// A random number.
    pub tie_breaker: u64,
}

/// A chosen server.
#[derive(Clone, Debug)]
pub struct ServerPick {
    /// The server.
    pub server: ServerEntry,
    /// Servers that could have been chosen.
    pub candidates: usize,
    /// Seconds until it is predicted to begin to answer; servers that fail or refuse count more.
    pub wait: f64,
    /// Seconds until an ordinary server that keeps nothing of the prompt would begin.
    pub typical_wait: f64,
    /// Work of the request there, in seconds of an ordinary server.
    pub work: f64,
    /// Tokens of the prompt that the server is expected to keep.
    pub kept_tokens: u32,
}

/// Picks a server among those that take work.
pub fn pick_server(
    serving: &[&ServerEntry],
    query: &PickQuery<'_>,
    loads: &LoadEstimator,
    settings: &PickSettings,
    now: TimePoint,
) -> Option<ServerPick> {
    let is_fresh = |entry: &&&ServerEntry| !query.excluded.contains(&entry.id);
    let candidates: Vec<&ServerEntry> = serving.iter().filter(is_fresh).copied().collect();
    let homes = find_homes(&candidates, query);
    let far_cost = query.bytes * settings.byte_price * settings.seconds_per_price;
    let priced = candidates.iter().map(|entry| {
        let kept = kept_tokens(entry, query, &homes, settings);
        let read = f64::from(query.prompt_tokens) - kept;
        let work = query.work * (1.0 - kept / (f64::from(query.prompt_tokens) + FIXED_TOKENS));
        let far = if *entry.domain == *query.domain {
            0.0
        } else {
            far_cost
        };
        let reading = read * query.read_price * settings.seconds_per_price;
        let wait = loads.cost(&entry.id, work, lanes_of(query, entry), now);
        PricedServer {
            entry,
            price: wait + far + reading,
            wait,
            work,
            kept,
        }
    });
    // Among servers that cost the same, each request has its own order.
    let order = |priced: &PricedServer<'_>| rank(query.tie_breaker, &priced.entry.id);
    let best = priced.min_by(|left, right| {
        let by_price = left.price.total_cmp(&right.price);
        by_price.then_with(|| order(left).cmp(&order(right)))
    })?;
    let server = best.entry;
    Some(ServerPick {
        server: server.clone(),
        candidates: candidates.len(),
        wait: best.wait,
        typical_wait: loads.queue(&server.id, lanes_of(query, server), now) + query.work,
        work: best.work,
        kept_tokens: best.kept as u32,
    })
}

/// A server with what it would cost.
#[derive(Clone, Copy, Debug)]
struct PricedServer<'a> {
    entry: &'a ServerEntry,
    price: f64,
    wait: f64,
    work: f64,
    kept: f64,
}

/// The servers to which hosts that know nothing send the beginning of a prompt.
#[derive(Debug, Default)]
struct PromptHomes<'a> {
    tokens: f64,
    overall: &'a str,
    by_domain: BTreeMap<&'a str, (u64, &'a str)>,
}

/// Finds the servers to which hosts that know nothing send the beginning of a prompt.
fn find_homes<'a>(candidates: &[&'a ServerEntry], query: &PickQuery<'_>) -> PromptHomes<'a> {
    let Some(home) = query.prompt.and_then(PromptPrefixes::home) else {
        return PromptHomes::default();
    };
    let mut by_domain = BTreeMap::<&str, (u64, &str)>::new();
    for entry in candidates {
        let ranked = (rank(home.key, &entry.id), &*entry.id);
        let highest = by_domain.entry(&entry.domain).or_insert(ranked);
        *highest = ranked.max(*highest);
    }
    let overall = by_domain.values().max();
    PromptHomes {
        tokens: f64::from(home.tokens),
        overall: overall.map_or("", |(_, id)| id),
        by_domain,
    }
}

/// Returns the tokens of a prompt that a server is expected to keep.
fn kept_tokens(
    entry: &ServerEntry,
    query: &PickQuery<'_>,
    homes: &PromptHomes<'_>,
    settings: &PickSettings,
) -> f64 {
    let seen = if query.kept.is_empty() {
        0
    } else {
        query
            .kept
            .get(&short_server_id(&entry.id))
            .copied()
            .unwrap_or(0)
    };
    let home_here = homes.by_domain.get(&*entry.domain).map(|(_, id)| *id);
    let likelihood = if *homes.overall == *entry.id {
        settings.home_share
    } else if home_here == Some(&*entry.id) {
        settings.domain_home_share
    } else {
        0.0
    };
    (f64::from(seen) * settings.kept_share).max(homes.tokens * likelihood)
}

/// Returns how many requests a server runs side by side without delaying one another.
fn lanes_of(query: &PickQuery<'_>, server: &ServerEntry) -> f64 {
    match query.prompt {
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
