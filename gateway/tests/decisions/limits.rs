//! Limits that servers name, under demand far beyond them at every host of a fleet.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::permits::{
    DemandChange, HostShare, LimitSettings, SendDenial, ServerPermits, plan_shares,
};
use galenamast_gateway::state::{DemandReport, HostPresence, ServerDemand, ServerEntry};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Sizes of the fleets.
const FLEETS: [usize; 3] = [9, 63, 295];
/// Limits in requests per second.
const RATES: [f64; 4] = [0.3, 1.0, 1.1, 6.0];
/// Length of the windows in which the platform counts requests.
const WINDOW_MS: u64 = 4_000;
/// Time after a limit is named from which it binds.
const NOTICE_MS: u64 = 3_000;
/// Time after a host passed on an answer with a limit from which its requests count.
const TOLD_MS: u64 = 500;
/// Time from a request to the head of its answer.
const ANSWER_MS: u64 = 40;

/// Returns the number of requests that the platform tolerates in a window.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

/// Returns the entry of a limited server in the domain `d-0`.
fn server() -> ServerEntry {
    ServerEntry {
        id: "s-1".into(),
        service: "engines".into(),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        domain: "d-0".into(),
        version: "v1".into(),
        slots: 24,
        draining: false,
        started_ms: Some(1_000),
        cold_for: Duration::ZERO,
    }
}

/// Returns the presence of a host, one of six failure domains'.
fn presence(number: usize) -> HostPresence {
    HostPresence {
        host: format!("host-{number}").into(),
        address: "127.0.0.1:2".parse().expect("the address is valid"),
        domain: format!("d-{}", number % 6).into(),
        wire_version: 1,
    }
}

/// Returns what a server states that names a limit, or none.
fn demand(limit: Option<f64>) -> ServerDemand {
    ServerDemand {
        limit,
        ..ServerDemand::default()
    }
}

/// Returns the permits of a host that knows the hosts with the given numbers.
fn permits(number: usize, known: &[usize]) -> ServerPermits {
    let mut permits = ServerPermits::new(presence(number).host, LimitSettings::default());
    permits.set_hosts(known.iter().copied().map(presence).collect());
    permits.record_start(&server().id, server().started_ms);
    permits
}

/// A fleet in virtual time; each host wants to send a request in every step.
struct SimulatedFleet {
    hosts: Vec<ServerPermits>,
    told_at: Vec<Option<u64>>,
    /// Requests without an answer: host and time of sending.
    open: VecDeque<(usize, u64)>,
    /// Requests that reached the server: time, and whether the platform counts them.
    arrivals: Vec<(u64, bool)>,
    rate: Option<f64>,
    report_loss: f64,
    random: ChaCha8Rng,
}

impl SimulatedFleet {
    fn new(hosts: usize, rate: f64, report_loss: f64) -> Self {
        let numbers: Vec<usize> = (0..hosts).collect();
        Self {
            hosts: numbers
                .iter()
                .map(|host| permits(*host, &numbers))
                .collect(),
            told_at: vec![None; hosts],
            open: VecDeque::new(),
            arrivals: Vec::new(),
            rate: Some(rate),
            report_loss,
            random: ChaCha8Rng::seed_from_u64(5),
        }
    }

    /// Delivers the answers that are due, and the reports that follow from them.
    fn deliver(&mut self, now_ms: u64) {
        let now = TimePoint::from_millis(now_ms);
        while let Some((host, sent_ms)) = self.open.pop_front() {
            if sent_ms + ANSWER_MS > now_ms {
                self.open.push_front((host, sent_ms));
                return;
            }
            let sent_at = TimePoint::from_millis(sent_ms);
            let stated = demand(self.rate);
            let changes = self.hosts[host].record_answer(&server().id, &stated, sent_at, now);
            if self.rate.is_some() {
                self.told_at[host].get_or_insert(now_ms);
            }
            if !changes.is_empty() {
                self.report(host, now);
            }
        }
    }

    /// Sends the reports of a host that are due to the others; some are lost.
    fn report(&mut self, host: usize, now: TimePoint) {
        for report in self.hosts[host].due_reports(now) {
            for other in (0..self.hosts.len()).filter(|other| *other != host) {
                if !self.random.random_bool(self.report_loss) {
                    self.hosts[other].record_report(&report, now);
                }
            }
        }
    }

    /// Lets every host send as much as it may from `from_ms` to `until_ms`.
    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(20) {
            self.deliver(now_ms);
            let now = TimePoint::from_millis(now_ms);
            for host in 0..self.hosts.len() {
                if now_ms % 100 == 0 {
                    self.report(host, now);
                }
                if self.hosts[host].take(&server(), now).is_ok() {
                    let is_counted = self.told_at[host].is_some_and(|at| at + TOLD_MS <= now_ms);
                    self.arrivals.push((now_ms, is_counted));
                    self.open.push_back((host, now_ms));
                }
            }
        }
    }

    /// Returns the most counted requests in a window that begins at `since_ms` or later.
    fn most_in_window(&self, since_ms: u64) -> usize {
        let counted = self.arrivals.iter().filter(|(_, is_counted)| *is_counted);
        let times: Vec<u64> = counted.map(|(at, _)| *at).collect();
        let starts = times.iter().enumerate().filter(|(_, at)| **at >= since_ms);
        let counts = starts.map(|(index, start)| {
            let rest = times[index..].iter();
            rest.take_while(|at| **at <= start + WINDOW_MS).count()
        });
        counts.max().unwrap_or(0)
    }

    /// Replaces the process of a host; it knows the listed hosts but no demands.
    fn restart(&mut self, host: usize, known: &[usize]) {
        self.hosts[host] = permits(host, known);
        self.told_at[host] = None;
    }
}

// All hosts together exceeded a limit that each host took for its own.
#[test]
fn limit_holds_for_all_hosts_together() {
    for hosts in FLEETS {
        for rate in RATES {
            for report_loss in [0.0, 0.5, 1.0] {
                let mut fleet = SimulatedFleet::new(hosts, rate, report_loss);
                fleet.run(0, 40_000);
                let most = fleet.most_in_window(NOTICE_MS);
                let case = format!("{hosts} hosts, {rate} a second, {report_loss} lost");
                assert!(most <= allowed(rate), "{case}: {most}");
                let named = rate * 40.0;
                let sent = fleet.arrivals.iter().filter(|(at, _)| *at >= NOTICE_MS);
                assert!(sent.count() as f64 >= 0.5 * named, "{case}: left out");
            }
        }
    }
}

#[test]
fn a_limit_that_each_host_applies_alone_is_exceeded() {
    let mut fleet = SimulatedFleet::new(9, 1.0, 0.0);
    for (number, host) in fleet.hosts.iter_mut().enumerate() {
        host.set_hosts(vec![presence(number)]);
    }
    fleet.run(0, 20_000);
    assert!(fleet.most_in_window(NOTICE_MS) > allowed(1.0));
}

#[test]
fn limit_holds_while_a_sixth_of_the_hosts_starts_and_lists_differ() {
    for hosts in FLEETS {
        for rate in RATES {
            let mut fleet = SimulatedFleet::new(hosts, rate, 0.05);
            let old: Vec<usize> = (0..hosts - hosts / 6).collect();
            let all: Vec<usize> = (0..hosts).collect();
            for host in &old {
                let listed = old.iter().copied().map(presence).collect();
                fleet.hosts[*host].set_hosts(listed);
            }
            // The hosts that start know the whole list; the others read it ten seconds later.
            fleet.run(0, 10_000);
            for host in &old {
                let listed = all.iter().copied().map(presence).collect();
                fleet.hosts[*host].set_hosts(listed);
            }
            fleet.run(10_000, 30_000);
            let most = fleet.most_in_window(NOTICE_MS);
            assert!(
                most <= allowed(rate),
                "{hosts} hosts, {rate} a second: {most}"
            );
        }
    }
}

#[test]
fn limit_holds_while_hosts_restart_in_turn() {
    for hosts in FLEETS {
        let mut fleet = SimulatedFleet::new(hosts, 1.0, 0.05);
        let all: Vec<usize> = (0..hosts).collect();
        for second in 0..30 {
            fleet.restart(second % hosts, &all);
            let from_ms = second as u64 * 1_000;
            fleet.run(from_ms, from_ms + 1_000);
        }
        let most = fleet.most_in_window(NOTICE_MS);
        assert!(most <= allowed(1.0), "{hosts} hosts: {most}");
    }
}

#[test]
fn hosts_that_were_idle_have_saved_up_nothing() {
    for hosts in FLEETS {
        let mut fleet = SimulatedFleet::new(hosts, 1.0, 0.0);
        fleet.run(0, 2_000);
        fleet.run(600_000, 610_000);
        let most = fleet.most_in_window(NOTICE_MS);
        assert!(most <= allowed(1.0), "{hosts} hosts: {most}");
    }
}

#[test]
fn lower_limit_holds_at_once_and_its_end_reaches_all_hosts() {
    for hosts in FLEETS {
        let mut fleet = SimulatedFleet::new(hosts, 6.0, 0.05);
        fleet.run(0, 10_000);
        fleet.rate = Some(1.0);
        fleet.run(10_000, 20_000);
        let most = fleet.most_in_window(10_000 + WINDOW_MS);
        assert!(most <= allowed(1.0), "{hosts} hosts: {most}");
        fleet.rate = None;
        fleet.run(20_000, 30_000);
        let is_free = |host: &ServerPermits| host.limit(&server().id).is_none();
        assert!(fleet.hosts.iter().all(is_free), "{hosts} hosts");
    }
}

#[test]
fn host_that_missed_the_end_of_a_limit_learns_of_it() {
    let all: Vec<usize> = (0..9).collect();
    for number in all.clone() {
        let mut host = permits(number, &all);
        host.record_answer(
            &server().id,
            &demand(Some(1.0)),
            TimePoint::ZERO,
            TimePoint::ZERO,
        );
        let mut sent = None;
        for now_ms in (5_000..120_000).step_by(100) {
            let now = TimePoint::from_millis(now_ms);
            if host.take(&server(), now).is_ok() {
                sent = Some(now);
                break;
            }
        }
        let sent = sent.expect("each host may send at some time");
        let changes = host.record_answer(&server().id, &demand(None), sent, sent);
        assert_eq!(
            changes,
            vec![DemandChange::Limit {
                from: Some(1.0),
                to: None
            }]
        );
        assert_eq!(host.limit(&server().id), None);
    }
}

#[test]
fn only_later_statements_of_the_same_start_change_a_limit() {
    let mut host = permits(0, &[0]);
    let at = TimePoint::from_millis;
    let id = server().id;
    host.record_answer(&id, &demand(Some(2.0)), at(100), at(200));
    assert_eq!(
        host.record_answer(&id, &demand(None), at(150), at(300)),
        vec![]
    );
    let unreadable = ServerDemand {
        malformed: true,
        ..ServerDemand::default()
    };
    assert_eq!(
        host.record_answer(&id, &unreadable, at(400), at(500)),
        vec![]
    );
    let mut report = DemandReport {
        server: id.clone(),
        started_ms: server().started_ms,
        limit: None,
        leaving: false,
        age_ms: 400,
        brittle: None,
        full: false,
    };
    assert_eq!(host.record_report(&report, at(500)), None);
    for limit in [f64::NAN, f64::INFINITY, -1.0] {
        report = DemandReport {
            limit: Some(limit),
            age_ms: 0,
            ..report
        };
        assert_eq!(host.record_report(&report, at(600)), None);
    }
    report.server = "unknown".into();
    report.limit = Some(1.0);
    assert_eq!(host.record_report(&report, at(600)), None);
    report.server = id.clone();
    report.started_ms = Some(9_000);
    assert_eq!(host.record_report(&report, at(600)), None);
    host.record_removal(&id, at(700));
    host.record_start(&id, server().started_ms);
    assert_eq!(host.limit(&id), Some(2.0));
    host.record_start(&id, Some(9_000));
    assert_eq!(host.limit(&id), None);
}

#[test]
fn permits_that_were_not_used_are_given_back() {
    let mut host = permits(0, &[0]);
    let at = TimePoint::from_millis;
    let id = server().id;
    host.record_answer(&id, &demand(Some(0.25)), at(0), at(0));
    assert!(host.take(&server(), at(10)).is_ok());
    assert!(matches!(
        host.denial(&server(), at(20)),
        Some(SendDenial::ShareUsed { .. })
    ));
    host.give_back(&id, at(10));
    assert!(host.take(&server(), at(30)).is_ok());
    // The share counts from when the request is written.
    assert!(host.confirm(&server(), at(30), at(400)).is_ok());
    assert!(host.take(&server(), at(4_400)).is_err());
    assert!(host.take(&server(), at(4_600)).is_ok());
}

#[test]
fn limit_named_after_a_server_was_chosen_counts_before_the_request_is_written() {
    let all: Vec<usize> = (0..295).collect();
    let mut host = permits(0, &all);
    let at = TimePoint::from_millis;
    assert!(host.take(&server(), at(10)).is_ok());
    host.record_answer(&server().id, &demand(Some(0.25)), at(5), at(20));
    let is_holder = matches!(host.share(&server()), Some(HostShare::Held { .. }));
    assert!(!is_holder);
    assert!(host.confirm(&server(), at(10), at(30)).is_err());
}

#[test]
fn hosts_of_the_servers_domain_hold_the_shares_first() {
    let all: Vec<usize> = (0..295).collect();
    for number in all.clone() {
        let mut host = permits(number, &all);
        host.record_answer(
            &server().id,
            &demand(Some(1.0)),
            TimePoint::ZERO,
            TimePoint::ZERO,
        );
        if matches!(host.share(&server()), Some(HostShare::Held { .. })) {
            let domain: Arc<str> = presence(number).domain;
            assert_eq!(domain, server().domain);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(13), ..ProptestConfig::default() })]
    #[test]
    fn shares_stay_within_the_limit_in_every_window(rate in 0.0f64..500.0, hosts in 0usize..400) {
        let settings = LimitSettings::default();
        let plan = plan_shares(rate, hosts, &settings);
        let window = settings.window.as_secs_f64();
        let budget = (rate.max(settings.min_rate) * window).max(1.0);
        prop_assert!((plan.holders * plan.requests) as f64 <= budget);
        prop_assert!(plan.holders <= hosts.max(1));
        prop_assert!(plan.window > Duration::from_secs(4));
        let with_strangers = (plan.holders + plan.holders / 2) * plan.requests;
        prop_assert!(with_strangers as f64 <= 1.5 * rate * window + 5.0);
        let huge = plan_shares(f64::MAX, hosts, &settings);
        prop_assert_eq!(huge.holders, hosts.max(1));
    }
}
