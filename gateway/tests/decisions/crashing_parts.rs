//! Prompt parts that crash every server that begins to answer them, before the hosts of a fleet.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::crashes::{CrashQuarantine, CrashRefusal, CrashSettings};
use galenamast_gateway::state::{CrashReport, CrashSuspect, PartReport, PromptPart};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Sizes of the fleets.
const FLEETS: [usize; 3] = [9, 63, 295];
/// Step of the simulated time.
const STEP_MS: u64 = 10;
/// Time from sending a request to the crash or the first events.
const ANSWER_MS: u64 = 400;
/// Time from a message to its arrival at the other hosts.
const DATAGRAM_MS: u64 = 10;
/// Interval at which hosts report what they refuse, to a few others.
const REFUSAL_REPORT_MS: u64 = 1_000;
/// Number of hosts that get such a report.
const REFUSAL_RECIPIENTS: usize = 3;
/// Time after the fifth crash from which the bound holds.
const CONTACT_MS: u64 = 3_000;
/// Requests with the part that may reach servers from then on.
const ALLOWED: usize = 3;
/// Length of a simulated day.
const DAY_MS: u64 = 24_000;
/// Digest of the part that crashes servers.
const CRASHING_PART: u64 = 0xdead;
/// Number of parts that begin prompts; the crashing part comes with the first.
const FIRST_PARTS: u64 = 8;

/// Returns a request with two shared parts and one of its own.
fn suspect(number: u64, first: u64, second: u64) -> CrashSuspect {
    let parts = [first, second, 1_000_000 + number].map(|digest| PromptPart {
        digest,
        tokens: 100,
    });
    CrashSuspect::new(number, &parts)
}

/// A message to all other hosts.
#[derive(Clone)]
enum Message {
    Crash(CrashReport),
    Answers(Vec<PartReport>),
    Refusals(Vec<PartReport>),
}

/// What a simulated day has and loses.
#[derive(Clone, Copy)]
struct DayPlan {
    hosts: usize,
    /// Requests a second of all hosts together.
    rate: f64,
    /// Fraction of requests with the crashing part.
    crashing: f64,
    /// Fraction of datagrams that are lost.
    loss: f64,
    /// Interval at which a host forgets everything, as when it is replaced.
    restart_ms: Option<u64>,
    /// Interval at which a server is lost for another reason.
    other_crash_ms: Option<u64>,
    /// Whether crashes are reported at all.
    reports: bool,
}

impl DayPlan {
    /// Returns a day of a fleet with as many requests a host as the users' deployments.
    fn new(hosts: usize) -> Self {
        Self {
            hosts,
            rate: 3.0 * hosts as f64,
            crashing: 0.02,
            loss: 0.0,
            restart_ms: None,
            other_crash_ms: None,
            reports: true,
        }
    }
}

/// What came of a day.
#[derive(Debug, Default)]
struct DayResult {
    crashes: usize,
    fifth_crash: Option<u64>,
    /// Requests with the part that were sent after the bound holds.
    over: usize,
    /// Sound requests with the crashing part's first part: sent and refused since the bound holds.
    sound: usize,
    sound_refused: usize,
    other_refused: usize,
}

/// A fleet of hosts in simulated time.
struct SimulatedDay {
    plan: DayPlan,
    random: ChaCha8Rng,
    hosts: Vec<CrashQuarantine>,
    // Requests at servers: when each ends, its host, and its server.
    open: VecDeque<(u64, usize, u64, CrashSuspect)>,
    datagrams: VecDeque<(u64, usize, Message)>,
    result: DayResult,
    requests: u64,
    servers: u64,
}

impl SimulatedDay {
    fn new(plan: DayPlan, seed: u64) -> Self {
        let mut day = Self {
            plan,
            random: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            open: VecDeque::new(),
            datagrams: VecDeque::new(),
            result: DayResult::default(),
            requests: 0,
            servers: plan.hosts as u64,
        };
        day.hosts = (0..plan.hosts).map(|number| day.new_host(number)).collect();
        day
    }

    fn new_host(&self, number: usize) -> CrashQuarantine {
        let name = |number: usize| Arc::<str>::from(format!("host-{number}"));
        let mut host = CrashQuarantine::new(name(number), CrashSettings::default());
        host.set_hosts((0..self.plan.hosts).map(name).collect());
        host
    }

    fn run(mut self) -> DayResult {
        for step in 0..DAY_MS / STEP_MS {
            let now_ms = step * STEP_MS;
            self.deliver(now_ms);
            self.end_requests(now_ms);
            self.send_requests(now_ms);
            self.disturb(now_ms);
        }
        self.result
    }

    fn broadcast(&mut self, from: usize, message: &Message, now_ms: u64) {
        for host in 0..self.plan.hosts {
            // Each datagram is sent twice.
            let is_lost = (0..2).all(|_| self.random.random_bool(self.plan.loss));
            if host != from && !is_lost {
                self.datagrams
                    .push_back((now_ms + DATAGRAM_MS, host, message.clone()));
            }
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let now = TimePoint::from_millis(now_ms);
        while self.datagrams.front().is_some_and(|(at, ..)| *at <= now_ms) {
            let Some((_, to, message)) = self.datagrams.pop_front() else {
                return;
            };
            let host = &mut self.hosts[to];
            let answers = match message {
                Message::Crash(report) => host.record_report(&report, now).answered,
                Message::Answers(reports) => host.record_answer_reports(&reports, now).answered,
                Message::Refusals(reports) => host.record_refusal_reports(&reports, now).answered,
            };
            let is_chosen = self
                .random
                .random_bool((12.0 / self.plan.hosts as f64).min(1.0));
            if is_chosen && !answers.is_empty() {
                self.broadcast(to, &Message::Answers(answers), now_ms);
            }
        }
    }

    fn send_requests(&mut self, now_ms: u64) {
        let now = TimePoint::from_millis(now_ms);
        let wanted = self.plan.rate * STEP_MS as f64 / 1_000.0;
        let count = wanted as usize + usize::from(self.random.random_bool(wanted.fract()));
        for _ in 0..count {
            self.requests += 1;
            let host = self.random.random_range(0..self.plan.hosts);
            let is_crashing = now_ms > 4_000 && self.random.random_bool(self.plan.crashing);
            let (first, second) = if is_crashing {
                (1, CRASHING_PART)
            } else {
                let second = self.random.random_range(100..160);
                (self.random.random_range(1..=FIRST_PARTS), second)
            };
            let suspect = suspect(self.requests, first, second);
            let refusal = self.hosts[host].refusal(&suspect, now);
            let bound = self.result.fifth_crash.map(|at| at + CONTACT_MS);
            let is_bound = bound.is_some_and(|bound| now_ms >= bound);
            match (is_crashing, refusal) {
                (true, None) => self.result.over += usize::from(is_bound),
                (true, Some(_)) => continue,
                (false, refusal) => {
                    let is_counted = first == 1 && now_ms > 10_000;
                    self.result.sound += usize::from(is_counted);
                    if refusal.is_some() {
                        self.result.sound_refused += usize::from(is_counted);
                        self.result.other_refused += usize::from(first != 1);
                        continue;
                    }
                }
            }
            let server = self.random.random_range(0..self.servers);
            self.open
                .push_back((now_ms + ANSWER_MS, host, server, suspect));
        }
    }

    fn end_requests(&mut self, now_ms: u64) {
        while self.open.front().is_some_and(|(at, ..)| *at <= now_ms) {
            let Some((_, host, server, suspect)) = self.open.pop_front() else {
                return;
            };
            if suspect.parts.contains(&CRASHING_PART) {
                // It falls with the others that are unanswered there.
                self.open.push_back((now_ms, host, server, suspect));
                self.crash(server, now_ms);
                self.result.crashes += 1;
                if self.result.crashes == 5 {
                    self.result.fifth_crash = Some(now_ms);
                }
                continue;
            }
            let now = TimePoint::from_millis(now_ms);
            let answers = self.hosts[host].record_answer(&suspect, now).answered;
            if !answers.is_empty() {
                self.broadcast(host, &Message::Answers(answers), now_ms);
            }
        }
    }

    /// A server falls with all requests that are unanswered there; another takes its place.
    fn crash(&mut self, server: u64, now_ms: u64) {
        let now = TimePoint::from_millis(now_ms);
        let id: Arc<str> = format!("s-{server}-{now_ms}").into();
        let open = std::mem::take(&mut self.open);
        let (lost, kept) = open.into_iter().partition(|(_, _, at, _)| *at == server);
        self.open = kept;
        for (_, host, _, suspect) in lost {
            self.hosts[host].record_crash(&id, &suspect, now);
            if self.plan.reports {
                let server = id.clone();
                let report = CrashReport { server, suspect };
                self.broadcast(host, &Message::Crash(report), now_ms);
            }
        }
    }

    fn disturb(&mut self, now_ms: u64) {
        let is_due = |interval: Option<u64>| interval.is_some_and(|ms| now_ms.is_multiple_of(ms));
        if is_due(self.plan.restart_ms) {
            let host = self.random.random_range(0..self.plan.hosts);
            self.hosts[host] = self.new_host(host);
        }
        if is_due(self.plan.other_crash_ms) {
            let server = self.random.random_range(0..self.servers);
            self.crash(server, now_ms);
        }
        if now_ms.is_multiple_of(REFUSAL_REPORT_MS) && self.plan.reports {
            let everyone: Vec<usize> = (0..self.plan.hosts).collect();
            for host in 0..self.plan.hosts {
                let reports = self.hosts[host].refusal_reports(TimePoint::from_millis(now_ms));
                let chosen = everyone.choose_multiple(&mut self.random, REFUSAL_RECIPIENTS);
                for to in chosen.filter(|_| !reports.is_empty()) {
                    let message = Message::Refusals(reports.clone());
                    self.datagrams
                        .push_back((now_ms + DATAGRAM_MS, *to, message));
                }
            }
        }
    }
}

/// Runs a day and checks the users' bounds.
fn check_day(plan: DayPlan, seed: u64) {
    let result = SimulatedDay::new(plan, seed).run();
    let hosts = plan.hosts;
    assert!(
        result.crashes >= 3,
        "{hosts} hosts: the part crashes servers"
    );
    assert!(
        result.over <= ALLOWED,
        "{hosts} hosts, seed {seed}: {result:?}"
    );
    let is_served = result.sound_refused * 2 <= result.sound;
    assert!(
        result.sound >= 20 && is_served,
        "{hosts} hosts, seed {seed}: {result:?}"
    );
    assert!(
        result.other_refused * 50 <= result.sound,
        "{hosts} hosts, seed {seed}: {result:?}"
    );
}

// Each request with the part was judged by itself, and by one host alone.
#[test]
fn part_is_refused_by_all_hosts_after_a_few_crashes() {
    for (hosts, seeds) in FLEETS.into_iter().zip([5, 3, 1]) {
        for seed in 1..=seeds {
            check_day(DayPlan::new(hosts), seed);
        }
    }
}

#[test]
fn part_is_refused_though_datagrams_are_lost_and_hosts_restart() {
    for hosts in FLEETS {
        let plan = DayPlan {
            loss: 0.3,
            restart_ms: Some(700),
            ..DayPlan::new(hosts)
        };
        check_day(plan, 11);
    }
}

// Servers that fall for other reasons accused whatever they had not answered yet.
#[test]
fn servers_lost_for_other_reasons_accuse_no_sound_part() {
    for hosts in FLEETS {
        let plan = DayPlan {
            other_crash_ms: Some(300),
            ..DayPlan::new(hosts)
        };
        check_day(plan, 21);
        let none = DayPlan {
            crashing: 0.0,
            ..plan
        };
        let result = SimulatedDay::new(none, 22).run();
        assert_eq!(
            result.sound_refused + result.other_refused,
            0,
            "{hosts} hosts"
        );
    }
}

#[test]
fn hosts_that_share_no_crashes_exceed_the_bound() {
    let plan = DayPlan {
        reports: false,
        ..DayPlan::new(63)
    };
    let result = SimulatedDay::new(plan, 1).run();
    assert!(result.over > ALLOWED, "{result:?}");
}

/// Returns a quarantine that refuses the crashing part.
fn refusing(host: &str, hosts: &[&str], at: TimePoint) -> CrashQuarantine {
    let mut quarantine = CrashQuarantine::new(host.into(), CrashSettings::default());
    quarantine.set_hosts(hosts.iter().map(|host| Arc::from(*host)).collect());
    for number in 1..=3 {
        let server = Arc::from(format!("s-{number}"));
        let lost = suspect(number, number, CRASHING_PART);
        quarantine.record_crash(&server, &lost, at);
    }
    quarantine
}

#[test]
fn refused_part_is_tried_by_one_host_at_a_time() {
    let names = ["a", "b", "c"];
    let start = TimePoint::from_millis(1_000);
    let mut hosts = names.map(|name| refusing(name, &names, start));
    let bad = suspect(9, 5, CRASHING_PART);
    let mut tried = |now: TimePoint| {
        let is_let_through =
            |host: &mut CrashQuarantine| (0..5).any(|_| host.refusal(&bad, now).is_none());
        let hosts = hosts.iter_mut().map(is_let_through);
        hosts.filter(|is_let_through| *is_let_through).count()
    };
    assert_eq!(tried(start + Duration::from_secs(59)), 0);
    for minutes in 1..5 {
        assert_eq!(tried(start + Duration::from_secs(60 * minutes)), 1);
        assert_eq!(tried(start + Duration::from_secs(60 * minutes + 30)), 0);
    }
}

#[test]
fn answered_part_is_released_at_all_hosts() {
    let start = TimePoint::from_millis(1_000);
    let mut hosts = ["a", "b"].map(|name| refusing(name, &["a", "b"], start));
    let bad = suspect(9, 5, CRASHING_PART);
    let later = start + Duration::from_secs(2);
    let verdict = hosts[0].record_answer(&bad, later);
    assert_eq!(verdict.released, [CRASHING_PART]);
    assert_eq!(
        hosts[1].refusal(&bad, later),
        Some(CrashRefusal::Part(CRASHING_PART))
    );
    let released = hosts[1]
        .record_answer_reports(&verdict.answered, later)
        .released;
    assert_eq!(released, [CRASHING_PART]);
    assert_eq!(hosts[1].refusal(&bad, later), None);
}

// An old refusal came back from a host that had missed the answer.
#[test]
fn host_that_saw_an_answer_adopts_no_older_refusal() {
    let start = TimePoint::from_millis(1_000);
    let [mut first, mut second] = ["a", "b"].map(|name| refusing(name, &["a", "b"], start));
    let later = start + Duration::from_secs(2);
    let bad = suspect(9, 5, CRASHING_PART);
    first.record_answer(&bad, later);
    let reports = second.refusal_reports(later);
    let verdict = first.record_refusal_reports(&reports, later);
    assert_eq!((verdict.refused, verdict.answered.len()), (vec![], 1));
    assert_eq!(first.refusal(&bad, later), None);
}

// The first part came with every crash, and its sound requests were refused.
#[test]
fn part_that_sound_requests_share_is_not_refused_with_the_crashing_one() {
    let mut quarantine = CrashQuarantine::new("a".into(), CrashSettings::default());
    let start = TimePoint::from_millis(1_000);
    quarantine.record_answer(&suspect(50, 1, 200), start);
    for number in 1..=8 {
        let at = start + Duration::from_millis(300 * number);
        let server = Arc::from(format!("s-{number}"));
        quarantine.record_crash(&server, &suspect(number, 1, CRASHING_PART), at);
        assert_eq!(quarantine.refusal(&suspect(60 + number, 1, 201), at), None);
    }
    let now = start + Duration::from_secs(3);
    let bad = suspect(90, 1, CRASHING_PART);
    assert_eq!(
        quarantine.refusal(&bad, now),
        Some(CrashRefusal::Part(CRASHING_PART))
    );
}

// An operating change can make a part crash servers that were able to answer it.
#[test]
fn part_that_was_answered_once_is_refused_after_more_crashes() {
    let mut quarantine = CrashQuarantine::new("a".into(), CrashSettings::default());
    let start = TimePoint::from_millis(1_000);
    let bad = suspect(90, 1, CRASHING_PART);
    quarantine.record_answer(&bad, start);
    for number in 1..=6_u64 {
        let at = start + Duration::from_secs(number);
        assert_eq!(quarantine.refusal(&bad, at), None, "crash {number}");
        let server = Arc::from(format!("s-{number}"));
        let lost = suspect(number, number + 1, CRASHING_PART);
        quarantine.record_crash(&server, &lost, at);
    }
    let refusal = quarantine.refusal(&bad, start + Duration::from_secs(7));
    assert_eq!(refusal, Some(CrashRefusal::Part(CRASHING_PART)));
}

#[test]
fn reports_of_many_parts_are_bounded() {
    let settings = CrashSettings {
        max_parts: 50,
        ..CrashSettings::default()
    };
    let mut quarantine = CrashQuarantine::new("a".into(), settings);
    let now = TimePoint::from_millis(1_000);
    for first in 0..100 {
        let reports = (0..100).map(|number| PartReport {
            digest: first * 100 + number,
            crashes: u32::MAX,
            age_ms: 0,
        });
        let reports: Vec<PartReport> = reports.collect();
        let adopted = quarantine.record_refusal_reports(&reports, now).refused;
        assert!(adopted.len() <= 32);
    }
    let refused =
        (0..10_000).filter(|part| quarantine.refusal(&suspect(1, *part, *part), now).is_some());
    assert_eq!(refused.count(), 50);
}

// A sound part was refused first, and its crashes still counted against nothing else once it was answered.
#[test]
fn crashes_of_a_part_that_is_answered_count_against_the_others_again() {
    let mut quarantine = CrashQuarantine::new("a".into(), CrashSettings::default());
    let start = TimePoint::from_millis(1_000);
    let sound = 77;
    for number in 1..=3 {
        let at = start + Duration::from_millis(300 * number);
        let server = Arc::from(format!("s-{number}"));
        // The more specific part of the two is refused while the evidence is the same.
        quarantine.record_crash(&server, &suspect(number, CRASHING_PART, sound), at);
    }
    let now = start + Duration::from_secs(2);
    let refusal = quarantine.refusal(&suspect(90, 1, sound), now);
    assert_eq!(refusal, Some(CrashRefusal::Part(sound)));
    let answered = PartReport {
        digest: sound,
        crashes: 0,
        age_ms: 0,
    };
    let verdict = quarantine.record_answer_reports(&[answered], now);
    assert_eq!(
        (verdict.released, verdict.refused),
        (vec![sound], vec![CRASHING_PART])
    );
}

// The age of a refusal began anew with each replacement, as a process cannot state times before its start.
#[test]
fn refused_part_ages_though_it_is_passed_on_at_each_replacement() {
    let mut clock = TimePoint::from_millis(10_000);
    let mut host = refusing("a", &["a"], clock);
    for _ in 0..5 {
        clock = clock + Duration::from_secs(58);
        let reports = host.refusal_reports(clock);
        clock = TimePoint::from_millis(500);
        host = CrashQuarantine::new("a".into(), CrashSettings::default());
        host.record_refusal_reports(&reports, clock);
    }
    let ages: Vec<u32> = host
        .refusal_reports(clock)
        .iter()
        .map(|part| part.age_ms / 1_000)
        .collect();
    assert_eq!(ages, [290]);
}
