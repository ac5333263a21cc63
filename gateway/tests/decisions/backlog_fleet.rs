//! A fleet of hosts with queues, and of engines, in virtual time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::backlog::{
    BacklogQueue, BacklogReport, BacklogSettings, FleetBacklog, ReleasePacer, SentWork, Ticket,
    TurnInputs, TurnVerdict, WaitingRequest, decide_pass, decide_turn, sample_weight,
};
use galenamast_gateway::coordination::placement::short_server_id;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time of one step.
const STEP: Duration = Duration::from_millis(10);
/// Failure domains of the hosts.
const DOMAINS: usize = 4;
/// Requests that wait at an engine before it rejects others; engines of customer H have 64 slots.
const ENGINE_ROOM: usize = 64;
/// Bytes of a report of three levels with its headers.
const REPORT_BYTES: usize = 64;
/// Every so many releases, the work that waits at other hosts is looked at.
pub(crate) const INVERSION_SAMPLE: usize = 8;
/// Largest fleet in which hosts hear of the load of all others.
const MAX_HEARD_HOSTS: usize = 60;
/// Seconds that a transfer between domains is worth to placement.
const TRANSFER_COST: f64 = 0.4;
/// Seconds that a cached prompt is worth to placement.
const CACHE_GAIN: f64 = 0.2;
/// Queue that the fleet uses.
const QUEUE: u32 = 1;
/// Number of workspaces.
pub(crate) const WORKSPACES: usize = 24;
/// The workspace that sends a multiple of its usual load in the burst.
pub(crate) const HOT_WORKSPACE: usize = 4;

/// A route: share of the requests, urgency, mean work in seconds, goal and time limit in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    pub(crate) share: f64,
    pub(crate) urgency: u8,
    pub(crate) work: f64,
    pub(crate) goal_ms: u64,
    pub(crate) limit_ms: u64,
}

/// Routes of customer H: medium, long and short prompts at 61 tokens per millisecond.
pub(crate) const ROUTES: [Route; 3] = [
    Route {
        share: 0.45,
        urgency: 0,
        work: 0.151,
        goal_ms: 2_000,
        limit_ms: 8_000,
    },
    Route {
        share: 0.2,
        urgency: 1,
        work: 0.279,
        goal_ms: 2_000,
        limit_ms: 12_000,
    },
    Route {
        share: 0.35,
        urgency: 2,
        work: 0.024,
        goal_ms: 1_000,
        limit_ms: 15_000,
    },
];

/// The load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetLoad {
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    pub(crate) base: f64,
    pub(crate) burst: f64,
    pub(crate) hot: f64,
    pub(crate) burst_from: Duration,
    pub(crate) burst_until: Duration,
    pub(crate) until: Duration,
    pub(crate) lost_reports: f64,
    pub(crate) has_queues: bool,
    pub(crate) seed: u64,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Played {
    pub(crate) route: usize,
    pub(crate) workspace: usize,
    pub(crate) host: usize,
    pub(crate) work: f64,
    pub(crate) sent: Duration,
    /// Time from the request to the beginning of the answer; `None` if there was none in time.
    pub(crate) served: Option<Duration>,
    /// Time that it waited in a host before it was sent.
    pub(crate) waited: Duration,
}

/// What happened.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetOutcome {
    pub(crate) requests: Vec<Played>,
    pub(crate) engine_rejections: usize,
    pub(crate) releases: usize,
    /// Releases while other hosts held more urgent work than is drained until all know it.
    pub(crate) inversions: usize,
    /// When the queues last held more than the engines do in a tenth of a second.
    pub(crate) emptied_at: Duration,
}

impl FleetOutcome {
    /// Returns the part of the chosen requests that were served in time.
    pub(crate) fn served(&self, is_chosen: impl Fn(&Played) -> bool) -> f64 {
        let chosen: Vec<&Played> = self
            .requests
            .iter()
            .filter(|played| is_chosen(played))
            .collect();
        let served = chosen
            .iter()
            .filter(|played| played.served.is_some())
            .count();
        served as f64 / chosen.len().max(1) as f64
    }
}

/// One host.
struct Host {
    queue: BacklogQueue,
    waiting: Vec<(Ticket, usize)>,
    pacer: ReleasePacer,
    fleet: FleetBacklog,
    // Work of this host that waits at each engine, and what it heard of the others'.
    own: Vec<f64>,
    near: Vec<f64>,
    far: Vec<f64>,
    others: Vec<f64>,
    // Mean queue of the engines of its own domain.
    assumed: f64,
}

/// The fleet.
struct Fleet {
    load: FleetLoad,
    settings: BacklogSettings,
    random: ChaCha8Rng,
    hosts: Vec<Host>,
    engines: Vec<VecDeque<(usize, f64)>>,
    lost: usize,
    outcome: FleetOutcome,
    now: Duration,
}

/// Plays a load.
pub(crate) fn play(load: FleetLoad) -> FleetOutcome {
    let mut settings = BacklogSettings::default();
    settings.turn.enabled = load.has_queues;
    let host = |_| Host {
        queue: BacklogQueue::new(settings),
        waiting: Vec::new(),
        pacer: ReleasePacer::new(settings.pacer, TimePoint::ZERO),
        fleet: FleetBacklog::new(settings.fleet),
        own: vec![0.0; load.engines],
        near: vec![0.0; load.engines],
        far: vec![0.0; load.engines],
        others: vec![0.0; load.engines],
        assumed: 0.0,
    };
    let mut fleet = Fleet {
        settings,
        random: ChaCha8Rng::seed_from_u64(load.seed),
        hosts: (0..load.hosts).map(host).collect(),
        engines: vec![VecDeque::new(); load.engines],
        lost: 0,
        outcome: FleetOutcome::default(),
        now: Duration::ZERO,
        load,
    };
    while fleet.now < load.until {
        fleet.step();
    }
    fleet.outcome
}

impl Fleet {
    /// Plays one step.
    fn step(&mut self) {
        self.now += STEP;
        if self.now == self.load.burst_from {
            self.lost = self.load.engines / 4;
        }
        self.run_engines();
        self.arrive();
        let millis = self.now.as_millis() as usize;
        // Load reports take longer in larger fleets, as their traffic is limited.
        let (near, far) = match self.load.hosts {
            0..=20 => (100, 400),
            21..=MAX_HEARD_HOSTS => (200, 800),
            _ => (700, usize::MAX),
        };
        if millis.is_multiple_of(near) {
            self.exchange_loads(millis.is_multiple_of(far));
        }
        if millis.is_multiple_of(200) && self.load.has_queues {
            self.exchange_backlogs();
        }
        for host in 0..self.load.hosts {
            self.expire(host);
            // The first request looks again every 20 ms, which is two steps.
            while (millis / 10 + host).is_multiple_of(2) && self.release(host) {}
        }
        let waiting: f64 = self.hosts.iter().map(|host| host.queue.work()).sum();
        if waiting > self.capacity() * self.settings.turn.urgent_drain.as_secs_f64() {
            self.outcome.emptied_at = self.now;
        }
    }

    fn at(&self) -> TimePoint {
        TimePoint::ZERO + self.now
    }

    /// Lets each engine read prompts one after the other, in order of arrival.
    fn run_engines(&mut self) {
        for engine in self.lost..self.load.engines {
            let mut time = STEP.as_secs_f64();
            while let Some((request, left)) = self.engines[engine].front_mut() {
                let used = time.min(*left);
                *left -= used;
                time -= used;
                if *left > 1e-9 {
                    break;
                }
                let request = *request;
                self.engines[engine].pop_front();
                let played = &mut self.outcome.requests[request];
                let own = &mut self.hosts[played.host].own[engine];
                *own = (*own - played.work).max(0.0);
                let took = self.now - played.sent;
                let limit = Duration::from_millis(ROUTES[played.route].limit_ms);
                played.served = Some(took).filter(|took| *took <= limit);
            }
        }
    }

    /// Lets the requests of one step arrive, at some hosts twice as often as at others.
    fn arrive(&mut self) {
        let is_burst = (self.load.burst_from..self.load.burst_until).contains(&self.now);
        let factor = if is_burst { self.load.burst } else { 1.0 };
        let mean_work: f64 = ROUTES.iter().map(|route| route.share * route.work).sum();
        let offered = self.load.engines as f64 * self.load.base * factor * STEP.as_secs_f64();
        let mut expected = offered / mean_work;
        while self.random.random::<f64>() < expected {
            expected -= 1.0;
            let workspace = self.workspace(is_burst);
            let draw = self.random.random::<f64>();
            let route = if draw < 0.45 {
                0
            } else {
                1 + usize::from(draw >= 0.65)
            };
            let work = ROUTES[route].work * self.random.random_range(0.4..1.6);
            let place = self.random.random::<f64>() * self.load.hosts as f64;
            let mut host = place as usize;
            if host.is_multiple_of(3) && self.random.random() {
                host = (host + 1) % self.load.hosts;
            }
            self.outcome.requests.push(Played {
                route,
                workspace,
                host,
                work,
                sent: self.now,
                served: None,
                waited: Duration::ZERO,
            });
            self.admit(self.outcome.requests.len() - 1);
        }
    }

    /// Draws a workspace; the first sends 24 times as much as the last.
    fn workspace(&mut self, is_burst: bool) -> usize {
        let weight = |workspace: usize| {
            let usual = 1.0 / (workspace + 1) as f64;
            if is_burst && workspace == HOT_WORKSPACE {
                usual * self.load.hot
            } else {
                usual
            }
        };
        let total: f64 = (0..WORKSPACES).map(weight).sum();
        let mut draw = self.random.random::<f64>() * total;
        for workspace in 0..WORKSPACES {
            draw -= weight(workspace);
            if draw < 0.0 {
                return workspace;
            }
        }
        0
    }

    /// Sends a new request or lets it wait.
    fn admit(&mut self, request: usize) {
        let played = self.outcome.requests[request].clone();
        let route = ROUTES[played.route];
        let now = self.at();
        let (engine, mut inputs) = self.place(request, f64::INFINITY);
        let host = &mut self.hosts[played.host];
        inputs.urgent_elsewhere = host.fleet.work_ahead(QUEUE, route.urgency, now);
        let has_turn = decide_pass(&inputs, &self.settings.turn) == TurnVerdict::Send;
        if has_turn && host.queue.is_empty() {
            self.send(request, engine);
            return;
        }
        let deadline = now + Duration::from_millis(route.limit_ms);
        let (limit, goal) = (
            Duration::from_millis(route.limit_ms),
            Duration::from_millis(route.goal_ms),
        );
        let (since, goal) = WaitingRequest::times_before(deadline, limit, goal);
        let waiting = WaitingRequest {
            urgency: route.urgency,
            workspace: Arc::from(format!("w-{}", played.workspace)),
            work: played.work,
            since,
            goal,
            deadline,
            bytes: 1_000,
        };
        if let Ok(ticket) = host.queue.push(waiting, now) {
            host.waiting.push((ticket, request));
        }
    }

    /// Returns the queue that a host expects at an engine. Hosts of a large fleet hear only of the
    /// load that their own domain puts on engines, and take those of others for equally loaded.
    fn queue_at(&self, host: usize, engine: usize) -> f64 {
        let known = &self.hosts[host];
        let queue = known.own[engine] + known.others[engine];
        let is_local = engine % DOMAINS == host % DOMAINS;
        if is_local || self.load.hosts <= MAX_HEARD_HOSTS {
            return queue;
        }
        queue.max(known.assumed)
    }

    /// Returns the engine that placement prefers among those with a queue of at most `longest`
    /// seconds, and what its host sees of the engines. A request prefers engines of its own domain,
    /// and some that cache its prompt.
    fn place(&self, request: usize, longest: f64) -> (usize, TurnInputs) {
        let Played { host, route, .. } = self.outcome.requests[request];
        let (mut best, mut shortest, mut sum) = ((f64::INFINITY, 0), f64::INFINITY, 0.0);
        for engine in self.lost..self.load.engines {
            let queue = self.queue_at(host, engine);
            shortest = queue.min(shortest);
            sum += queue;
            let transfer = if engine % DOMAINS == host % DOMAINS {
                0.0
            } else {
                TRANSFER_COST
            };
            let id = short_server_id(&format!("{request}-{engine}"));
            let cache = f64::from(id) / f64::from(u32::MAX);
            // All queues that are short enough count the same.
            let delay = if longest.is_finite() { longest } else { queue };
            let price = delay + transfer + cache * CACHE_GAIN;
            if price < best.0 && queue <= longest {
                best = (price, engine);
            }
        }
        let inputs = TurnInputs {
            preferred_queue: self.queue_at(host, best.1),
            shortest_queue: shortest,
            mean_queue: sum / self.capacity(),
            goal: Duration::from_millis(ROUTES[route].goal_ms),
            capacity: self.capacity(),
            ..TurnInputs::default()
        };
        (best.1, inputs)
    }

    fn capacity(&self) -> f64 {
        (self.load.engines - self.lost) as f64
    }

    /// Sends a request to an engine, which rejects it if it has no room.
    fn send(&mut self, request: usize, engine: usize) {
        let Played { host, work, .. } = self.outcome.requests[request];
        if self.engines[engine].len() >= ENGINE_ROOM {
            self.outcome.engine_rejections += 1;
            return;
        }
        self.hosts[host].own[engine] += work;
        self.engines[engine].push_back((request, work));
    }

    /// Sends the first waiting request of a host if it may be.
    fn release(&mut self, host: usize) -> bool {
        let now = self.at();
        let Some(ticket) = self.hosts[host].queue.head(now) else {
            return false;
        };
        let index = self.hosts[host]
            .waiting
            .iter()
            .position(|(known, _)| *known == ticket);
        let index = index.expect("the request is known");
        let request = self.hosts[host].waiting[index].1;
        let level = self.hosts[host].queue.level(ticket, now).expect("it waits");
        let (engine, mut inputs) = self.place(request, f64::INFINITY);
        let capacity = self.capacity();
        let known = &mut self.hosts[host];
        inputs.urgent_elsewhere = known.fleet.work_ahead(QUEUE, level, now);
        let heard = if self.load.hosts <= MAX_HEARD_HOSTS {
            1.0
        } else {
            DOMAINS as f64
        };
        let sent = SentWork {
            own: known.own[self.lost..].iter().sum(),
            others: known.others[self.lost..].iter().sum::<f64>() * heard,
        };
        let own = known.queue.summary(now);
        let rate = capacity * known.fleet.own_part(QUEUE, &own, &sent, now);
        let longest = self.settings.turn.longest_queue(inputs.goal);
        let rate = rate * self.settings.pacer.speed_up(inputs.mean_queue, longest);
        let verdict = decide_turn(&inputs, &self.settings.turn);
        if !known.pacer.may_release(rate, now) || verdict == TurnVerdict::Wait {
            return false;
        }
        known.queue.release(ticket, now);
        known
            .pacer
            .record_release(self.outcome.requests[request].work);
        known.waiting.swap_remove(index);
        self.outcome.releases += 1;
        let played = &mut self.outcome.requests[request];
        played.waited = self.now - played.sent;
        // Looking at all hosts at each release would take most of the test's time.
        if self.outcome.releases.is_multiple_of(INVERSION_SAMPLE) {
            self.count_inversion(host, level, now);
        }
        let engine = if inputs.shortest_queue <= longest {
            self.place(request, longest).0
        } else {
            engine
        };
        self.send(request, engine);
        true
    }

    /// Counts a release while more urgent work waits elsewhere than is drained in a second, in which
    /// each host has reported to its domain several times.
    fn count_inversion(&mut self, host: usize, level: u8, now: TimePoint) {
        let others = (0..self.load.hosts).filter(|other| *other != host);
        let works = others.flat_map(|other| self.hosts[other].queue.summary(now));
        let urgent: f64 = works
            .filter(|other| other.level < level)
            .map(|other| other.work)
            .sum();
        if urgent > self.capacity() {
            self.outcome.inversions += 1;
        }
    }

    /// Rejects what a host will not reach in time.
    fn expire(&mut self, host: usize) {
        let now = self.at();
        let capacity = self.capacity();
        let known = &mut self.hosts[host];
        let own = known.queue.work();
        let others = known.fleet.total_work(QUEUE, now);
        let rate = capacity * own / (own + others).max(f64::MIN_POSITIVE);
        for (ticket, retry_in) in known.queue.expire(now, rate) {
            let index = known
                .waiting
                .iter()
                .position(|(waiting, _)| *waiting == ticket);
            let (_, request) = known
                .waiting
                .swap_remove(index.expect("the request is known"));
            let played = &self.outcome.requests[request];
            let left =
                Duration::from_millis(ROUTES[played.route].limit_ms) - (self.now - played.sent);
            // The host spreads the pause by half to both sides.
            assert!(retry_in.mul_f64(1.5) <= left / 3 + Duration::from_millis(1));
        }
    }

    /// Tells each host the work that the others of its domain put on engines, and with `from_all` that
    /// of the other domains.
    fn exchange_loads(&mut self, from_all: bool) {
        let mut sums = vec![vec![0.0; self.load.engines]; DOMAINS];
        for (number, host) in self.hosts.iter().enumerate() {
            let sum = &mut sums[number % DOMAINS];
            sum.iter_mut()
                .zip(&host.own)
                .for_each(|(sum, own)| *sum += own);
        }
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let domain = number % DOMAINS;
            for engine in 0..self.load.engines {
                host.near[engine] = (sums[domain][engine] - host.own[engine]).max(0.0);
                if from_all {
                    let all: f64 = sums.iter().map(|sum| sum[engine]).sum();
                    host.far[engine] = all - sums[domain][engine];
                }
                host.others[engine] = host.near[engine] + host.far[engine];
            }
            let local = (0..self.load.engines).filter(|engine| engine % DOMAINS == domain);
            let queues = local.map(|engine| host.own[engine] + host.others[engine]);
            host.assumed = queues.sum::<f64>() / (self.load.engines / DOMAINS) as f64;
        }
    }

    /// Sends the hosts' reports to as many others as the traffic allows in 200 ms.
    fn exchange_backlogs(&mut self) {
        let (now, settings) = (self.at(), self.settings.fleet);
        for sender in 0..self.load.hosts {
            let levels = self.hosts[sender].queue.summary(now);
            let reports: Vec<BacklogReport> = levels
                .iter()
                .map(|level| BacklogReport {
                    queue: QUEUE,
                    level: level.level,
                    count: level.count,
                    work_ms: (level.work * 1_000.0) as u32,
                })
                .collect();
            if reports.is_empty() {
                continue;
            }
            let peer = SocketAddr::from(([127, 0, 0, 1], 1_000 + sender as u16));
            let (mut near, mut far): (Vec<usize>, Vec<usize>) = (0..self.load.hosts)
                .filter(|host| *host != sender)
                .partition(|host| host % DOMAINS == sender % DOMAINS);
            for scope in [&mut near, &mut far] {
                scope.shuffle(&mut self.random);
                let weight = sample_weight(scope.len(), REPORT_BYTES, &settings);
                // Rounds up as often as the mean of the traffic allows.
                let allowed = settings.bytes_per_second * 0.2 / REPORT_BYTES as f64;
                let recipients = (allowed + self.random.random::<f64>()) as usize;
                for host in scope.iter().take(recipients) {
                    if self.random.random::<f64>() >= self.load.lost_reports {
                        self.hosts[*host]
                            .fleet
                            .record_report(peer, &reports, weight, now);
                    }
                }
            }
        }
    }
}
