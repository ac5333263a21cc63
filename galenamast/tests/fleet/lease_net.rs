//! In-memory simulation of hosts that contend for one lease, with clock drift and offsets, pauses,
//! lost calls and late writes.

use std::collections::BTreeMap;
use std::time::Duration;

use galenamast::coordination::{
    LeaseAction, LeaseDocument, LeaseEvent, LeaseMachine, LeaseOwner, LeaseRecord, LeaseSettings,
    ObjectVersion, WriteCondition, WriteOutcome,
};
use galenamast::state::TimePoint;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time after which a host treats a call without an answer as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Faults injected into a lease simulation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaseFaults {
    /// Probability that a call is lost before it takes effect.
    pub(crate) lost_calls: f64,
    /// Probability that the answer to a call is lost after the call took effect.
    pub(crate) lost_answers: f64,
    /// Probability that a write takes effect only after `CALL_TIMEOUT`.
    pub(crate) late_writes: f64,
    /// Probability, per event, that the host is paused before it for up to a minute.
    pub(crate) pauses: f64,
    /// Greatest relative drift of a clock; 0.01 is 1 %.
    pub(crate) drift: f64,
    /// Probability, per event, that the host releases the lease and restarts.
    pub(crate) releases: f64,
}

/// A scheduled event.
#[derive(Clone, Debug)]
enum NetEvent {
    /// Delivers an event to a host, if the given run is still current.
    Deliver(usize, u64, LeaseEvent),
    /// Applies a write; the last field is whether the host gets the answer.
    Apply(usize, u64, WriteCondition, LeaseDocument, TimePoint, bool),
}

/// A host with its own clock.
struct LeaseHost {
    machine: LeaseMachine,
    /// Number of restarts; events for earlier runs are dropped.
    run: u64,
    /// Speed of the clock relative to simulated time.
    rate: f64,
    /// Time that the clock shows at the start of the simulation.
    offset: Duration,
    paused_until: Duration,
}

/// Simulation of the contending hosts, the stored lease and the calls between them.
pub(crate) struct LeaseNet {
    pub(crate) faults: LeaseFaults,
    pub(crate) stored: Option<LeaseRecord>,
    /// Events after which more than one host held the lease.
    pub(crate) overlaps: u64,
    /// Terms in the order in which hosts first held them.
    pub(crate) terms: Vec<u64>,
    settings: LeaseSettings,
    hosts: Vec<LeaseHost>,
    events: BTreeMap<(Duration, u64), NetEvent>,
    now: Duration,
    serial: u64,
    generator: ChaCha8Rng,
}

impl LeaseNet {
    /// Starts hosts that contend for the lease.
    pub(crate) fn start(
        hosts: usize,
        settings: LeaseSettings,
        faults: LeaseFaults,
        seed: u64,
    ) -> Self {
        let mut net = Self {
            faults,
            stored: None,
            overlaps: 0,
            terms: Vec::new(),
            settings,
            hosts: Vec::new(),
            events: BTreeMap::new(),
            now: Duration::ZERO,
            serial: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..hosts {
            let machine = net.machine(index, 0);
            let rate = 1.0 + faults.drift * net.generator.random_range(-1.0..=1.0);
            let offset = Duration::from_secs(net.generator.random_range(0..1_000));
            net.hosts.push(LeaseHost {
                machine,
                run: 0,
                rate,
                offset,
                paused_until: Duration::ZERO,
            });
            net.perform(index, LeaseAction::Read);
        }
        net
    }

    /// Creates the lease state machine for one run of a host.
    fn machine(&mut self, index: usize, run: u64) -> LeaseMachine {
        let owner = LeaseOwner {
            host: format!("host-{index}").as_str().into(),
            incarnation: run,
        };
        LeaseMachine::new(owner, self.settings, self.generator.random())
    }

    /// Returns the current time on a host's clock.
    pub(crate) fn local_time(&self, index: usize) -> TimePoint {
        let host = &self.hosts[index];
        TimePoint::ZERO + host.offset + self.now.mul_f64(host.rate)
    }

    /// Returns the hosts that hold the lease now according to their own clocks.
    pub(crate) fn holders(&self) -> Vec<usize> {
        let holds = |index: &usize| {
            let status = self.hosts[*index].machine.status();
            status.term_at(self.local_time(*index)).is_some()
        };
        (0..self.hosts.len()).filter(holds).collect()
    }

    /// Pauses a host. Its clock keeps running.
    pub(crate) fn pause(&mut self, index: usize, time: Duration) {
        self.hosts[index].paused_until = self.now + time;
    }

    /// Schedules the release of the lease by a host.
    pub(crate) fn release(&mut self, index: usize) {
        let run = self.hosts[index].run;
        self.schedule(
            Duration::ZERO,
            NetEvent::Deliver(index, run, LeaseEvent::Release),
        );
    }

    /// Advances the simulated time and handles the events that are due.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle_event(event);
            self.overlaps += u64::from(self.holders().len() > 1);
        }
        self.now = end;
    }

    /// Handles an event, or defers it to the end of the host's pause.
    fn handle_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Deliver(index, run, event) => {
                if run != self.hosts[index].run {
                    return;
                }
                if self.draw(self.faults.pauses) {
                    let pause = Duration::from_millis(self.generator.random_range(0..60_000));
                    self.pause(index, pause);
                }
                let paused_until = self.hosts[index].paused_until;
                if paused_until > self.now {
                    self.schedule(
                        paused_until - self.now,
                        NetEvent::Deliver(index, run, event),
                    );
                    return;
                }
                self.deliver(index, &event);
            }
            NetEvent::Apply(index, run, condition, document, sent, answered) => {
                let outcome = self.apply(condition, document);
                if answered {
                    let answer = NetEvent::Deliver(index, run, LeaseEvent::Written(outcome, sent));
                    let delay = self.delay();
                    self.schedule(delay, answer);
                }
            }
        }
    }

    /// Delivers an event to a host's state machine and performs the resulting action.
    fn deliver(&mut self, index: usize, event: &LeaseEvent) {
        let now = self.local_time(index);
        let mut action = self.hosts[index].machine.handle(event, now);
        if self.draw(self.faults.releases) {
            action = self.hosts[index].machine.handle(&LeaseEvent::Release, now);
        }
        let status = self.hosts[index].machine.status();
        if let Some(term) = status.term_at(now)
            && self.terms.last() != Some(&term)
        {
            self.terms.push(term);
        }
        self.perform(index, action);
    }

    /// Performs the action that a host's state machine asks for.
    fn perform(&mut self, index: usize, action: LeaseAction) {
        let run = self.hosts[index].run;
        match action {
            LeaseAction::Wait(until) => {
                let wait = until.since(self.local_time(index));
                let wait = wait.div_f64(self.hosts[index].rate) + Duration::from_micros(2);
                self.schedule(wait, NetEvent::Deliver(index, run, LeaseEvent::Due));
            }
            LeaseAction::Read => {
                let lost = self.draw(self.faults.lost_calls + self.faults.lost_answers);
                let (delay, event) = if lost {
                    (CALL_TIMEOUT, LeaseEvent::ReadFailed)
                } else {
                    (self.delay(), LeaseEvent::Read(self.stored.clone()))
                };
                self.schedule(delay, NetEvent::Deliver(index, run, event));
            }
            LeaseAction::Write(condition, document) => self.write(index, condition, document),
            LeaseAction::Finish => {
                let run = run + 1;
                self.hosts[index].machine = self.machine(index, run);
                self.hosts[index].run = run;
                self.perform(index, LeaseAction::Read);
            }
        }
    }

    /// Sends a write, which may be lost, applied late or left unanswered.
    fn write(&mut self, index: usize, condition: WriteCondition, document: LeaseDocument) {
        let run = self.hosts[index].run;
        let sent = self.local_time(index);
        let lost = self.draw(self.faults.lost_calls);
        let late = self.draw(self.faults.late_writes);
        let unanswered = late || self.draw(self.faults.lost_answers);
        if lost || unanswered {
            let indeterminate = LeaseEvent::Written(WriteOutcome::Indeterminate, sent);
            self.schedule(CALL_TIMEOUT, NetEvent::Deliver(index, run, indeterminate));
        }
        if lost {
            return;
        }
        let delay = if late {
            CALL_TIMEOUT + Duration::from_millis(self.generator.random_range(0..20_000))
        } else {
            self.delay()
        };
        let apply = NetEvent::Apply(index, run, condition, document, sent, !unanswered);
        self.schedule(delay, apply);
    }

    /// Applies a conditional write.
    fn apply(&mut self, condition: WriteCondition, document: LeaseDocument) -> WriteOutcome {
        let current = self.stored.as_ref().map(|record| record.version);
        let expected = match condition {
            WriteCondition::Absent => None,
            WriteCondition::At(version) => Some(version),
        };
        if current != expected {
            return WriteOutcome::Conflict;
        }
        let version = ObjectVersion(current.map_or(1, |version| version.0 + 1));
        self.stored = Some(LeaseRecord { version, document });
        WriteOutcome::Applied(version)
    }

    /// Draws the latency of a call in one direction: 0.5 to 200 ms.
    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.generator.random_range(500..200_000))
    }

    /// Returns true with the given probability.
    fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.generator.random_bool(probability.min(1.0))
    }

    /// Schedules an event after a delay.
    fn schedule(&mut self, delay: Duration, event: NetEvent) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }
}
