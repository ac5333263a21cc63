//! Picks the backend server for a request.
//!
//! Covers hot prompt parts, uneven failure domains and many hosts choosing at the same time. Each
//! server is priced in seconds until it would begin to answer, given the load that all hosts put on
//! it. A server that caches a prefix of the prompt begins sooner and saves the model's price of
//! reading it; a server of another failure domain costs the bytes transferred between the domains.
//! So a prompt that is expensive to read goes where it is cached, and one that is cheap to read
//! stays in its domain. In a fleet too large for all hosts to report to one another, servers of other
//! domains are not taken for idle because nobody reports their load.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::sync::Arc;

use galenamast::state::TimePoint;
use siphasher::sip::SipHasher13;

use crate::coordination::placement::load_estimator::FIXED_COST_TOKENS;
use crate::coordination::placement::{LoadEstimator, PromptPrefixes, short_server_id};
use crate::state::ServerEntry;

/// Settings of the server choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickSettings {
    /// Probability that an engine still caches a prefix that it was observed to read.
    pub observed_hit_probability: f64,
    /// Probability that the engine to which all hosts send a prefix by default caches it.
    pub home_hit_probability: f64,
    /// Probability that the engine to which the hosts of one domain send a prefix caches it.
    pub domain_home_hit_probability: f64,
    /// Seconds that are worth one unit of price.
    pub seconds_per_price: f64,
    /// Price of one byte between failure domains, from the users' price sheet.
    pub byte_price: f64,
    /// Longest queue, in seconds, that servers of other failure domains are assumed to have because
    /// those of this one have it.
    pub max_assumed_delay: f64,
}

impl Default for PickSettings {
    fn default() -> Self {
        Self {
            observed_hit_probability: 0.85,
            home_hit_probability: 0.2,
            domain_home_hit_probability: 0.1,
            seconds_per_price: 4.0,
            byte_price: 5.5e-6,
            max_assumed_delay: 1.5,
        }
    }
}

/// A request that needs a server.
#[derive(Clone, Debug, Default)]
pub struct PickQuery<'a> {
    /// Failure domain of this host.
    pub domain: &'a str,
    /// Prefixes of the prompt as the model reads it; `None` for plain services.
    pub prompt: Option<&'a PromptPrefixes>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that engines were observed to read, by short identifier.
    pub kept: BTreeMap<u32, u32>,
    /// Price of reading one token.
    pub read_price: f64,
    /// Size of the request and its answer in bytes.
    pub bytes: f64,
    /// Work of the request if nothing is cached, in seconds on a typical server.
    pub work: f64,
    /// Whether servers of other failure domains are assumed to be as loaded as those of this one,
    /// because most hosts do not report their load to this host.
    pub assumes_equal_load: bool,
    /// Servers that were already tried.
    pub excluded: &'a [Arc<str>],
    /// Random number that orders servers of equal price.
    pub tie_breaker: u64,
}

/// The chosen server and the predictions for it.
#[derive(Clone, Debug)]
pub struct ServerPick {
    /// The chosen server.
    pub server: ServerEntry,
    /// Number of servers that could have been chosen.
    pub candidates: usize,
    /// Predicted seconds until the answer begins; higher for servers that fail or refuse.
    pub wait: f64,
    /// Seconds until a typical server that caches nothing of the prompt would begin.
    pub typical_wait: f64,
    /// Work of the request on this server, in seconds on a typical server.
    pub work: f64,
    /// Tokens of the prompt that the server is expected to cache.
    pub kept_tokens: u32,
    /// Seconds until the first of all candidates would begin to answer, if it answers.
    pub earliest_start: f64,
    /// Whether any candidate runs fewer requests than it has slots.
    pub has_free_slot: bool,
}

/// Picks the cheapest server that was not tried yet; `None` if there is none.
pub fn pick_server(
    serving: &[&ServerEntry],
    query: &PickQuery<'_>,
    loads: &LoadEstimator,
    settings: &PickSettings,
    now: TimePoint,
) -> Option<ServerPick> {
    let is_untried = |entry: &&&ServerEntry| !query.excluded.contains(&entry.id);
    let candidates: Vec<&ServerEntry> = serving.iter().filter(is_untried).copied().collect();
    let homes = find_homes(&candidates, query);
    let cross_domain_cost = query.bytes * settings.byte_price * settings.seconds_per_price;
    let assumed_delay = assumed_delay(&candidates, query, loads, settings, now);
    let (mut earliest_start, mut has_free_slot) = (f64::INFINITY, false);
    let priced = candidates.iter().map(|entry| {
        let kept = kept_tokens(entry, query, &homes, settings);
        let read_tokens = f64::from(query.prompt_tokens) - kept;
        let work = query.work * (1.0 - kept / (f64::from(query.prompt_tokens) + FIXED_COST_TOKENS));
        let read_cost = read_tokens * query.read_price * settings.seconds_per_price;
        let is_local = *entry.domain == *query.domain;
        let transfer_cost = if is_local { 0.0 } else { cross_domain_cost };
        let min_delay = if is_local { 0.0 } else { assumed_delay };
        let estimate = loads.estimate_at_least(
            &entry.id,
            work,
            concurrency_of(query, entry),
            min_delay,
            now,
        );
        earliest_start = earliest_start.min(estimate.starts_in);
        has_free_slot |= estimate.in_flight < entry.slots;
        let domain_cost = loads.domain_cost(&entry.domain, now);
        let wait = estimate.cost + domain_cost;
        PricedServer {
            entry,
            price: wait + transfer_cost + read_cost,
            wait,
            work,
            kept,
        }
    });
    // Breaks ties by request, so that requests spread over servers of the same price.
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
        typical_wait: loads.queue_delay(&server.id, concurrency_of(query, server), now)
            + query.work,
        work: best.work,
        kept_tokens: best.kept as u32,
        earliest_start,
        has_free_slot,
    })
}

/// Returns the queue, in seconds, that servers of other failure domains are assumed to have: the
/// mean of this domain's, if the hosts of the others do not report their load.
fn assumed_delay(
    candidates: &[&ServerEntry],
    query: &PickQuery<'_>,
    loads: &LoadEstimator,
    settings: &PickSettings,
    now: TimePoint,
) -> f64 {
    if !query.assumes_equal_load {
        return 0.0;
    }
    let (mut sum, mut count) = (0.0, 0u32);
    for entry in candidates {
        if *entry.domain == *query.domain {
            sum += loads.queue_delay(&entry.id, concurrency_of(query, entry), now);
            count += 1;
        }
    }
    (sum / f64::from(count.max(1))).min(settings.max_assumed_delay)
}

/// A candidate with its price in seconds.
#[derive(Clone, Copy, Debug)]
struct PricedServer<'a> {
    entry: &'a ServerEntry,
    price: f64,
    wait: f64,
    work: f64,
    kept: f64,
}

/// The default servers for a prefix, by rendezvous hashing. Hosts send the prefix there when they
/// know of no cached copy.
#[derive(Debug, Default)]
struct PrefixHomes<'a> {
    tokens: f64,
    overall: &'a str,
    by_domain: BTreeMap<&'a str, (u64, &'a str)>,
}

/// Finds the default servers for the prompt's shared prefix.
fn find_homes<'a>(candidates: &[&'a ServerEntry], query: &PickQuery<'_>) -> PrefixHomes<'a> {
    let Some(prefix) = query.prompt.and_then(PromptPrefixes::shared_prefix) else {
        return PrefixHomes::default();
    };
    let mut by_domain = BTreeMap::<&str, (u64, &str)>::new();
    for entry in candidates {
        let ranked = (rank(prefix.key, &entry.id), &*entry.id);
        let highest = by_domain.entry(&entry.domain).or_insert(ranked);
        *highest = ranked.max(*highest);
    }
    let overall = by_domain.values().max();
    PrefixHomes {
        tokens: f64::from(prefix.tokens),
        overall: overall.map_or("", |(_, id)| id),
        by_domain,
    }
}

/// Returns the tokens of a prompt that a server is expected to cache.
fn kept_tokens(
    entry: &ServerEntry,
    query: &PickQuery<'_>,
    homes: &PrefixHomes<'_>,
    settings: &PickSettings,
) -> f64 {
    let observed = if query.kept.is_empty() {
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
        settings.home_hit_probability
    } else if home_here == Some(&*entry.id) {
        settings.domain_home_hit_probability
    } else {
        0.0
    };
    (f64::from(observed) * settings.observed_hit_probability).max(homes.tokens * likelihood)
}

/// Returns how many requests a server runs concurrently without delaying one another.
fn concurrency_of(query: &PickQuery<'_>, server: &ServerEntry) -> f64 {
    match query.prompt {
        // An engine reads prompts one after the other.
        Some(_) => 1.0,
        None => f64::from(server.slots.max(1)),
    }
}

/// Returns the rendezvous hash of a server for a number.
fn rank(number: u64, server: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(number);
    hasher.write(server.as_bytes());
    hasher.finish()
}
