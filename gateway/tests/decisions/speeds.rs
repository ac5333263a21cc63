//! Speeds of servers, learned from few answers at each of many hosts: uneven servers with passing
//! disturbances and lost reports, servers that are alike, restarts, and reports that cannot be true.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::placement::{
    LoadEstimator, LoadSettings, PickQuery, PickSettings, PromptPrefixes, pick_server,
};
use galenamast_gateway::coordination::rollouts::AnswerPace;
use galenamast_gateway::coordination::speeds::{ServerSpeeds, SpeedReport, SpeedSettings};
use galenamast_gateway::protocol::PeerMessage;
use galenamast_gateway::state::{PromptPart, ServerEntry};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Speed of a third of the servers of customer H, and of the others.
const UNEVEN: [f64; 3] = [1.7, 0.7, 0.7];
/// Hosts and servers of the simulated fleets.
const FLEETS: [(usize, usize); 2] = [(9, 12), (59, 60)];
/// Requests per second and server: those of customer H at peak load, 95 % of what the servers serve.
const RATE: f64 = 5.0;
/// Prompt tokens that an engine reads in a second at its usual speed.
const TOKENS_PER_SECOND: f64 = 61_000.0;
/// Lengths of prompts.
const PROMPTS: [u32; 5] = [17_000, 17_000, 9_200, 9_200, 1_460];
/// Part of the datagrams that are lost.
const LOSS: f64 = 0.2;
/// Goal of the long and medium requests of customer H, in seconds.
const GOAL: f64 = 2.0;

/// Something that happens in the simulation at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Begun { request: usize },
    Paced { request: usize },
    Ended { request: usize },
    Loads { host: usize, own_domain: bool },
    Speeds { host: usize },
}

/// A request that a server runs.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    host: usize,
    server: usize,
    tokens: u32,
    work: f64,
    sent_at: u64,
    interval: f64,
}

/// Hosts before servers that read prompts one after the other and stream answers together.
struct Fleet {
    hosts: Vec<LoadEstimator>,
    servers: Vec<ServerEntry>,
    speeds: Vec<f64>,
    read_until: Vec<u64>,
    running: Vec<u32>,
    requests: Vec<RunningRequest>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    random: ChaCha8Rng,
    // Draws arrivals only, so that they are the same whatever the hosts decide.
    arrivals: ChaCha8Rng,
    // Seconds until the first byte, and the server, of requests that arrived after `measured_from`.
    answers: Vec<(f64, usize)>,
    measured_from: u64,
}

impl Fleet {
    fn new(hosts: usize, speeds: Vec<f64>, settings: SpeedSettings, seed: u64) -> Self {
        let settings = LoadSettings {
            speeds: settings,
            ..LoadSettings::default()
        };
        let servers: Vec<ServerEntry> = (0..speeds.len()).map(entry).collect();
        let mut estimator = LoadEstimator::new(settings);
        for server in &servers {
            let speeds = estimator.speeds_mut();
            speeds.record_start(&server.id, &server.service, server.started_ms);
        }
        let mut events = BinaryHeap::new();
        events.push(Reverse((0, Event::Arrival)));
        for host in 0..hosts {
            let offset = host as u64 * 7_919;
            events.push(Reverse((1_000_000 + offset, Event::Speeds { host })));
            for own_domain in [true, false] {
                events.push(Reverse((offset, Event::Loads { host, own_domain })));
            }
        }
        Self {
            hosts: vec![estimator; hosts],
            read_until: vec![0; servers.len()],
            running: vec![0; servers.len()],
            servers,
            speeds,
            requests: Vec::new(),
            events,
            random: ChaCha8Rng::seed_from_u64(seed),
            arrivals: ChaCha8Rng::seed_from_u64(seed + 1_000),
            answers: Vec::new(),
            measured_from: 0,
        }
    }

    /// Returns how many times longer a server takes at a time: its speed, and 600 ms in each 4 s 2.5
    /// times that.
    fn slowness(&self, server: usize, at: u64) -> f64 {
        let mut random = ChaCha8Rng::seed_from_u64(at / 4_000_000 * 1_000 + server as u64);
        let begins = random.random_range(0..3_400_000);
        let is_disturbed = (begins..begins + 600_000).contains(&(at % 4_000_000));
        self.speeds[server] * if is_disturbed { 2.5 } else { 1.0 }
    }

    /// Runs the simulation until a second.
    fn run_until(&mut self, second: u64) {
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at >= second * 1_000_000 {
                self.events.push(Reverse((at, event)));
                return;
            }
            self.apply(event, at);
        }
    }

    fn apply(&mut self, event: Event, at: u64) {
        let now = TimePoint::from_micros(at);
        match event {
            Event::Arrival => self.arrive(at),
            Event::Begun { request } => {
                let RunningRequest {
                    host,
                    server,
                    tokens,
                    work,
                    sent_at,
                    ..
                } = self.requests[request];
                let id = &self.servers[server].id;
                self.hosts[host].record_begun(id, work);
                let took = Duration::from_micros(at - sent_at);
                let size = 32 - (tokens >> 10).leading_zeros() as u8;
                self.hosts[host].record_first_byte(id, &"medium".into(), size, tokens, took);
                if sent_at >= self.measured_from {
                    self.answers.push((took.as_secs_f64(), server));
                }
                let scatter = 1.3_f64.powf(self.random.random_range(-1.0..1.0));
                let load = f64::from(self.running[server]);
                let interval = (0.010 + 0.0015 * load) * self.slowness(server, at) * scatter;
                self.requests[request].interval = interval;
                let micros = |events: f64| (events * interval * 1e6) as u64;
                self.push(at + micros(8.0), Event::Paced { request });
                self.push(at + micros(40.0), Event::Ended { request });
            }
            Event::Paced { request } => {
                let running = self.requests[request];
                let id = &self.servers[running.server].id;
                let host = &mut self.hosts[running.host];
                let pace = AnswerPace {
                    seconds: running.interval,
                    load: host.in_flight(id, now),
                };
                let speeds = host.speeds_mut();
                speeds.record(id, &"medium".into(), pace, now);
            }
            Event::Ended { request } => {
                let running = self.requests[request];
                self.running[running.server] -= 1;
                let id = &self.servers[running.server].id;
                self.hosts[running.host].record_ended(id);
            }
            Event::Loads { host, own_domain } => {
                let loads = self.hosts[host].local_loads();
                for other in 0..self.hosts.len() {
                    let is_addressed = other != host && (other % 4 == host % 4) == own_domain;
                    if is_addressed && !self.random.random_bool(LOSS) {
                        self.hosts[other].record_remote(address(host), &loads, now);
                    }
                }
                let interval = if own_domain { 200_000 } else { 800_000 };
                self.push(at + interval, event);
            }
            Event::Speeds { host } => {
                self.hosts[host].refresh_speeds(now);
                let others = self.hosts.len() - 1;
                let reports = self.hosts[host].speeds_mut().reports(others, now);
                let peer = (host + self.random.random_range(1..=others)) % self.hosts.len();
                if !self.random.random_bool(LOSS) {
                    for report in reports {
                        let speeds = self.hosts[peer].speeds_mut();
                        assert!(speeds.record_report(address(host), &report, now));
                    }
                }
                self.push(at + 1_000_000, event);
            }
        }
    }

    fn arrive(&mut self, at: u64) {
        let now = TimePoint::from_micros(at);
        let request = self.requests.len();
        let host = self.arrivals.random_range(0..self.hosts.len());
        let tokens = PROMPTS[self.arrivals.random_range(0..PROMPTS.len())];
        // Hardly anything is shared between prompts.
        let parts = [1, tokens - 1].map(|tokens| PromptPart {
            digest: request as u64,
            tokens,
        });
        let prompt = PromptPrefixes::new("medium", &parts);
        let work = self.hosts[host].work(&"medium".into(), tokens);
        let query = PickQuery {
            domain: &entry(host).domain,
            prompt: Some(&prompt),
            prompt_tokens: tokens,
            bytes: 6_000.0,
            work,
            tie_breaker: self.random.random(),
            ..PickQuery::default()
        };
        let serving: Vec<&ServerEntry> = self.servers.iter().collect();
        let settings = PickSettings::default();
        let pick = pick_server(&serving, &query, &self.hosts[host], &settings, now);
        let pick = pick.expect("servers are listed");
        let server = self
            .servers
            .iter()
            .position(|entry| entry.id == pick.server.id);
        let server = server.expect("the server is listed");
        self.hosts[host].record_sent(&pick.server.id, pick.work);
        self.running[server] += 1;
        let begins = self.read_until[server].max(at);
        let read = f64::from(tokens) / TOKENS_PER_SECOND * self.slowness(server, begins);
        self.read_until[server] = begins + (read * 1e6) as u64;
        self.requests.push(RunningRequest {
            host,
            server,
            tokens,
            work: pick.work,
            sent_at: at,
            interval: 0.0,
        });
        self.push(self.read_until[server], Event::Begun { request });
        let pause = -self.arrivals.random::<f64>().ln() / (RATE * self.servers.len() as f64);
        self.push(at + (pause * 1e6) as u64 + 1, Event::Arrival);
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    /// Returns the part of all factors at all hosts that are within `tolerance` of the truth.
    fn right_part(&self, truth: &[f64], tolerance: f64) -> f64 {
        let mut right = 0;
        for host in &self.hosts {
            for (server, truth) in self.servers.iter().zip(truth) {
                let factor = host.speeds().factor(&server.id);
                right += usize::from((factor / truth - 1.0).abs() <= tolerance);
            }
        }
        right as f64 / (self.hosts.len() * self.servers.len()) as f64
    }
}

/// Returns a server of one of four failure domains.
fn entry(number: usize) -> ServerEntry {
    ServerEntry {
        id: format!("i-{number}").into(),
        service: "engines".into(),
        address: address(number),
        domain: format!("domain-{}", number % 4).into(),
        version: "v1".into(),
        slots: 64,
        draining: false,
        started_ms: Some(1_000),
        cold_for: Duration::ZERO,
    }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16))
}

/// What a simulated fleet measured.
struct FleetResult {
    // Seconds until half, three quarters and nine tenths of the factors were right, if they were.
    right_after: [Option<u64>; 3],
    // Part of the requests that the fast servers got.
    fast_part: f64,
    // Seconds to the first byte at the 95th and 99th percentile.
    percentiles: [f64; 2],
    late_part: f64,
}

/// Replays a minute of uneven servers under peak load; requests count from 20 s.
fn replay_uneven(hosts: usize, servers: usize, settings: SpeedSettings, seed: u64) -> FleetResult {
    let speeds: Vec<f64> = (0..servers).map(|number| UNEVEN[number % 3]).collect();
    let mut fleet = Fleet::new(hosts, speeds.clone(), settings, seed);
    fleet.measured_from = 20_000_000;
    let mut right_after = [None; 3];
    for second in 1..=60 {
        fleet.run_until(second);
        let part = fleet.right_part(&speeds, 0.15);
        for (after, bound) in right_after.iter_mut().zip([0.5, 0.75, 0.9]) {
            *after = after.or((part >= bound).then_some(second));
        }
    }
    let mut times: Vec<f64> = fleet.answers.iter().map(|(took, _)| *took).collect();
    times.sort_by(f64::total_cmp);
    let count = times.len() as f64;
    let answers = fleet.answers.iter();
    let fast = answers.filter(|(_, server)| speeds[*server] < 1.0).count();
    FleetResult {
        right_after,
        fast_part: fast as f64 / count,
        percentiles: [0.95, 0.99].map(|part| times[(count * part) as usize]),
        late_part: times.iter().filter(|took| **took > GOAL).count() as f64 / count,
    }
}

/// Without the component no factor is right, and a host of a large fleet, which sees a sixtieth of the
/// answers, makes more requests late.
#[test]
fn uneven_servers_are_learned_within_a_minute_and_fewer_requests_are_late() {
    for (hosts, servers) in FLEETS {
        let mut late = [0.0; 2];
        for seed in 1..=2 {
            for (is_on, settings) in [SpeedSettings::disabled(), SpeedSettings::default()]
                .into_iter()
                .enumerate()
            {
                let result = replay_uneven(hosts, servers, settings, seed);
                println!(
                    "{hosts} hosts, seed {seed}, on {is_on}: right after {:?} s, fast {:.3}, p95 and p99 {:.3?} s, late {:.2} %",
                    result.right_after,
                    result.fast_part,
                    result.percentiles,
                    result.late_part * 100.0
                );
                late[is_on] += result.late_part / 2.0;
                let is_learned = result.right_after[2].is_some();
                assert_eq!(is_learned, is_on == 1, "{hosts} hosts, seed {seed}");
                assert!(result.fast_part > 2.0 / 3.0, "{}", result.fast_part);
            }
        }
        // At 9 hosts each host sees enough answers by itself, so there is nothing to gain.
        if hosts == 59 {
            assert!(late[1] < late[0] * 0.75, "{late:?}");
        }
    }
}

/// Deployments with even servers are placed as before.
#[test]
fn servers_that_are_alike_keep_the_factor_one() {
    for (hosts, servers) in FLEETS {
        for seed in 1..=4 {
            let speeds = vec![0.87; servers];
            let mut fleet = Fleet::new(hosts, speeds, SpeedSettings::default(), seed);
            for second in 1..=60 {
                fleet.run_until(second);
                let part = fleet.right_part(&vec![1.0; servers], 0.1);
                assert!(
                    part >= 1.0,
                    "{hosts} hosts, seed {seed}, {second} s: {part}"
                );
            }
        }
    }
}

/// A server returns with another speed, and half of the hosts learn of it 5 s late; their reports of
/// the start before must not be believed.
#[test]
fn restarted_server_is_learned_anew() {
    let (hosts, servers) = FLEETS[0];
    let mut speeds: Vec<f64> = (0..servers).map(|number| UNEVEN[number % 3]).collect();
    let mut fleet = Fleet::new(hosts, speeds.clone(), SpeedSettings::default(), 1);
    fleet.run_until(40);
    let server = fleet.servers[0].clone();
    assert!(fleet.hosts[0].speeds().factor(&server.id) > 1.4);
    speeds[0] = 0.7;
    fleet.speeds.clone_from(&speeds);
    let restart = |estimator: &mut LoadEstimator| {
        estimator.reset(&server.id);
        let speeds = estimator.speeds_mut();
        speeds.record_start(&server.id, &server.service, Some(40_000));
    };
    fleet.hosts[..5].iter_mut().for_each(restart);
    for second in 41..=45 {
        fleet.run_until(second);
        let factor = fleet.hosts[0].speeds().factor(&server.id);
        assert!(factor < 1.15, "{second} s: {factor}");
    }
    fleet.hosts[5..].iter_mut().for_each(restart);
    fleet.run_until(100);
    // Relative to the mean of the logarithms, which the restart has moved by 7 %.
    let mean = speeds.iter().map(|speed| speed.ln()).sum::<f64>() / servers as f64;
    let truth: Vec<f64> = speeds.iter().map(|speed| speed / mean.exp()).collect();
    let part = fleet.right_part(&truth, 0.15);
    assert!(part >= 0.9, "{part}");
}

/// Returns speeds of servers of which this host has no samples.
fn listed(servers: usize) -> ServerSpeeds {
    let mut speeds = ServerSpeeds::new(SpeedSettings::default());
    for number in 0..servers {
        let server = entry(number);
        speeds.record_start(&server.id, &server.service, server.started_ms);
    }
    speeds
}

/// Returns the report of a host that has samples of one server of two, which is slower than the other by
/// `ratio`.
fn report_of_slow(ratio: f64) -> (ServerSpeeds, Vec<SpeedReport>) {
    let mut other = listed(2);
    for number in 0..32_u64 {
        let seconds = if number % 2 == 0 { 0.01 * ratio } else { 0.01 };
        let pace = AnswerPace { seconds, load: 1 };
        let now = TimePoint::from_millis(1_000 + number * 750);
        other.record(&entry(number as usize % 2).id, &"medium".into(), pace, now);
    }
    let now = TimePoint::from_millis(25_000);
    other.refresh(now);
    let reports = other.reports(1, now);
    (other, reports)
}

/// One host that sends nonsense must not move placement at the others.
#[test]
fn reports_with_nonsense_are_ignored() {
    let (known, reports) = report_of_slow(4.0);
    assert!((known.factor("i-0") - 2.0).abs() < 0.1);
    let mut speeds = listed(2);
    let at = |second: u64| TimePoint::from_millis(1_000 * second);
    let refresh = |speeds: &mut ServerSpeeds| {
        (1..30).for_each(|second| drop(speeds.refresh(at(second))));
        [speeds.factor("i-0"), speeds.factor("i-1")]
    };
    let implausible = [i16::MIN, -231, 231, i16::MAX].map(|log_ratio| SpeedReport {
        log_ratio,
        ..reports[0]
    });
    let unsampled = SpeedReport {
        samples: 0,
        ..reports[0]
    };
    for report in implausible.into_iter().chain([unsampled]) {
        assert!(!speeds.record_report(address(1), &report, at(1)));
    }
    for report in &reports {
        let start = report.start.wrapping_add(1);
        let (earlier, unknown) = (
            SpeedReport { start, ..*report },
            SpeedReport {
                server: 1,
                ..*report
            },
        );
        assert!(speeds.record_report(address(1), &earlier, at(1)));
        assert!(speeds.record_report(address(1), &unknown, at(1)));
    }
    assert_eq!(refresh(&mut speeds), [1.0, 1.0]);
    // One host that claims 255 samples, against sixteen that agree.
    let forged = SpeedReport {
        samples: u8::MAX,
        log_ratio: 230,
        ..reports[0]
    };
    speeds.record_report(address(1), &forged, at(1));
    for host in 2..18 {
        for report in &reports {
            assert!(speeds.record_report(address(host), report, at(1)));
        }
    }
    let factors = refresh(&mut speeds);
    assert!((factors[0] / factors[1] - 4.0).abs() < 0.2, "{factors:?}");
    // Late and repeated reports replace the host's earlier one.
    (0..50).for_each(|_| assert!(speeds.record_report(address(1), &forged, at(30))));
    assert_eq!(refresh(&mut speeds), factors);
    for number in 0..50 {
        let pace = AnswerPace {
            seconds: [f64::NAN, f64::INFINITY, -1.0, 0.0, 0.01][number % 5],
            load: u32::MAX,
        };
        let server = entry(0).id;
        speeds.record(&server, &"medium".into(), pace, at(30 + 2 * number as u64));
    }
    speeds.refresh(at(130));
    let reports = speeds.reports(5, at(130));
    assert!(reports.is_empty(), "no such pace is a sample");
}

/// With fewer than 5 samples, or less than 3 s of them, a disturbance could pass for a speed.
#[test]
fn few_samples_have_no_effect() {
    let (_, reports) = report_of_slow(4.0);
    let at = |millis: u64| TimePoint::from_millis(millis);
    for (samples, refreshed_at) in [(2, 60_000), (4, 3_900)] {
        let mut speeds = listed(2);
        for report in &reports {
            let report = SpeedReport { samples, ..*report };
            for host in 1..=2 {
                assert!(speeds.record_report(address(host), &report, at(1_000)));
            }
        }
        speeds.refresh(at(refreshed_at));
        assert_eq!(speeds.factor("i-0"), 1.0, "{samples} samples");
    }
}

/// The datagrams of a host stay within 500 bytes a second, and values that do not change are not sent.
#[test]
fn reports_are_bounded_and_end() {
    let mut speeds = listed(240);
    for number in 0..4_800_usize {
        let server = entry(number % 240);
        let seconds = if number % 2 == 0 { 0.01 } else { 0.05 };
        let now = TimePoint::from_millis(1_000 + number as u64 * 6);
        speeds.record(
            &server.id,
            &"medium".into(),
            AnswerPace { seconds, load: 1 },
            now,
        );
    }
    // The paces are compared with the typical ones, and these with the speeds found, until both fit.
    (0..20).for_each(|_| drop(speeds.refresh(TimePoint::from_millis(30_000))));
    let mut sent = 0;
    for second in 0..40 {
        let now = TimePoint::from_millis(30_000 + second * 1_000);
        speeds.refresh(now);
        let reports = speeds.reports(5, now);
        assert!(second < 30 || reports.is_empty(), "{second} s");
        sent += reports.len();
        let message = PeerMessage::Speeds(reports)
            .encode()
            .expect("it is encoded");
        assert!(message.len() + 28 <= 500, "{}", message.len());
    }
    assert_eq!(
        sent,
        240 * 5,
        "each value goes to as many hosts as there are"
    );
}

/// A lasting slow-down by 4 shows in as many answers as without the component.
#[test]
fn sudden_slow_down_is_detected_as_fast_as_without_factors() {
    let class: Arc<str> = "medium".into();
    let answers_until_noticed = |knows_factor: bool| {
        let mut estimator = LoadEstimator::new(LoadSettings::default());
        let slow = if knows_factor { 4.0 } else { 1.0 };
        for number in 0..100_u64 {
            let server = entry(number as usize % 2);
            if number < 2 {
                let speeds = estimator.speeds_mut();
                speeds.record_start(&server.id, &server.service, server.started_ms);
            }
            let seconds = if number % 2 == 0 { 0.1 * slow } else { 0.1 };
            let now = TimePoint::from_millis(1_000 + number * 800);
            let pace = AnswerPace { seconds, load: 1 };
            estimator.speeds_mut().record(&server.id, &class, pace, now);
            estimator.refresh_speeds(now);
            let took = Duration::from_secs_f64(seconds);
            estimator.record_first_byte(&server.id, &class, 1, 1_000, took);
        }
        assert_eq!(estimator.speeds().factor("i-0") != 1.0, knows_factor);
        let cost = |estimator: &LoadEstimator| {
            estimator.cost(&entry(0).id, 0.1, 1.0, TimePoint::from_millis(90_000))
        };
        let before = cost(&estimator);
        let noticed = (1..20).find(|_| {
            let took = Duration::from_secs_f64(0.1 * slow * 4.0);
            estimator.record_first_byte(&entry(0).id, &class, 1, 1_000, took);
            cost(&estimator) > before * 2.0
        });
        noticed.expect("the slow-down is noticed")
    };
    assert_eq!(answers_until_noticed(true), answers_until_noticed(false));
}
