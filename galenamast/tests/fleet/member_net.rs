//! In-memory simulation of the membership protocol with delayed, lost and blocked messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use galenamast::coordination::{
    MemberAction, MemberEvent, MemberMachine, MemberMessage, MemberRecord, MemberSettings,
    MemberStatus,
};
use galenamast::state::{HostName, TimePoint};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes that QUIC, UDP and IP add to each message.
const OVERHEAD_BYTES: usize = 70;
/// Interval between the ticks of each host.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns whether messages from the first host index to the second are dropped.
pub(crate) type CutRule = Box<dyn Fn(usize, usize) -> bool>;

/// Simulated network of membership state machines.
pub(crate) struct MemberNet {
    /// Running hosts by index; `None` for a killed host.
    pub(crate) hosts: Vec<Option<MemberMachine>>,
    pub(crate) cut: CutRule,
    /// Probability that a message is lost.
    pub(crate) loss: f64,
    pub(crate) now: TimePoint,
    /// Messages sent, including lost ones.
    pub(crate) messages_sent: u64,
    /// Bytes sent, including lost messages and `OVERHEAD_BYTES` per message.
    pub(crate) bytes_sent: usize,
    /// Size of the largest encoded message, without overhead.
    pub(crate) largest_message_bytes: usize,
    /// Records of dead members, summed over all hosts and ticks of `run_counting_deaths`.
    pub(crate) deaths: u64,
    generator: ChaCha8Rng,
    in_flight: BTreeMap<(TimePoint, u64), (usize, usize, MemberMessage)>,
    serial: u64,
}

/// Returns the simulated address of the host with an index.
pub(crate) fn address_of(index: usize) -> SocketAddr {
    let port = u16::try_from(10_000 + index).expect("few hosts");
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the name of the host with an index.
pub(crate) fn name_of(index: usize) -> HostName {
    HostName::new(&format!("host-{index:02}"))
}

impl MemberNet {
    /// Starts hosts assigned round-robin to failure domains. The first host is the contact of the
    /// others; the second is the contact of the first.
    pub(crate) fn start(hosts: usize, domains: usize, seed: u64) -> Self {
        let mut net = Self {
            hosts: (0..hosts).map(|_| None).collect(),
            cut: Box::new(|_, _| false),
            loss: 0.0,
            now: TimePoint::ZERO,
            messages_sent: 0,
            bytes_sent: 0,
            largest_message_bytes: 0,
            deaths: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            serial: 0,
        };
        for index in 0..hosts {
            net.restart(index, domains, 1);
        }
        net
    }

    /// Starts or restarts a host with the given incarnation.
    pub(crate) fn restart(&mut self, index: usize, domains: usize, incarnation: u64) {
        let record = MemberRecord {
            name: name_of(index),
            domain: format!("domain-{}", index % domains).as_str().into(),
            address: address_of(index),
            incarnation,
            status: MemberStatus::Alive,
        };
        let seed = self.generator.random();
        let machine = MemberMachine::new(record, MemberSettings::default(), seed);
        self.hosts[index] = Some(machine);
        let contact = if index == 0 { 1 } else { 0 };
        self.handle(index, MemberEvent::Contact(address_of(contact)));
    }

    /// Delivers an event to a running host and sends the messages that it returns.
    pub(crate) fn handle(&mut self, index: usize, event: MemberEvent) {
        let Some(machine) = &mut self.hosts[index] else {
            return;
        };
        for action in machine.handle(event, self.now) {
            match action {
                MemberAction::Send(target, message) => {
                    let to = usize::from(target.address.port()) - 10_000;
                    self.send(index, to, message);
                }
                MemberAction::Disconnect(_) => {}
                MemberAction::Publish => {}
            }
        }
    }

    /// Schedules the delivery of a message after 0.2 to 20 ms, unless it is lost or blocked.
    fn send(&mut self, from: usize, to: usize, message: MemberMessage) {
        let bytes = postcard::to_allocvec(&message).expect("the message encodes");
        self.messages_sent += 1;
        self.bytes_sent += bytes.len() + OVERHEAD_BYTES;
        self.largest_message_bytes = self.largest_message_bytes.max(bytes.len());
        let is_lost = self.loss > 0.0 && self.generator.random_bool(self.loss);
        if is_lost || (self.cut)(from, to) {
            return;
        }
        let delay = Duration::from_micros(self.generator.random_range(200..20_000));
        self.serial += 1;
        let key = (self.now + delay, self.serial);
        self.in_flight.insert(key, (from, to, message));
    }

    /// Advances the simulated time, delivering messages and ticking every host.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next = self.now + TICK_INTERVAL;
            while let Some(entry) = self.in_flight.first_entry() {
                if entry.key().0 > next {
                    break;
                }
                let ((at, _), (_, to, message)) = entry.remove_entry();
                self.now = at;
                self.handle(to, MemberEvent::Received(message));
            }
            self.now = next;
            for index in 0..self.hosts.len() {
                self.handle(index, MemberEvent::Tick);
            }
        }
    }

    /// Returns the hosts that a host considers live, itself included.
    pub(crate) fn live_at(&self, index: usize) -> Vec<HostName> {
        let machine = self.hosts[index].as_ref().expect("the host runs");
        let table = machine.table();
        table.live().map(|record| record.name.clone()).collect()
    }

    /// Advances the simulated time and, after each tick, adds the members that each host considers
    /// dead to `deaths`.
    pub(crate) fn run_counting_deaths(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.run(TICK_INTERVAL);
            for machine in self.hosts.iter().flatten() {
                let table = machine.table();
                let is_dead = |record: &&MemberRecord| record.status == MemberStatus::Dead;
                self.deaths += table.members.values().filter(is_dead).count() as u64;
            }
        }
    }
}
