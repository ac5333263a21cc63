//! Servers at which requests wait: a domain of 22 of 90 servers goes dark under load, others are slow,
//! packets are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::budgets::{BudgetSettings, RetryBudget, RetryPurpose};
use galenamast_gateway::coordination::liveness::{
    LivenessChange, LivenessSettings, ProbeResult, ServerLiveness, ServerVerdict, WaitStep,
    WaitTicket,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of servers, and of those in the domain that goes dark.
const SERVERS: usize = 90;
const DARK: usize = 22;
/// Step of the virtual time, and when the domain goes dark, in milliseconds.
const STEP_MS: u64 = 5;
const DARK_AT_MS: u64 = 5_000;
/// Requests of the host in a second, and of all hosts.
const RATE: f64 = 12.0;
const HOSTS: usize = 60;
/// Time limit of a request, time for which a first byte is awaited, and the time that it takes.
const DEADLINE: Duration = Duration::from_secs(8);
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
const USUAL: Duration = Duration::from_millis(150);
/// Servers that may run a request.
const RUNS: usize = 3;

/// What happens during a replay.
#[derive(Clone, Copy)]
struct Replay {
    seed: u64,
    /// Whether servers are judged.
    is_enabled: bool,
    /// Time for which the domain is dark.
    dark_for: Duration,
    /// Servers in three that take 20 times the usual time, out of 3.
    slow_thirds: usize,
    /// Part of the probes that are lost with their packets.
    loss: f64,
    /// Whether requests may be sent again.
    may_repeat: bool,
    seconds: u64,
}

/// A request and its current attempt.
struct Request {
    started_at: TimePoint,
    tried: Vec<usize>,
    runs: usize,
    connects_until: Option<TimePoint>,
    sent_at: TimePoint,
    answers_at: Option<TimePoint>,
    ticket: Option<WaitTicket>,
    next_check: TimePoint,
    meets_silence: bool,
}

/// What callers and servers saw.
#[derive(Debug, Default)]
struct Result {
    requests: usize,
    late: usize,
    /// Requests that ended without an answer before their deadline.
    failed: usize,
    slowest: Duration,
    lost: BTreeSet<usize>,
    sent_twice: usize,
    probes: usize,
}

/// A replay in progress.
struct World {
    replay: Replay,
    random: ChaCha8Rng,
    liveness: ServerLiveness,
    budget: RetryBudget,
    names: Vec<Arc<str>>,
    avoided_until: BTreeMap<usize, TimePoint>,
    probes: Vec<(usize, TimePoint, ProbeResult)>,
    result: Result,
}

impl World {
    /// Returns whether a server is dark.
    fn is_dark(&self, server: usize, now: TimePoint) -> bool {
        let dark_at = TimePoint::from_millis(DARK_AT_MS);
        server < DARK && now >= dark_at && now < dark_at + self.replay.dark_for
    }

    /// Sends a request to a random server that was not tried and is not avoided.
    fn send(&mut self, request: &mut Request, now: TimePoint) {
        let open = |server: &usize| {
            let until = self.avoided_until.get(server);
            !request.tried.contains(server) && until.is_none_or(|until| now >= *until)
        };
        let open: Vec<usize> = (0..SERVERS).filter(open).collect();
        let server = open[self.random.random_range(0..open.len())];
        request.tried.push(server);
        let is_doubted = self.liveness.verdict(&self.names[server]) != ServerVerdict::Alive;
        let connects = self.replay.is_enabled && (request.meets_silence || is_doubted);
        if connects && self.is_dark(server, now) {
            let left = (request.started_at + DEADLINE).since(now);
            let timeout = LivenessSettings::default().connect_timeout(left);
            request.connects_until = Some(now + timeout);
            return;
        }
        let is_slow = server % 3 < self.replay.slow_thirds;
        let took = if is_slow { USUAL * 20 } else { USUAL };
        request.connects_until = None;
        request.sent_at = now;
        request.answers_at = Some(now + took);
        request.next_check = now;
        request.runs += 1;
        let usual = USUAL;
        request.ticket = Some(self.liveness.record_sent(&self.names[server], usual, now));
    }

    /// Ends the attempt of a request and begins the next one, if the budget allows it.
    fn retry(&mut self, request: &mut Request, is_paid: bool, now: TimePoint) -> bool {
        let server = *request.tried.last().expect("an attempt was made");
        if let Some(ticket) = request.ticket.take() {
            self.liveness.record_ended(&self.names[server], ticket);
        }
        request.meets_silence = true;
        let may_run = request.runs == 0 || (self.replay.may_repeat && request.runs < RUNS);
        if !may_run || !(is_paid || self.take_retry(now)) {
            self.result.failed += 1;
            return false;
        }
        self.send(request, now);
        true
    }

    /// Takes a retry from the budget.
    fn take_retry(&mut self, now: TimePoint) -> bool {
        self.budget.take_retry(RetryPurpose::Failure, HOSTS, now)
    }

    /// Moves a request on; returns whether it goes on.
    fn advance(&mut self, request: &mut Request, now: TimePoint) -> bool {
        let server = *request.tried.last().expect("an attempt was made");
        let took = now.since(request.started_at);
        if took >= DEADLINE {
            self.result.late += 1;
            return false;
        }
        if let Some(until) = request.connects_until {
            if now < until {
                return true;
            }
            self.avoided_until
                .insert(server, now + Duration::from_millis(700));
            return self.retry(request, true, now);
        }
        // A server that goes dark for a time answers when it is back.
        let is_answered = request.answers_at.is_some_and(|at| now >= at);
        if is_answered && !self.is_dark(server, now) {
            let name = self.names[server].clone();
            self.note(server, |liveness| liveness.record_byte(&name, now));
            if let Some(ticket) = request.ticket.take() {
                self.liveness.record_ended(&name, ticket);
            }
            self.result.slowest = self.result.slowest.max(took);
            return false;
        }
        if self.replay.is_enabled && now >= request.next_check {
            let ticket = request.ticket.expect("the attempt waits");
            match self.liveness.next_step(&self.names[server], ticket, now) {
                WaitStep::Wait(pause) => request.next_check = now + pause.min(USUAL),
                WaitStep::Probe => self.probe(server, now),
                WaitStep::Lost => {
                    let may_repeat = self.replay.may_repeat && request.runs < RUNS;
                    if may_repeat && self.take_retry(now) {
                        return self.retry(request, true, now);
                    }
                    request.next_check = now + LivenessSettings::default().retry_pause;
                }
            }
        }
        let is_silent = now.since(request.sent_at) >= HEAD_TIMEOUT;
        if is_silent && self.replay.may_repeat && self.replay.slow_thirds == 0 {
            return self.retry(request, false, now);
        }
        true
    }

    /// Probes a server.
    fn probe(&mut self, server: usize, now: TimePoint) {
        self.result.probes += 1;
        let timeout = LivenessSettings::default().probe_timeout;
        let is_lost = self.is_dark(server, now) || self.random.random_bool(self.replay.loss);
        let end = if is_lost {
            (server, now + timeout, ProbeResult::TimedOut)
        } else {
            (
                server,
                now + Duration::from_millis(5),
                ProbeResult::Accepted,
            )
        };
        self.probes.push(end);
    }

    /// Applies the probes that ended.
    fn end_probes(&mut self, now: TimePoint) {
        let (ended, running) = self.probes.drain(..).partition(|(_, at, _)| *at <= now);
        self.probes = running;
        let ended: Vec<(usize, TimePoint, ProbeResult)> = ended;
        for (server, _, result) in ended {
            let name = self.names[server].clone();
            let mut goes_on = false;
            self.note(server, |liveness| {
                let (next, change) = liveness.record_probe(&name, result, now);
                goes_on = next;
                change
            });
            if goes_on {
                self.probe(server, now);
            }
        }
    }

    /// Feeds the state and counts the servers that it takes for lost.
    fn note(
        &mut self,
        server: usize,
        event: impl FnOnce(&mut ServerLiveness) -> Option<LivenessChange>,
    ) {
        if let Some(LivenessChange::Lost { .. }) = event(&mut self.liveness) {
            self.result.lost.insert(server);
        }
    }
}

/// Replays the requests of one host.
fn run(replay: Replay) -> Result {
    let mut world = World {
        replay,
        random: ChaCha8Rng::seed_from_u64(replay.seed),
        liveness: ServerLiveness::new(LivenessSettings::default()),
        budget: RetryBudget::new(BudgetSettings::default()),
        names: (0..SERVERS)
            .map(|number| format!("i-{number}").into())
            .collect(),
        avoided_until: BTreeMap::new(),
        probes: Vec::new(),
        result: Result::default(),
    };
    let mut requests: Vec<Request> = Vec::new();
    for step in 0..replay.seconds * 1_000 / STEP_MS {
        let now = TimePoint::from_millis(step * STEP_MS);
        world.end_probes(now);
        if world.random.random_bool(RATE * STEP_MS as f64 / 1_000.0) {
            world.budget.record_request(now);
            world.result.requests += 1;
            let mut request = Request {
                started_at: now,
                tried: Vec::new(),
                runs: 0,
                connects_until: None,
                sent_at: now,
                answers_at: None,
                ticket: None,
                next_check: now,
                meets_silence: false,
            };
            world.send(&mut request, now);
            requests.push(request);
        }
        requests.retain_mut(|request| {
            let goes_on = world.advance(request, now);
            world.result.sent_twice += usize::from(!goes_on && request.runs > 1);
            goes_on
        });
    }
    world.result
}

/// Returns a replay in which the domain goes dark and stays so.
fn dark(seed: u64) -> Replay {
    Replay {
        seed,
        is_enabled: true,
        dark_for: Duration::from_secs(60),
        slow_thirds: 0,
        loss: 0.02,
        may_repeat: true,
        seconds: 20,
    }
}

// Guards against deadlines that pass while requests are tried at one dark server after the other.
#[test]
fn domain_that_goes_dark_costs_attempts_and_no_deadline() {
    let (mut slowest_before, mut failed_before) = (Duration::ZERO, 0);
    for seed in 1..=5 {
        let result = run(dark(seed));
        assert_eq!(result.late + result.failed, 0, "seed {seed}: {result:?}");
        // Half of the time limit.
        assert!(result.slowest < DEADLINE / 2, "seed {seed}: {result:?}");
        assert!(
            result.lost.iter().all(|server| *server < DARK),
            "{result:?}"
        );
        assert!(!result.lost.is_empty());
        let before = run(Replay {
            is_enabled: false,
            ..dark(seed)
        });
        slowest_before = slowest_before.max(before.slowest);
        failed_before += before.late + before.failed;
    }
    assert!(slowest_before > DEADLINE / 2, "{slowest_before:?}");
    assert!(failed_before > 0);
}

// Guards against sending a request again that may run only once.
#[test]
fn request_that_may_run_once_is_not_repeated() {
    for seed in 1..=3 {
        let once = Replay {
            may_repeat: false,
            ..dark(seed)
        };
        let result = run(once);
        assert!(!result.lost.is_empty(), "seed {seed}");
        assert_eq!(result.sent_twice, 0, "seed {seed}");
    }
}

// Guards against taking slow servers, and servers behind a lossy link, for lost.
#[test]
fn slow_servers_and_lost_packets_raise_no_false_alarm() {
    for seed in 1..=5 {
        let result = run(Replay {
            dark_for: Duration::ZERO,
            slow_thirds: 2,
            loss: 0.1,
            seconds: 120,
            ..dark(seed)
        });
        assert!(result.probes > 100, "seed {seed}: {result:?}");
        assert!(result.lost.is_empty(), "seed {seed}: {result:?}");
        // The pauses between probes of slow servers double.
        assert!(
            result.probes < 3 * result.requests,
            "seed {seed}: {result:?}"
        );
    }
}

// Guards against taking servers for lost that fall silent for a second and then go on.
#[test]
fn outage_of_a_second_raises_no_alarm() {
    let mut probes = 0;
    for seed in 1..=20 {
        let result = run(Replay {
            dark_for: Duration::from_secs(1),
            ..dark(seed)
        });
        probes += result.probes;
        assert!(result.lost.is_empty(), "seed {seed}: {result:?}");
        assert_eq!(result.late, 0, "seed {seed}");
    }
    assert!(probes > 100, "{probes} probes");
}

/// Returns the state with one attempt that waits since the start.
fn waiting() -> (ServerLiveness, Arc<str>, WaitTicket) {
    let mut liveness = ServerLiveness::new(LivenessSettings::default());
    let server: Arc<str> = "i-1".into();
    let ticket = liveness.record_sent(&server, Duration::ZERO, TimePoint::ZERO);
    (liveness, server, ticket)
}

// Guards against one probe for each of many attempts, and against an alarm for a server whose other
// responses go on.
#[test]
fn one_probe_serves_all_attempts_and_bytes_show_life() {
    let (mut liveness, server, ticket) = waiting();
    let other = liveness.record_sent(&server, Duration::ZERO, TimePoint::ZERO);
    let at = TimePoint::from_millis;
    assert_eq!(
        liveness.next_step(&server, ticket, at(299)),
        WaitStep::Wait(Duration::from_millis(1))
    );
    liveness.record_byte(&server, at(299));
    assert!(matches!(
        liveness.next_step(&server, ticket, at(400)),
        WaitStep::Wait(_)
    ));
    assert_eq!(
        liveness.next_step(&server, ticket, at(599)),
        WaitStep::Probe
    );
    assert!(matches!(
        liveness.next_step(&server, other, at(600)),
        WaitStep::Wait(_)
    ));
    liveness.record_probe(&server, ProbeResult::Accepted, at(610));
    assert!(matches!(
        liveness.next_step(&server, other, at(1_600)),
        WaitStep::Wait(_)
    ));
    assert_eq!(
        liveness.next_step(&server, other, at(1_610)),
        WaitStep::Probe
    );
    assert_eq!(liveness.verdict(&server), ServerVerdict::Alive);
}

// Guards against verdicts by the word of another host or of the list alone, and against one that lasts
// after the server is back.
#[test]
fn evidence_needs_failed_probes_and_activity_ends_the_verdict() {
    let (mut liveness, server, ticket) = waiting();
    let at = TimePoint::from_millis;
    liveness.record_removal(&server, at(10));
    assert_eq!(liveness.verdict(&server), ServerVerdict::Alive);
    assert_eq!(liveness.next_step(&server, ticket, at(10)), WaitStep::Probe);
    let (goes_on, change) = liveness.record_probe(&server, ProbeResult::TimedOut, at(160));
    assert!(goes_on && change.is_none());
    assert_eq!(liveness.verdict(&server), ServerVerdict::Doubtful);
    let (goes_on, change) = liveness.record_probe(&server, ProbeResult::TimedOut, at(310));
    let lost = LivenessChange::Lost {
        waiting: 1,
        silent_for: Duration::from_millis(310),
        failures: 2,
    };
    assert_eq!((goes_on, change), (false, Some(lost)));
    assert_eq!(liveness.next_step(&server, ticket, at(310)), WaitStep::Lost);
    let change = liveness.record_connection(&server, ProbeResult::Accepted, at(900));
    let returned = LivenessChange::Returned(Duration::from_millis(590));
    assert_eq!(change, Some(returned));
    assert_eq!(liveness.verdict(&server), ServerVerdict::Alive);
}
