//! Entry hosts in memory whose messages are delayed, lost and cut as a test says.

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

/// Bytes that QUIC, UDP and IP add to a message.
const OVERHEAD_BYTES: usize = 70;
/// Time between ticks of each host.
const TICK: Duration = Duration::from_millis(100);

/// Decides whether a message from one host to another is lost.
pub(crate) type CutRule = Box<dyn Fn(usize, usize) -> bool>;

/// A net of membership machines.
pub(crate) struct MemberNet {
    pub(crate) hosts: Vec<Option<MemberMachine>>,
    pub(crate) cut: CutRule,
    pub(crate) loss: f64,
    pub(crate) now: TimePoint,
    pub(crate) sent: u64,
    pub(crate) bytes: usize,
    pub(crate) largest: usize,
    pub(crate) deaths: u64,
    generator: ChaCha8Rng,
    in_flight: BTreeMap<(TimePoint, u64), (usize, usize, MemberMessage)>,
    serial: u64,
}

/// Returns the address of a host of the net.
pub(crate) fn address_of(index: usize) -> SocketAddr {
    let port = u16::try_from(10_000 + index).expect("few hosts");
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the name of a host of the net.
pub(crate) fn name_of(index: usize) -> HostName {
    HostName::new(&format!("host-{index:02}"))
}

impl MemberNet {
    /// Starts hosts that all know the first one, spread over failure domains in turn.
    pub(crate) fn start(hosts: usize, domains: usize, seed: u64) -> Self {
        let mut net = Self {
            hosts: (0..hosts).map(|_| None).collect(),
            cut: Box::new(|_, _| false),
            loss: 0.0,
            now: TimePoint::ZERO,
            sent: 0,
            bytes: 0,
            largest: 0,
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

    /// Starts a host anew with an incarnation.
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

    /// Hands an event to a host and puts its messages into flight.
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

    /// Puts a message into flight, or loses it.
    fn send(&mut self, from: usize, to: usize, message: MemberMessage) {
        let bytes = postcard::to_allocvec(&message).expect("the message encodes");
        self.sent += 1;
        self.bytes += bytes.len() + OVERHEAD_BYTES;
        self.largest = self.largest.max(bytes.len());
        let lost = self.loss > 0.0 && self.generator.random_bool(self.loss);
        if lost || (self.cut)(from, to) {
            return;
        }
        let delay = Duration::from_micros(self.generator.random_range(200..20_000));
        self.serial += 1;
        let key = (self.now + delay, self.serial);
        self.in_flight.insert(key, (from, to, message));
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next = self.now + TICK;
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

    /// Returns the hosts that a host holds for live, itself included.
    pub(crate) fn live_at(&self, index: usize) -> Vec<HostName> {
        let machine = self.hosts[index].as_ref().expect("the host runs");
        let table = machine.table();
        table.live().map(|record| record.name.clone()).collect()
    }

    /// Lets time pass, and records whom each host held for dead meanwhile.
    pub(crate) fn run_counting_deaths(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.run(TICK);
            for machine in self.hosts.iter().flatten() {
                let table = machine.table();
                let dead = |record: &&MemberRecord| record.status == MemberStatus::Dead;
                self.deaths += table.members.values().filter(dead).count() as u64;
            }
        }
    }
}
