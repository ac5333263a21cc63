//! Admission and queue on virtual time, in front of a model of servers with slots.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use galenamast::coordination::{
    AdmissionControl, AdmissionQueue, PoolTiming, QueueEntry, QueueTicket, QueueVerdict,
};
use galenamast::state::{RequestPriority, TimePoint, WorkspaceLimits};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of requests that the servers of the pool run at once.
const SLOTS: usize = 32;
/// Time for which a request holds a slot.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Time from the arrival of a request to its deadline.
const TIME_LEFT: Duration = Duration::from_secs(2);
/// Time for which requests arrive.
const LOAD_TIME: Duration = Duration::from_secs(60);
/// Share of all requests that the small workspace sends.
const SMALL_SHARE: f64 = 0.05;

/// Events of the model; those at the same time are handled in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    /// A request ends on its server.
    Answered(QueueTicket),
    /// A request has waited as long as it may.
    Expired(QueueTicket),
    /// A request arrives.
    Arrives(QueueTicket),
}

/// Offered load as a multiple of the capacity, queue length, and priority of the large workspace.
#[derive(Clone, Copy, Debug)]
struct LoadCase {
    load: f64,
    max_queued: usize,
    large_priority: RequestPriority,
}

/// The pool behind the admission control and the queue of a host.
struct PoolModel {
    case: LoadCase,
    control: AdmissionControl,
    queue: AdmissionQueue,
    timing: PoolTiming,
    events: BTreeSet<(TimePoint, ModelEvent)>,
    arrivals: BTreeMap<QueueTicket, (TimePoint, &'static str)>,
    running: BTreeMap<QueueTicket, TimePoint>,
    run: BTreeSet<QueueTicket>,
    answered: BTreeSet<QueueTicket>,
    refused: BTreeSet<QueueTicket>,
}

impl PoolModel {
    /// Draws the random arrivals of a load.
    fn new(case: LoadCase) -> Self {
        let mut model = Self {
            case,
            control: AdmissionControl::default(),
            queue: AdmissionQueue::new(case.max_queued),
            timing: PoolTiming::default(),
            events: BTreeSet::new(),
            arrivals: BTreeMap::new(),
            running: BTreeMap::new(),
            run: BTreeSet::new(),
            answered: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        let mut generator = ChaCha8Rng::seed_from_u64(130);
        let rate = case.load * SLOTS as f64 / SERVICE_TIME.as_secs_f64();
        let mut due = Duration::ZERO;
        while due < LOAD_TIME {
            let draw: f64 = generator.random_range(f64::EPSILON..1.0);
            due += Duration::from_secs_f64(-draw.ln() / rate);
            let small = generator.random_bool(SMALL_SHARE);
            let ticket = QueueTicket(model.arrivals.len() as u64);
            let (at, name) = (TimePoint::ZERO + due, if small { "small" } else { "large" });
            model.arrivals.insert(ticket, (at, name));
            model.events.insert((at, ModelEvent::Arrives(ticket)));
        }
        model
    }

    /// Handles all events in the order of their times.
    fn run(mut self) -> Self {
        while let Some((now, event)) = self.events.pop_first() {
            match event {
                ModelEvent::Arrives(ticket) => self.arrive(ticket, now),
                ModelEvent::Answered(ticket) => self.answer(ticket, now),
                ModelEvent::Expired(ticket) => {
                    if self.queue.remove(ticket).is_some() {
                        self.refuse(ticket);
                    }
                }
            }
            assert!(
                self.running.len() <= SLOTS,
                "more requests run than there are slots"
            );
        }
        self
    }

    /// Admits a request; it runs, waits or is refused.
    fn arrive(&mut self, ticket: QueueTicket, now: TimePoint) {
        let workspace = self.arrivals[&ticket].1.into();
        let limits = WorkspaceLimits {
            requests_per_second: 1e6,
            max_in_flight: u32::MAX,
            ..Default::default()
        };
        let admitted = self.control.admit(&workspace, &limits, now);
        admitted.expect("the limits admit every request");
        let pool = "consejero".into();
        if self.queue.waiting(&pool) == 0 && self.running.len() < SLOTS {
            return self.dispatch(ticket, now);
        }
        let deadline = self.timing.wait_deadline(now, now + TIME_LEFT, TIME_LEFT);
        let priority = match workspace.as_str() {
            "large" => self.case.large_priority,
            _ => RequestPriority::Normal,
        };
        let verdict = self.queue.push(QueueEntry {
            ticket,
            pool,
            workspace,
            weight: 1.0,
            priority,
            deadline,
        });
        self.events.insert((deadline, ModelEvent::Expired(ticket)));
        match verdict {
            QueueVerdict::Queued => {}
            QueueVerdict::Displaced(victim) => self.refuse(victim),
            QueueVerdict::Rejected => self.refuse(ticket),
        }
    }

    /// Runs a request on a server.
    fn dispatch(&mut self, ticket: QueueTicket, now: TimePoint) {
        assert!(self.run.insert(ticket), "a request runs once");
        self.running.insert(ticket, now);
        self.events
            .insert((now + SERVICE_TIME, ModelEvent::Answered(ticket)));
    }

    /// Records an answer and runs the next request.
    fn answer(&mut self, ticket: QueueTicket, now: TimePoint) {
        let started = self.running.remove(&ticket).expect("the request runs");
        self.timing.observe(now.since(started), now);
        self.control.release(&self.arrivals[&ticket].1.into());
        if now <= self.arrivals[&ticket].0 + TIME_LEFT {
            self.answered.insert(ticket);
        }
        if let Some(next) = self.queue.pop(&"consejero".into(), now) {
            self.dispatch(next.ticket, now);
        }
    }

    /// Refuses a request.
    fn refuse(&mut self, ticket: QueueTicket) {
        assert!(self.refused.insert(ticket), "a request is refused once");
        self.control.release(&self.arrivals[&ticket].1.into());
    }

    /// Returns the share of a workspace's requests that were answered in time.
    fn answered_share(&self, workspace: &str) -> f64 {
        let own = || self.arrivals.iter().filter(|entry| entry.1.1 == workspace);
        let answered = own().filter(|entry| self.answered.contains(entry.0));
        answered.count() as f64 / own().count() as f64
    }
}

/// Runs the loads of 100 % and 130 % of the capacity and checks the guarantees under both.
fn check_overload(max_queued: usize, large_priority: RequestPriority) {
    let [full, over] = [1.0, 1.3].map(|load| {
        let case = LoadCase {
            load,
            max_queued,
            large_priority,
        };
        PoolModel::new(case).run()
    });
    for model in [&full, &over] {
        assert!(
            model.run.is_disjoint(&model.refused),
            "no refused request has run"
        );
        assert_eq!(
            model.run, model.answered,
            "each request that runs is answered in time"
        );
        let ended = model.run.len() + model.refused.len();
        assert_eq!(
            ended,
            model.arrivals.len(),
            "each request runs or is refused"
        );
        for workspace in ["small", "large"] {
            assert_eq!(model.control.in_flight(&workspace.into()), 0);
        }
    }
    let (full_count, over_count) = (full.answered.len(), over.answered.len());
    let ratio = over_count as f64 / full_count as f64;
    assert!(ratio >= 0.9, "goodput {over_count} of {full_count}");
    assert!(!over.refused.is_empty(), "an overload refuses requests");
    let small = over.answered_share("small");
    assert!(small >= 0.9, "the small workspace has {small} answered");
}

#[test]
fn overload_is_shed_from_a_long_queue() {
    check_overload(2_000, RequestPriority::Normal);
}

#[test]
fn overload_is_shed_from_a_short_queue() {
    check_overload(100, RequestPriority::Normal);
}

#[test]
fn a_large_workspace_cannot_starve_others_by_priority() {
    check_overload(100, RequestPriority::High);
}
