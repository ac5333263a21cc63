//! A cold server that every host of a fleet would choose in each step, because all others are loaded.

use std::collections::BTreeMap;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::permits::{
    ColdSettings, ColdSource, LimitSettings, SendDenial, ServerPermits,
};
use galenamast_gateway::coordination::placement::short_server_id;
use galenamast_gateway::state::{ColdReport, ColdSpec, HostPresence, ServerEntry};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Sizes of the fleets.
const FLEETS: [usize; 4] = [9, 63, 82, 295];
/// Requests per second that a cold server tolerates.
const RATES: [f64; 2] = [6.1, 8.4];
/// Time for which a server is cold.
const COLD_MS: u64 = 3_000;
/// Time within which a host learns of a change from the store.
const STORE_MS: u64 = 2_000;
/// Longest time of a request on its way to the server.
const TRANSIT_MS: u64 = 30;
/// Time between two attempts of a host.
const STEP_MS: u64 = 20;
/// Number of failure domains.
const DOMAINS: usize = 4;
/// Time from which the server is cold.
const COLD_AT_MS: u64 = 5_000;

/// Returns the most requests that the platform allows in any second.
fn bound(rate: f64) -> usize {
    (rate * 1.5 + 5.0) as usize
}

/// Returns the entry of the server, which states a cold time.
fn server(cold_ms: u64) -> ServerEntry {
    ServerEntry {
        id: "s-1".into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d-0".into(),
        version: "v1".into(),
        slots: 32,
        draining: false,
        started_ms: Some(1_000),
        cold_for: Duration::from_millis(cold_ms),
    }
}

/// Returns the presence of a host.
fn presence(number: usize) -> HostPresence {
    HostPresence {
        host: format!("host-{number}").into(),
        address: ([127, 0, 0, 1], 2).into(),
        domain: format!("d-{}", number % DOMAINS).into(),
        wire_version: 1,
    }
}

/// Returns the permits of a host that knows some hosts and the warm server.
fn permits(number: usize, known: &[usize], rate: f64) -> ServerPermits {
    let settings = ColdSettings {
        rate_factor: 1.5,
        slack: 5.0,
    };
    let mut permits = ServerPermits::new(presence(number).host, LimitSettings::default())
        .with_cold(Some(settings));
    let spec = ColdSpec {
        duration: Duration::from_millis(COLD_MS),
        rate,
    };
    permits
        .cold()
        .set_specs(BTreeMap::from([("engines".into(), spec)]));
    permits.set_hosts(known.iter().copied().map(presence).collect());
    permits.record_start(&server(0).id, server(0).started_ms);
    permits.cold().record_entry(&server(0), true, at(0));
    permits
}

/// Returns a point in time.
fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// What a fleet meets.
#[derive(Clone, Copy, Debug)]
struct Conditions {
    hosts: usize,
    rate: f64,
    report_loss: f64,
    /// Whether the hosts ask and heed their permits.
    protects: bool,
    /// Whether the store tells that the server is cold.
    store_tells: bool,
    /// Time for which the server accepts no connections before it is cold.
    down_ms: u64,
    /// Whether a sixth of the hosts is missing in the lists of the others.
    lists_differ: bool,
    /// Whether a tenth of the hosts is replaced, and another tenth frozen, when the server turns cold.
    hosts_fail: bool,
}

impl Conditions {
    fn new(hosts: usize, rate: f64) -> Self {
        Self {
            hosts,
            rate,
            report_loss: 0.05,
            protects: true,
            store_tells: true,
            down_ms: 0,
            lists_differ: false,
            hosts_fail: false,
        }
    }
}

/// What became of the server.
#[derive(Clone, Copy, Debug)]
struct DayResult {
    /// Most requests in any second while it was cold.
    most: usize,
    /// Requests in the cold time, as a part of the tolerated rate.
    used: f64,
    /// Time from the end of the cold time until nine tenths of the hosts may send.
    full_load_ms: Option<u64>,
}

/// Sends five hosts of other domains each second which servers of a host's domain are in use.
fn relay_use(
    fleet: &mut [ServerPermits],
    host: usize,
    now_ms: u64,
    report_loss: f64,
    random: &mut ChaCha8Rng,
) {
    if (now_ms + host as u64 * 53) % 1_000 >= STEP_MS {
        return;
    }
    let domain = presence(host).domain;
    let since = at(now_ms.saturating_sub(1_000));
    let used = fleet[host].cold().used_since(&domain, since);
    for _ in 0..5 {
        let other = random.random_range(0..fleet.len());
        if other % DOMAINS != host % DOMAINS && !random.random_bool(report_loss) {
            let used = used.iter().copied();
            fleet[other].cold().record_peer_use(used, at(now_ms));
        }
    }
}

/// Runs a day on which the server turns cold at `COLD_AT_MS` and all hosts choose it from then on.
fn run_day(day: Conditions) -> DayResult {
    let mut random = ChaCha8Rng::seed_from_u64(day.hosts as u64 * 31 + day.rate as u64);
    // Cold servers and crashes are reported twice.
    let is_lost_twice = |random: &mut ChaCha8Rng| {
        random.random_bool(day.report_loss) && random.random_bool(day.report_loss)
    };
    let all: Vec<usize> = (0..day.hosts).collect();
    let old: Vec<usize> = (0..day.hosts - day.hosts / 6).collect();
    let known = |number: usize| {
        if day.lists_differ && number < old.len() {
            &old
        } else {
            &all
        }
    };
    let mut fleet: Vec<ServerPermits> = all
        .iter()
        .map(|number| permits(*number, known(*number), day.rate))
        .collect();
    let lags: Vec<u64> = (0..day.hosts)
        .map(|_| random.random_range(50..STORE_MS))
        .collect();
    // Datagrams of 250 bytes with the intervals of the gossip.
    let local_ms = (day.hosts * 1_000 * 250 / DOMAINS / 13_000).max(100) as u64;
    let other_ms = (day.hosts * 3 * 1_000 * 250 / DOMAINS / 4_000).max(400) as u64;
    let cold_end = COLD_AT_MS + COLD_MS;
    let (mut arrivals, mut full_load_ms) = (Vec::new(), None);
    let mut resumed = vec![false; day.hosts];
    for now_ms in (0..cold_end + 8_000).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        let is_frozen = |host: usize| {
            day.hosts_fail && host % 10 == 3 && (2_000..COLD_AT_MS + 500).contains(&now_ms)
        };
        if day.hosts_fail && now_ms == COLD_AT_MS {
            for host in all.iter().copied().filter(|host| host % 10 == 7) {
                fleet[host] = permits(host, known(host), day.rate);
            }
        }
        for host in 0..day.hosts {
            if is_frozen(host) {
                if now_ms == 2_000 {
                    resumed[host] = fleet[host].take(&server(0), now).is_ok();
                }
                continue;
            }
            let learns = now_ms.saturating_sub(COLD_AT_MS) / STEP_MS == lags[host] / STEP_MS;
            if day.store_tells && now_ms >= COLD_AT_MS && learns {
                // The entry states the time as of its change.
                let stated = server(COLD_MS);
                fleet[host].cold().record_entry(&stated, true, now);
            }
            // Reports of cold servers and of use.
            for report in fleet[host].cold().due_reports(now) {
                for other in (0..day.hosts).filter(|other| *other != host && !is_frozen(*other)) {
                    if !is_lost_twice(&mut random) {
                        fleet[other].cold().record_report(&report, now);
                    }
                }
            }
            for (interval, is_local) in [(local_ms, true), (other_ms, false)] {
                let phase = host as u64 * 37 % interval;
                if (now_ms + phase) % interval >= STEP_MS {
                    continue;
                }
                let since = at(now_ms.saturating_sub(interval.min(1_000)));
                let used = fleet[host].cold().sent_since(since);
                for other in (0..day.hosts).filter(|other| *other != host) {
                    let is_same = other % DOMAINS == host % DOMAINS;
                    if is_same == is_local && !random.random_bool(day.report_loss) {
                        let used = used.iter().copied();
                        fleet[other].cold().record_peer_use(used, now);
                    }
                }
            }
            relay_use(&mut fleet, host, now_ms, day.report_loss, &mut random);
            let down_from = COLD_AT_MS - day.down_ms;
            // Before it is lost, a server in use gets its usual load.
            let wants = now_ms >= COLD_AT_MS || (day.down_ms > 0 && random.random_bool(0.03));
            if !wants {
                continue;
            }
            let taken = fleet[host].take(&server(0), now).is_ok();
            if day.protects && !taken {
                continue;
            }
            if (down_from..COLD_AT_MS).contains(&now_ms) {
                fleet[host].give_back(&server(0).id, now);
                fleet[host].cold().record_failure(&server(0).id, now);
                for other in (0..day.hosts).filter(|other| *other != host) {
                    if !is_lost_twice(&mut random) {
                        fleet[other].cold().record_failure(&server(0).id, now);
                    }
                }
            } else if !day.protects || fleet[host].confirm(&server(0), now, now).is_ok() {
                arrivals.push(now_ms + random.random_range(0..TRANSIT_MS));
                fleet[host].cold().record_answer(&server(0), None, now, now);
            }
        }
        if day.hosts_fail && now_ms == COLD_AT_MS + 500 {
            for host in all.iter().copied().filter(|host| resumed[*host]) {
                // A request that waited for its connection when the host was frozen.
                if fleet[host].confirm(&server(0), at(2_000), now).is_ok() {
                    arrivals.push(now_ms);
                }
            }
        }
        if now_ms >= cold_end && full_load_ms.is_none() {
            let may_send = fleet
                .iter_mut()
                .filter_map(|host| host.denial(&server(0), now).is_none().then_some(()));
            let open = may_send.count();
            if open * 10 >= day.hosts * 9 {
                full_load_ms = Some(now_ms - cold_end);
                break;
            }
        }
    }
    let is_cold = |at: &&u64| (COLD_AT_MS..cold_end).contains(*at);
    let mut times: Vec<u64> = arrivals.iter().filter(is_cold).copied().collect();
    times.sort_unstable();
    let counts = times
        .iter()
        .enumerate()
        .map(|(index, start)| times.partition_point(|at| *at < start + 1_000) - index);
    DayResult {
        most: counts.max().unwrap_or(0),
        used: times.len() as f64 / (day.rate * COLD_MS as f64 / 1_000.0),
        full_load_ms,
    }
}

/// Runs a day, prints its result and checks the bound.
fn check_bound(name: &str, day: Conditions) -> DayResult {
    let result = run_day(day);
    println!(
        "{name}: {} hosts, {} a second, {} lost: most {} of {}, used {:.2}, full load after {:?} ms",
        day.hosts,
        day.rate,
        day.report_loss,
        result.most,
        bound(day.rate),
        result.used,
        result.full_load_ms
    );
    assert!(
        result.most <= bound(day.rate),
        "{name}: {day:?}: {result:?}"
    );
    result
}

// A server that nobody used turned cold, and all hosts chose it before the store told them.
#[test]
fn idle_server_that_turns_cold_without_notice_gets_no_more_than_its_bound() {
    for hosts in FLEETS {
        for rate in RATES {
            for report_loss in [0.0, 0.05, 0.5, 1.0] {
                let day = Conditions {
                    report_loss,
                    ..Conditions::new(hosts, rate)
                };
                let result = check_bound("no notice", day);
                assert!(result.used >= 0.5, "{day:?}: {result:?}");
                // Without any report hosts cannot know that the server is in use.
                let is_known = result.full_load_ms.is_some() || report_loss == 1.0;
                assert!(is_known, "{day:?}: {result:?}");
            }
            let unprotected = run_day(Conditions {
                protects: false,
                ..Conditions::new(hosts, rate)
            });
            assert!(unprotected.most > bound(rate), "{unprotected:?}");
        }
    }
}

// A server came back while the store was unavailable.
#[test]
fn server_that_returns_while_the_store_is_unavailable_gets_no_more_than_its_bound() {
    for hosts in FLEETS {
        for rate in RATES {
            for report_loss in [0.0, 0.05, 0.5] {
                let day = Conditions {
                    report_loss,
                    store_tells: false,
                    down_ms: 1_000,
                    ..Conditions::new(hosts, rate)
                };
                check_bound("store out", day);
            }
        }
    }
}

// Hosts whose lists differ each hold a share, and frozen or replaced ones do not know what has changed.
#[test]
fn bound_holds_while_lists_differ_and_hosts_are_replaced_or_frozen() {
    for hosts in FLEETS {
        for rate in RATES {
            for (lists_differ, hosts_fail) in [(true, false), (false, true), (true, true)] {
                let day = Conditions {
                    lists_differ,
                    hosts_fail,
                    ..Conditions::new(hosts, rate)
                };
                check_bound("hosts fail", day);
            }
        }
    }
}

// The rules for suspected servers took capacity away from a healthy fleet.
#[test]
fn warm_server_that_any_host_uses_is_open_to_all() {
    let all: Vec<usize> = (0..82).collect();
    let short_id = short_server_id(&server(0).id);
    for number in all.clone() {
        let mut host = permits(number, &all, 6.1);
        for now_ms in (0..4_000).step_by(500) {
            let used = std::iter::once(short_id);
            host.cold().record_peer_use(used, at(now_ms));
        }
        for now_ms in 4_000..4_100 {
            assert_eq!(host.take(&server(0), at(now_ms)), Ok(()));
        }
        // Without further use it is suspected, and opened in steps once it is used again.
        assert!((0..20).any(|step| host.take(&server(0), at(8_000 + step)).is_err()));
    }
}

// Hosts left servers alone that other hosts used, and rejected requests of a healthy fleet.
#[test]
fn healthy_fleet_keeps_its_servers_open_and_rejects_nothing() {
    const SERVERS: usize = 140;
    const RUN_MS: u64 = 500;
    const REQUESTS_PER_SECOND: f64 = 325.0;
    let all: Vec<usize> = (0..82).collect();
    let entry = |number: usize| ServerEntry {
        id: format!("s-{number}").into(),
        domain: format!("d-{}", number % DOMAINS).into(),
        ..server(0)
    };
    let servers: Vec<ServerEntry> = (0..SERVERS).map(entry).collect();
    let mut fleet: Vec<ServerPermits> = all.iter().map(|host| permits(*host, &all, 6.1)).collect();
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut running: Vec<(u64, usize, usize)> = Vec::new();
    let (mut local, mut far_open, mut open, mut checked, mut rejected, mut sent) =
        (0, 0, 0, 0, 0, 0);
    for now_ms in (0..15_000).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        running.retain(|(end, ..)| *end > now_ms);
        for host in 0..fleet.len() {
            for (interval, is_local) in [(400, true), (3_800, false)] {
                if (now_ms + host as u64 * 37) % interval >= STEP_MS {
                    continue;
                }
                let own = running.iter().filter(|(_, by, _)| *by == host);
                let mut used: Vec<u32> = own
                    .map(|(.., at)| short_server_id(&servers[*at].id))
                    .collect();
                let since = at(now_ms.saturating_sub(interval.min(1_000)));
                used.extend(fleet[host].cold().sent_since(since));
                for other in all.iter().filter(|other| **other != host) {
                    let is_same = other % DOMAINS == host % DOMAINS;
                    if is_same == is_local && !random.random_bool(0.05) {
                        let used = used.iter().copied();
                        fleet[*other].cold().record_peer_use(used, now);
                    }
                }
            }
        }
        for host in 0..fleet.len() {
            relay_use(&mut fleet, host, now_ms, 0.05, &mut random);
        }
        if !random.random_bool(REQUESTS_PER_SECOND * STEP_MS as f64 / 1_000.0 / 7.0) {
            continue;
        }
        for _ in 0..7 {
            let host = random.random_range(0..fleet.len());
            let is_local = |number: &usize| number % DOMAINS == host % DOMAINS;
            let candidates: Vec<usize> = (0..SERVERS).filter(is_local).collect();
            let permitted: Vec<usize> = candidates
                .iter()
                .copied()
                .filter(|number| fleet[host].denial(&servers[*number], now).is_none())
                .collect();
            // The fleet has just started before.
            if now_ms >= 5_000 {
                checked += candidates.len();
                open += permitted.len();
                let is_open = |number: &usize| {
                    !is_local(number) && fleet[host].denial(&servers[*number], now).is_none()
                };
                far_open += (0..SERVERS).filter(is_open).count();
                sent += 1;
                rejected += usize::from(permitted.is_empty());
            }
            local += usize::from(permitted.is_empty());
            let choice = permitted.first().map_or(candidates[0], |_| {
                let index = random.random_range(0..permitted.len());
                permitted[index]
            });
            fleet[host].cold().grant(&servers[choice], now);
            if fleet[host].take(&servers[choice], now).is_ok()
                && fleet[host].confirm(&servers[choice], now, now).is_ok()
            {
                running.push((now_ms + RUN_MS, host, choice));
            }
        }
    }
    let open_part = open as f64 / checked as f64;
    let far_part = far_open as f64 / (sent * SERVERS - checked) as f64;
    println!(
        "healthy: {open_part:.3} open, {far_part:.3} elsewhere, {rejected} of {sent} without a server, {local} in all"
    );
    assert_eq!(rejected, 0);
    assert!(open_part >= 0.8, "{open_part}");
    // Requests may spill over to servers elsewhere.
    assert!(far_part >= 0.5, "{far_part}");
}

// A service with little load was refused by hosts that hold no share.
#[test]
fn host_without_a_share_may_use_servers_that_nobody_uses() {
    let all: Vec<usize> = (0..82).collect();
    let mut refused = 0;
    for number in all.clone() {
        let mut host = permits(number, &all, 6.1);
        if host.denial(&server(0), at(9_000)).is_none() {
            continue;
        }
        refused += 1;
        assert_eq!(
            host.denial(&server(0), at(9_000)),
            Some(SendDenial::NoShare)
        );
        assert!(host.cold().is_unused(&server(0), 0, at(9_000)));
        assert!(!host.cold().is_unused(&server(0), 32, at(9_000)), "in use");
        assert!(host.cold().may_grant(&server(0), at(9_000)));
        host.cold().grant(&server(0), at(9_000));
        assert_eq!(host.take(&server(0), at(9_000)), Ok(()));
        assert!(!host.cold().may_grant(&server(0), at(9_500)));
        assert!(host.take(&server(0), at(9_500)).is_err());
        host.cold().record_entry(&server(3_000), true, at(9_600));
        assert!(!host.cold().is_unused(&server(0), 0, at(9_700)), "cold");
    }
    assert!(refused >= 70, "few hosts hold a share");
}

// A late statement of an earlier start, or one that was read again, made a warm server cold.
#[test]
fn only_statements_of_the_same_start_count_and_later_ends_take_precedence() {
    let mut host = permits(0, &[0], 6.1);
    let is_cold =
        |host: &mut ServerPermits, now_ms| !host.cold().is_unused(&server(0), 0, at(now_ms));
    let report = |started_ms, remaining_ms| ColdReport {
        server: short_server_id(&server(0).id),
        started_ms: Some(started_ms),
        remaining_ms,
    };
    assert_eq!(
        host.cold().record_report(&report(9_000, 500), at(100)),
        None
    );
    assert!(!is_cold(&mut host, 100));
    let change = host.cold().record_report(&report(1_000, 500), at(200));
    assert_eq!(change.map(|change| change.source), Some(ColdSource::Host));
    assert_eq!(
        host.cold().record_report(&report(1_000, 100), at(300)),
        None
    );
    assert!(is_cold(&mut host, 690));
    // The entry states a later end, which a list that is read again does not renew.
    host.cold().record_entry(&server(3_000), true, at(400));
    host.cold().record_entry(&server(3_000), false, at(3_300));
    // A list of an older copy of the store does not end it.
    host.cold().record_entry(&server(0), false, at(3_310));
    assert!(is_cold(&mut host, 5_300));
    assert!(!is_cold(&mut host, 5_500));
    // An answer to a request sent before does not end a cold time, a later one does.
    let warm = Some(Duration::ZERO);
    host.cold()
        .record_entry(&server(600_000_000), true, at(6_000));
    host.cold()
        .record_answer(&server(0), warm, at(5_900), at(6_100));
    assert!(is_cold(&mut host, 500_000), "clamped to ten minutes");
    assert!(!is_cold(&mut host, 609_000), "clamped to ten minutes");
    host.cold().record_entry(&server(3_000), true, at(700_000));
    host.cold()
        .record_answer(&server(0), warm, at(700_100), at(700_200));
    assert!(!is_cold(&mut host, 703_000));
}

// Load reports of requests that were sent before a crash ended the suspicion of the server.
#[test]
fn requests_sent_before_a_crash_are_no_sign_that_the_server_runs_again() {
    let mut host = permits(0, &(1..82).collect::<Vec<_>>(), 6.1);
    let use_it = |host: &mut ServerPermits, from_ms: u64, until_ms: u64| {
        for now_ms in (from_ms..until_ms).step_by(500) {
            let used = std::iter::once(short_server_id(&server(0).id));
            host.cold().record_peer_use(used, at(now_ms));
        }
    };
    use_it(&mut host, 0, 5_000);
    assert_eq!(host.denial(&server(0), at(5_000)), None);
    host.cold().record_failure(&server(0).id, at(5_000));
    use_it(&mut host, 5_100, 11_500);
    // The first sign is that of 6.1 s; after three seconds the shares double for two.
    assert!(host.denial(&server(0), at(10_900)).is_some());
    assert_eq!(host.denial(&server(0), at(11_200)), None);
}

// Servers of a domain whose evacuation ended were sent full load at once.
#[test]
fn servers_of_a_domain_whose_evacuation_ended_are_suspected_unless_their_entries_change() {
    let mut host = permits(0, &(0..82).collect::<Vec<_>>(), 6.1);
    let use_it = |host: &mut ServerPermits, until_ms: u64| {
        for now_ms in (0..until_ms).step_by(500) {
            let used = std::iter::once(short_server_id(&server(0).id));
            host.cold().record_peer_use(used, at(now_ms));
        }
    };
    use_it(&mut host, 9_000);
    host.suspect_cold(&[server(0).id], at(5_000));
    let may_send = |host: &mut ServerPermits, now_ms: u64| {
        (0..9).all(|step| host.take(&server(0), at(now_ms + step)).is_ok())
    };
    assert!(!may_send(&mut host, 7_900));
    host.cold().record_entry(&server(0), true, at(8_000));
    assert!(may_send(&mut host, 10_000));
}

// A server that tolerates less than a request a second has a longer window. A host that was granted a
// request within it got no permit, chose the same server again, and did so without end.
#[test]
fn granted_request_gets_a_permit_whatever_the_rate() {
    for rate in [0.3, 0.9, 6.1] {
        let mut host = permits(0, &(0..82).collect::<Vec<_>>(), rate);
        host.cold().record_entry(&server(0), true, at(0));
        for now_ms in (9_000..20_000).step_by(100) {
            let now = at(now_ms);
            if host.cold().may_grant(&server(0), now) {
                host.cold().grant(&server(0), now);
                assert_eq!(host.take(&server(0), now), Ok(()), "{rate} at {now_ms}");
            }
        }
    }
}

// All hosts of a large fleet reported each cold server to all others, as the list told them at the same
// time: 357 kB a second and host at 300 hosts.
#[test]
fn few_hosts_report_a_cold_server_whatever_their_number() {
    for count in FLEETS {
        let all: Vec<usize> = (0..count).collect();
        let mut reports = 0;
        for number in all.clone() {
            let mut host = permits(number, &all, 6.1);
            for name in 0..10 {
                let cold = ServerEntry {
                    id: format!("s-{name}").into(),
                    ..server(3_000)
                };
                host.cold().record_entry(&cold, true, at(1_000));
            }
            // By then the first reports have reached all hosts.
            reports += host.cold().due_reports(at(1_000 + TRANSIT_MS)).len();
        }
        assert!((10..=120).contains(&reports), "{reports} at {count}");
    }
}

// Hosts that state no bound took part in the division.
#[test]
fn nothing_changes_without_the_bound_in_the_settings_or_the_service() {
    let mut host = ServerPermits::new("host-0".into(), LimitSettings::default());
    host.cold().record_entry(&server(3_000), true, at(0));
    host.cold().record_failure(&server(0).id, at(0));
    assert!(!host.cold().is_enabled());
    assert_eq!(host.denial(&server(0), at(10)), None);
    assert_eq!(host.cold().due_reports(at(1_000)), vec![]);
    // The list may be read before the configuration.
    let mut host = permits(0, &[0], 6.1);
    host.cold().set_specs(BTreeMap::new());
    assert_eq!(host.cold().record_entry(&server(3_000), true, at(0)), None);
    let spec = ColdSpec {
        duration: Duration::from_millis(COLD_MS),
        rate: 6.1,
    };
    host.cold()
        .set_specs(BTreeMap::from([("engines".into(), spec)]));
    let change = host.cold().record_entry(&server(3_000), false, at(10));
    assert_eq!(change.map(|change| change.source), Some(ColdSource::List));
    let mut host = permits(0, &[0], 6.1);
    let other = ServerEntry {
        service: "desk".into(),
        ..server(3_000)
    };
    assert_eq!(host.cold().record_entry(&other, true, at(0)), None);
    assert_eq!(host.denial(&other, at(10)), None);
}
