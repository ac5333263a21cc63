//! Contenders of one lease in memory, with clocks that drift and step, pauses and lost answers.

use std::collections::BTreeMap;
use std::time::Duration;

use galenamast::coordination::{
    LeaseAction, LeaseDocument, LeaseEvent, LeaseMachine, LeaseOwner, LeaseRecord, LeaseSettings,
    ObjectVersion, WriteCondition, WriteOutcome,
};
use galenamast::state::TimePoint;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time after which a call without an answer is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Faults of a lease net.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaseFaults {
    /// Share of the calls that are lost before they take effect.
    pub(crate) lost_calls: f64,
    /// Share of the calls whose answer is lost after the effect.
    pub(crate) lost_answers: f64,
    /// Share of the writes that take effect only after they were given up.
    pub(crate) late_writes: f64,
    /// Share of the events before which a host is paused for up to a minute.
    pub(crate) pauses: f64,
    /// Greatest drift of a clock.
    pub(crate) drift: f64,
    /// Share of the events at which a host gives the lease back and starts anew.
    pub(crate) releases: f64,
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
enum NetEvent {
    /// A host is told something by its present run.
    Tell(usize, u64, LeaseEvent),
    /// A write takes effect, and its end is told unless the answer is lost.
    Apply(usize, u64, WriteCondition, LeaseDocument, TimePoint, bool),
}

/// A host with a clock of its own.
struct LeaseHost {
    machine: LeaseMachine,
    run: u64,
    rate: f64,
    offset: Duration,
    paused_until: Duration,
}

/// Contenders, the platform and the messages between them.
pub(crate) struct LeaseNet {
    pub(crate) faults: LeaseFaults,
    pub(crate) stored: Option<LeaseRecord>,
    pub(crate) overlaps: u64,
    pub(crate) terms: Vec<u64>,
    settings: LeaseSettings,
    hosts: Vec<LeaseHost>,
    events: BTreeMap<(Duration, u64), NetEvent>,
    now: Duration,
    serial: u64,
    generator: ChaCha8Rng,
}

impl LeaseNet {
    /// Starts contenders.
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
            net.call(index, LeaseAction::Read);
        }
        net
    }

    /// Creates the machine of one run of a host.
    fn machine(&mut self, index: usize, run: u64) -> LeaseMachine {
        let owner = LeaseOwner {
            host: format!("host-{index}").as_str().into(),
            incarnation: run,
        };
        LeaseMachine::new(owner, self.settings, self.generator.random())
    }

    /// Returns the present time by a host's clock.
    pub(crate) fn local(&self, index: usize) -> TimePoint {
        let host = &self.hosts[index];
        TimePoint::ZERO + host.offset + self.now.mul_f64(host.rate)
    }

    /// Returns the hosts that believe to hold the lease now, by their own clocks.
    pub(crate) fn holders(&self) -> Vec<usize> {
        let holds = |index: &usize| {
            let status = self.hosts[*index].machine.status();
            status.term_at(self.local(*index)).is_some()
        };
        (0..self.hosts.len()).filter(holds).collect()
    }

    /// Pauses a host, whose clock goes on.
    pub(crate) fn pause(&mut self, index: usize, time: Duration) {
        self.hosts[index].paused_until = self.now + time;
    }

    /// Lets a host give the lease back.
    pub(crate) fn release(&mut self, index: usize) {
        let run = self.hosts[index].run;
        self.put(
            Duration::ZERO,
            NetEvent::Tell(index, run, LeaseEvent::Release),
        );
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.happen(event);
            self.overlaps += u64::from(self.holders().len() > 1);
        }
        self.now = end;
    }

    /// Lets an event happen, or defers it to the end of a pause.
    fn happen(&mut self, event: NetEvent) {
        match event {
            NetEvent::Tell(index, run, event) => {
                if run != self.hosts[index].run {
                    return;
                }
                if self.draw(self.faults.pauses) {
                    let pause = Duration::from_millis(self.generator.random_range(0..60_000));
                    self.pause(index, pause);
                }
                let paused = self.hosts[index].paused_until;
                if paused > self.now {
                    self.put(paused - self.now, NetEvent::Tell(index, run, event));
                    return;
                }
                self.tell(index, &event);
            }
            NetEvent::Apply(index, run, condition, document, sent, answered) => {
                let outcome = self.apply(condition, document);
                if answered {
                    let told = NetEvent::Tell(index, run, LeaseEvent::Written(outcome, sent));
                    let delay = self.delay();
                    self.put(delay, told);
                }
            }
        }
    }

    /// Tells a host something and makes the call that it wants.
    fn tell(&mut self, index: usize, event: &LeaseEvent) {
        let now = self.local(index);
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
        self.call(index, action);
    }

    /// Makes the call that a host wants.
    fn call(&mut self, index: usize, action: LeaseAction) {
        let run = self.hosts[index].run;
        match action {
            LeaseAction::Wait(until) => {
                let wait = until.since(self.local(index));
                let wait = wait.div_f64(self.hosts[index].rate) + Duration::from_micros(2);
                self.put(wait, NetEvent::Tell(index, run, LeaseEvent::Due));
            }
            LeaseAction::Read => {
                let lost = self.draw(self.faults.lost_calls + self.faults.lost_answers);
                let (delay, event) = if lost {
                    (CALL_TIMEOUT, LeaseEvent::ReadFailed)
                } else {
                    (self.delay(), LeaseEvent::Read(self.stored.clone()))
                };
                self.put(delay, NetEvent::Tell(index, run, event));
            }
            LeaseAction::Write(condition, document) => self.write(index, condition, document),
            LeaseAction::Finish => {
                let run = run + 1;
                self.hosts[index].machine = self.machine(index, run);
                self.hosts[index].run = run;
                self.call(index, LeaseAction::Read);
            }
        }
    }

    /// Sends a write, which may be lost, late or unanswered.
    fn write(&mut self, index: usize, condition: WriteCondition, document: LeaseDocument) {
        let run = self.hosts[index].run;
        let sent = self.local(index);
        let lost = self.draw(self.faults.lost_calls);
        let late = self.draw(self.faults.late_writes);
        let unanswered = late || self.draw(self.faults.lost_answers);
        if lost || unanswered {
            let unsure = LeaseEvent::Written(WriteOutcome::Indeterminate, sent);
            self.put(CALL_TIMEOUT, NetEvent::Tell(index, run, unsure));
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
        self.put(delay, apply);
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

    /// Returns the time that a call takes one way.
    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.generator.random_range(500..200_000))
    }

    /// Draws whether something of a chance happens.
    fn draw(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.generator.random_bool(chance.min(1.0))
    }

    /// Lets an event happen later.
    fn put(&mut self, delay: Duration, event: NetEvent) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }
}
