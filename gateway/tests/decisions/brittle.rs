//! A server that falls over when it refuses several requests in a second, under twice the load that it
//! can run, from all hosts of a fleet.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::permits::{LimitSettings, SendDenial, ServerPermits};
use galenamast_gateway::state::{HostPresence, ServerDemand, ServerEntry};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Fleets: number of hosts, and time after which they know of the others' requests in flight, if ever.
const FLEETS: [(usize, Option<u64>); 3] = [(9, Some(200)), (63, Some(1_000)), (295, None)];
/// Refusals in a second that a server tolerates.
const TOLERATED: [u32; 3] = [3, 5, 10];
/// Requests that the server runs at once.
const SLOTS: u32 = 24;
/// Requests that wait at the server.
const QUEUE: usize = 2;
/// Time for which a request runs.
const RUN_MS: u64 = 500;
/// Time from a refusal to its arrival at the host, and to that of the host's report at the others.
const REFUSAL_MS: u64 = 3;
/// See `REFUSAL_MS`.
const REPORT_MS: u64 = 10;
/// Fraction of reports that are lost, of which each is sent twice.
const REPORT_LOSS: f64 = 0.05 * 0.05;
/// Length of a simulated day.
const DAY_MS: u64 = 15_000;
/// Time from which the bound holds.
const CONTACT_MS: u64 = 3_000;

/// Returns the brittle server.
fn server() -> ServerEntry {
    ServerEntry {
        id: "s-1".into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d-0".into(),
        version: "v1".into(),
        slots: SLOTS,
        draining: false,
        started_ms: Some(1_000),
        cold_for: Duration::ZERO,
    }
}

/// Returns the permits of a host that knows all hosts and that the server is brittle.
fn permits(number: usize, hosts: usize, tolerated: u32) -> ServerPermits {
    let name = |number: usize| Arc::<str>::from(format!("host-{number}"));
    let mut permits = ServerPermits::new(name(number), LimitSettings::default());
    let presence = |number: usize| HostPresence {
        host: name(number),
        address: ([127, 0, 0, 1], 2).into(),
        domain: "d-0".into(),
        wire_version: 1,
    };
    permits.set_hosts((0..hosts).map(presence).collect());
    permits.record_start(&server().id, server().started_ms);
    let now = TimePoint::from_millis(1);
    permits.record_answer(&server().id, &demand(tolerated, false), now, now);
    permits
}

/// Returns what the server states.
fn demand(tolerated: u32, full: bool) -> ServerDemand {
    ServerDemand {
        brittle: Some(tolerated),
        full,
        ..ServerDemand::default()
    }
}

/// Returns the most refusals in a second from `CONTACT_MS` on, and the number of requests that ran.
fn run_day(
    hosts: usize,
    known_after: Option<u64>,
    tolerated: u32,
    protects: bool,
) -> (usize, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(u64::from(tolerated) + hosts as u64);
    let mut fleet: Vec<_> = (0..hosts)
        .map(|number| permits(number, hosts, tolerated))
        .collect();
    let entry = server();
    // Ends of the requests at the server, with their start and host, the running ones first.
    let mut running: VecDeque<(u64, u64, usize)> = VecDeque::new();
    let mut events: VecDeque<(u64, usize, u64, Option<bool>)> = VecDeque::new();
    let mut refusals: VecDeque<u64> = VecDeque::new();
    let (mut most, mut ran) = (0, 0);
    let rate = 2.0 * f64::from(SLOTS) * 1_000.0 / RUN_MS as f64;
    for now_ms in 2..DAY_MS {
        let now = TimePoint::from_millis(now_ms);
        events.make_contiguous().sort_unstable();
        while events.front().is_some_and(|(at, ..)| *at <= now_ms) {
            let Some((_, host, sent_ms, refused)) = events.pop_front() else {
                break;
            };
            let Some(refused) = refused else {
                // Another host's report of a refusal.
                let report = fleet[(host + 1) % hosts].refusal_report(&entry.id, now);
                fleet[host].record_report(&report, now);
                continue;
            };
            let sent_at = TimePoint::from_millis(sent_ms);
            fleet[host].record_answer(&entry.id, &demand(tolerated, refused), sent_at, now);
            for other in (0..hosts).filter(|other| refused && *other != host) {
                if !random.random_bool(REPORT_LOSS) {
                    events.push_back((now_ms + REPORT_MS, other, now_ms, None));
                }
            }
        }
        running.retain(|(end, ..)| *end > now_ms);
        if !random.random_bool((rate / 1_000.0).min(1.0)) {
            continue;
        }
        let host = random.random_range(0..hosts);
        let is_known = |(end, start, at): &&(u64, u64, usize)| {
            *at == host || known_after.is_some_and(|lag| start + lag <= now_ms && *end > now_ms)
        };
        let known = running.iter().filter(is_known).count() as u32;
        let is_open = fleet[host].room_denial(&entry, known, now).is_none();
        if protects && !(is_open && fleet[host].take(&entry, now).is_ok()) {
            continue;
        }
        if running.len() >= SLOTS as usize + QUEUE {
            refusals.push_back(now_ms);
            refusals.retain(|at| now_ms - at < 1_000);
            if now_ms >= CONTACT_MS {
                most = most.max(refusals.len());
            }
            events.push_back((now_ms + REFUSAL_MS, host, now_ms, Some(true)));
        } else {
            ran += 1;
            // A request that waits ends when those before it have ended.
            let start = if running.len() < SLOTS as usize {
                now_ms
            } else {
                let mut ends: Vec<u64> = running.iter().map(|(end, ..)| *end).collect();
                ends.sort_unstable();
                ends[running.len() - SLOTS as usize]
            };
            running.push_back((start + RUN_MS, now_ms, host));
            events.push_back((start + REFUSAL_MS, host, now_ms, Some(false)));
        }
    }
    (most, ran)
}

// Requests that a full server refused went on coming from all hosts until it fell over.
#[test]
fn brittle_server_refuses_no_more_than_it_tolerates() {
    let could_run = SLOTS as usize * (DAY_MS / RUN_MS) as usize;
    for (hosts, known_after) in FLEETS {
        for tolerated in TOLERATED {
            let (most, ran) = run_day(hosts, known_after, tolerated, true);
            let case = format!("{hosts} hosts, {tolerated} tolerated: {most} refused, {ran} ran");
            assert!(most <= tolerated as usize, "{case}");
            assert!(ran * 3 >= could_run, "{case}, of {could_run}");
            let (most, _) = run_day(hosts, known_after, tolerated, false);
            assert!(most > tolerated as usize, "unprotected: {most} refused");
        }
    }
}

#[test]
fn host_returns_to_a_brittle_server_with_one_request() {
    let mut permits = permits(0, 9, 4);
    let (entry, at) = (server(), TimePoint::from_millis);
    permits.record_answer(&entry.id, &demand(4, true), at(100), at(102));
    let Some(SendDenial::Full { until }) = permits.room_denial(&entry, 0, at(103)) else {
        panic!("the server has just refused a request");
    };
    assert_eq!(permits.take(&entry, until), Ok(()));
    assert!(
        permits.take(&entry, until).is_err(),
        "the first is not answered yet"
    );
    permits.record_answer(&entry.id, &demand(4, false), until, until);
    assert_eq!(permits.take(&entry, until), Ok(()));
    assert!(
        permits.room_denial(&entry, SLOTS, until).is_some(),
        "all slots are taken"
    );
    // The server is no longer brittle.
    let later = until + std::time::Duration::from_secs(1);
    permits.record_answer(&entry.id, &ServerDemand::default(), later, later);
    assert_eq!(permits.room_denial(&entry, SLOTS, later), None);
}
