//! Load patterns: a burst over many hosts, a hot prompt part, a shift between failure domains, a
//! slow server, a server that fails.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::placement::{
    LoadEstimator, LoadSettings, PickQuery, PickSettings, PrefixCacheIndex, PrefixCacheSettings,
    PrefixRead, PromptPrefixes, ServerPick, pick_server,
};
use galenamast_gateway::state::{PromptPart, ServerEntry};
use rand::{Rng, SeedableRng};

/// Work of a request in these tests, in seconds.
const WORK: f64 = 0.1;

/// Tokens of a prompt in these tests.
const TOKENS: u32 = 17_000;
/// Tokens of the part that requests share.
const SHARED_TOKENS: u32 = 13_000;
/// Price of a token that a large model reads.
const LARGE_PRICE: f64 = 3e-5;

/// Returns a prompt of a shared part and one of its own.
fn prompt(model: &str, shared: u64, own: u64) -> PromptPrefixes {
    let parts = [
        (shared, SHARED_TOKENS),
        (1_000_000 + own, TOKENS - SHARED_TOKENS),
    ];
    PromptPrefixes::new(
        model,
        &parts.map(|(digest, tokens)| PromptPart { digest, tokens }),
    )
}

/// Picks a server for a prompt on a host that knows what engines keep.
fn pick_kept(
    servers: &[ServerEntry],
    kept: &PrefixCacheIndex,
    path: &PromptPrefixes,
    (work, read_price): (f64, f64),
    now: TimePoint,
) -> ServerPick {
    let serving: Vec<&ServerEntry> = servers.iter().collect();
    let query = PickQuery {
        domain: "north",
        prompt: Some(path),
        prompt_tokens: TOKENS,
        kept: kept.kept_tokens(path, now),
        read_price,
        work,
        bytes: 20_000.0,
        ..PickQuery::default()
    };
    let book = LoadEstimator::new(LoadSettings::default());
    pick_server(&serving, &query, &book, &PickSettings::default(), now).expect("servers are left")
}

/// Returns beliefs in which an engine of another domain than "north", which is not where hosts that
/// know nothing would send the prompt, keeps its shared part, and that engine.
fn kept_far(
    servers: &[ServerEntry],
    model: &str,
    now: TimePoint,
) -> (PrefixCacheIndex, ServerEntry) {
    let path = prompt(model, 7, 0);
    let unknown = PrefixCacheIndex::new(PrefixCacheSettings::default());
    let home = pick_kept(servers, &unknown, &path, (0.0, LARGE_PRICE), now).server;
    let far = servers
        .iter()
        .find(|server| &*server.domain != "north" && server.id != home.id);
    let far = far.expect("another domain has servers").clone();
    let mut kept = PrefixCacheIndex::new(PrefixCacheSettings::default());
    kept.record_read(&path, &far.id, now);
    (kept, far)
}

/// Returns servers, three a failure domain.
fn servers(domains: &[&str]) -> Vec<ServerEntry> {
    let mut servers = Vec::new();
    for domain in domains {
        for _ in 0..3 {
            let number = servers.len();
            servers.push(ServerEntry {
                id: format!("i-{number}").into(),
                service: "engines".into(),
                address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16)),
                domain: (*domain).into(),
                version: "v1".into(),
                slots: 64,
                draining: false,
                started_ms: None,
            });
        }
    }
    servers
}

/// Sends requests of a prompt part from one host; returns how many went to each server.
fn send(
    book: &mut LoadEstimator,
    servers: &[ServerEntry],
    requests: usize,
    part: impl Fn(usize) -> u64,
) -> BTreeMap<Arc<str>, usize> {
    let serving: Vec<&ServerEntry> = servers.iter().collect();
    let now = TimePoint::from_millis(1);
    let mut counts = BTreeMap::new();
    for number in 0..requests {
        let prompt = prompt("small", part(number), number as u64);
        let query = PickQuery {
            domain: "north",
            prompt: Some(&prompt),
            prompt_tokens: TOKENS,
            work: WORK,
            bytes: 20_000.0,
            tie_breaker: number as u64,
            ..PickQuery::default()
        };
        let pick = pick_server(&serving, &query, book, &PickSettings::default(), now)
            .expect("servers are left");
        book.record_sent(&pick.server.id, WORK);
        *counts.entry(pick.server.id).or_insert(0) += 1;
    }
    counts
}

#[test]
fn a_hot_prompt_part_spreads_when_its_servers_have_much_to_do() {
    let servers = servers(&["north", "south", "west"]);
    let mut book = LoadEstimator::new(LoadSettings::default());
    let counts = send(&mut book, &servers, 90, |_| 7);
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(counts.len() >= 6, "{counts:?}");
    assert!(most <= 30, "{counts:?}");
}

#[test]
fn few_requests_of_a_part_stay_where_it_is_kept() {
    let servers = servers(&["north"]);
    let mut book = LoadEstimator::new(LoadSettings::default());
    let counts = send(&mut book, &servers, 2, |_| 7);
    assert!(counts.len() <= 2, "{counts:?}");
}

/// Hosts that do not tell one another what they sent load the same servers.
#[test]
fn hosts_that_tell_one_another_share_a_burst_evenly() {
    let all = servers(&["north", "south", "west"]);
    let most = |is_told: bool| {
        let mut books = vec![LoadEstimator::new(LoadSettings::default()); 9];
        let mut total: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(5);
        for round in 0..20 {
            let now = TimePoint::from_millis(1 + round);
            for host in 0..books.len() {
                let part = random.random_range(0..4u64);
                let counts = send(&mut books[host], &all, 1, |_| part);
                for (server, count) in counts {
                    *total.entry(server).or_default() += count as f64;
                }
                if is_told {
                    let shares = books[host].local_loads();
                    let peer = SocketAddr::from(([127, 0, 0, 1], host as u16));
                    for (other, book) in books.iter_mut().enumerate() {
                        if other != host {
                            book.record_remote(peer, &shares, now);
                        }
                    }
                }
            }
        }
        total.values().copied().fold(0.0, f64::max)
    };
    let (told, untold) = (most(true), most(false));
    assert!(
        told * 1.3 < untold,
        "the busiest server: {told} told, {untold} not"
    );
}

#[test]
fn what_another_host_told_long_ago_does_not_count() {
    let all = servers(&["north"]);
    let mut busy = LoadEstimator::new(LoadSettings::default());
    for _ in 0..50 {
        busy.record_sent(&all[0].id, WORK);
    }
    let mut book = LoadEstimator::new(LoadSettings::default());
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let told_at = TimePoint::from_millis(10);
    book.record_remote(peer, &busy.local_loads(), told_at);
    let cost = |at| book.cost(&all[0].id, WORK, 1.0, at);
    assert!(cost(told_at) > 3.0);
    assert!(cost(told_at + Duration::from_secs(5)) < 0.2);
}

#[test]
fn a_slow_server_loses_work_in_proportion_and_gets_it_back() {
    let all = servers(&["north"]);
    let mut book = LoadEstimator::new(LoadSettings::default());
    let class: Arc<str> = "small".into();
    for _ in 0..30 {
        for (number, server) in all.iter().enumerate() {
            let took = if number == 0 { 800 } else { 100 };
            book.record_first_byte(&server.id, &class, 1, 1_000, Duration::from_millis(took));
        }
    }
    let now = TimePoint::from_millis(1);
    let cost = |book: &LoadEstimator, number: usize| book.cost(&all[number].id, WORK, 1.0, now);
    assert!(cost(&book, 0) > 2.0 * cost(&book, 1));
    for _ in 0..30 {
        for server in &all {
            book.record_first_byte(&server.id, &class, 1, 1_000, Duration::from_millis(100));
        }
    }
    assert!(cost(&book, 0) < 1.5 * cost(&book, 1));
}

#[test]
fn a_server_that_fails_is_passed_over_and_tried_again() {
    let all = servers(&["north"]);
    let mut book = LoadEstimator::new(LoadSettings::default());
    let now = TimePoint::from_millis(1_000);
    for _ in 0..5 {
        book.record_failure(&all[0].id, now);
    }
    let healthy = book.cost(&all[1].id, WORK, 1.0, now);
    assert!(book.cost(&all[0].id, WORK, 1.0, now) > 10.0 * healthy);
    let later = now + Duration::from_secs(30);
    assert!(book.cost(&all[0].id, WORK, 1.0, later) < 1.5 * healthy);
}

#[test]
fn a_domain_without_room_goes_across() {
    let all = servers(&["north", "south"]);
    let mut book = LoadEstimator::new(LoadSettings::default());
    let counts = send(&mut book, &all, 3, |number| number as u64);
    assert!(
        counts
            .keys()
            .all(|id| all[..3].iter().any(|server| server.id == *id)),
        "{counts:?}"
    );
    let counts = send(&mut book, &all, 40, |number| number as u64);
    assert!(
        counts
            .keys()
            .any(|id| all[3..].iter().any(|server| server.id == *id)),
        "{counts:?}"
    );
}

/// A prompt that is dear to read again, kept in another failure domain only.
#[test]
fn a_prompt_that_is_dear_to_read_goes_where_it_is_kept() {
    let all = servers(&["north", "south", "west"]);
    let now = TimePoint::from_millis(1);
    let (kept, far) = kept_far(&all, "large", now);
    let path = prompt("large", 7, 1);
    let pick = pick_kept(&all, &kept, &path, (1.0, LARGE_PRICE), now);
    assert_eq!(pick.server.id, far.id);
    assert!(pick.work < 0.5, "the kept part is not read: {}", pick.work);
}

/// A prompt that a small model reads at a trifle, kept in another failure domain only.
#[test]
fn a_prompt_that_is_cheap_to_read_stays_in_its_domain() {
    let all = servers(&["north", "south", "west"]);
    let now = TimePoint::from_millis(1);
    let (kept, _) = kept_far(&all, "small", now);
    let path = prompt("small", 7, 1);
    let pick = pick_kept(&all, &kept, &path, (0.02, 0.0), now);
    assert_eq!(&*pick.server.domain, "north");
}

#[test]
fn what_one_model_read_is_not_kept_for_another() {
    let all = servers(&["north", "south", "west"]);
    let now = TimePoint::from_millis(1);
    let (kept, _) = kept_far(&all, "small", now);
    assert!(!kept.kept_tokens(&prompt("small", 7, 1), now).is_empty());
    assert!(kept.kept_tokens(&prompt("large", 7, 1), now).is_empty());
}

/// Prompts of one part that arrive at many hosts: each host follows what the others had read.
#[test]
fn hosts_that_tell_one_another_read_a_part_once() {
    let all = servers(&["north", "south", "west"]);
    let now = TimePoint::from_millis(1);
    let (teller, far) = kept_far(&all, "large", now);
    let (reads, count) = teller.local_reads_since(0);
    assert_eq!((reads.len(), count), (1, 1));
    let mut listener = PrefixCacheIndex::new(PrefixCacheSettings::default());
    listener.record_remote(&reads, now);
    let path = prompt("large", 7, 1);
    let pick = pick_kept(&all, &listener, &path, (1.0, LARGE_PRICE), now);
    assert_eq!(pick.server.id, far.id);
    assert_eq!(teller.local_reads_since(count), (Vec::new(), 1));
}

#[test]
fn an_engine_that_started_anew_keeps_nothing() {
    let all = servers(&["north", "south", "west"]);
    let now = TimePoint::from_millis(1);
    let (mut kept, far) = kept_far(&all, "large", now);
    kept.forget(&far.id);
    assert!(kept.kept_tokens(&prompt("large", 7, 1), now).is_empty());
}

#[test]
fn what_nobody_used_for_long_is_not_believed_to_be_kept() {
    let all = servers(&["north", "south", "west"]);
    let now = TimePoint::from_millis(1);
    let (kept, _) = kept_far(&all, "large", now);
    let later = now + PrefixCacheSettings::default().lifetime + Duration::from_millis(1);
    assert!(kept.kept_tokens(&prompt("large", 7, 1), later).is_empty());
}

/// Ten times the prompts that are remembered: the oldest yield, in what is believed and in what
/// waits to be told.
#[test]
fn what_is_remembered_of_prompts_is_bounded() {
    let settings = PrefixCacheSettings {
        capacity: 10,
        told_capacity: 4,
        ..PrefixCacheSettings::default()
    };
    let mut kept = PrefixCacheIndex::new(settings);
    let now = TimePoint::from_millis(1);
    for shared in 0..100 {
        kept.record_read(&prompt("large", shared, shared), "i-1", now);
    }
    let remembered = (0..100).filter(|shared| {
        let path = prompt("large", *shared, *shared);
        !kept.kept_tokens(&path, now).is_empty()
    });
    assert_eq!(remembered.count(), 5, "each prompt has two beginnings");
    let (reads, count) = kept.local_reads_since(0);
    assert_eq!((reads.len(), count), (4, 100));
    let newest: Vec<PrefixRead> = kept.local_reads_since(98).0;
    assert_eq!(newest, reads[2..]);
}

#[test]
fn the_newest_word_of_a_host_replaces_the_one_before() {
    let all = servers(&["north"]);
    let mut book = LoadEstimator::new(LoadSettings::default());
    let peers = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let told = |requests: usize| {
        let mut other = LoadEstimator::new(LoadSettings::default());
        (0..requests).for_each(|_| other.record_sent(&all[0].id, WORK));
        other.local_loads()
    };
    let now = TimePoint::from_millis(10);
    let queue = |book: &LoadEstimator| book.queue(&all[0].id, 1.0, now);
    book.record_remote(peers[0], &told(40), now);
    book.record_remote(peers[1], &told(10), now);
    let both = queue(&book);
    assert!(both > 50.0 * WORK, "{both}");
    book.record_remote(peers[0], &told(0), now);
    let one = queue(&book);
    assert!(one > 10.0 * WORK && one < 12.0 * WORK, "{one}");
    book.record_remote(peers[1], &told(10), now);
    assert!((queue(&book) - one).abs() < 1e-6);
}

/// Load pattern: full engines that serve other routes first. What predictions missed lately shows
/// it, and is forgotten when they hold again.
#[test]
fn what_predictions_of_a_route_missed_is_learnt_and_forgotten() {
    let mut book = LoadEstimator::new(LoadSettings::default());
    let (late, other): (Arc<str>, Arc<str>) = ("late".into(), "other".into());
    for _ in 0..40 {
        book.record_prediction(&late, 0.1, Duration::from_millis(1_100));
        book.record_prediction(&other, 0.1, Duration::from_millis(50));
    }
    assert!((book.excess(&late) - 1.0).abs() < 0.05);
    assert_eq!(book.excess(&other), 0.0, "an early answer is no credit");
    for _ in 0..60 {
        book.record_prediction(&late, 0.1, Duration::from_millis(100));
    }
    assert!(book.excess(&late) < 0.05);
}

/// A datagram with senseless figures must not end the host that reads it.
#[test]
fn senseless_words_of_hosts_do_not_overflow() {
    let all = servers(&["north"]);
    let mut book = LoadEstimator::new(LoadSettings::default());
    book.record_sent(&all[0].id, WORK);
    let mut share = book.local_loads()[0].clone();
    share.in_flight = u32::MAX;
    let now = TimePoint::from_millis(10);
    for port in 1..4 {
        let peer = SocketAddr::from(([127, 0, 0, 1], port));
        book.record_remote(peer, std::slice::from_ref(&share), now);
    }
    assert!(book.queue(&all[0].id, 1.0, now).is_finite());
}
