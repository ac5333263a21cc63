//! Membership protocol of a failure domain: probes, suspicion, refutation, and a few contacts in
//! other failure domains.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::coordination::member_message::{
    MemberAction, MemberBody, MemberEvent, MemberMessage, PeerTarget,
};
use crate::coordination::member_probe::{MemberProbe, ProbeStage, RelayedPing};
use crate::coordination::member_record::{MemberRecord, MemberStatus};
use crate::coordination::member_roster::MemberRoster;
use crate::coordination::member_table::MemberTable;
use crate::state::{HostName, TimePoint};

/// Number of hosts that are asked to ping a host that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Fraction of the probe period after which other hosts are asked to ping.
const DIRECT_FRACTION: f64 = 0.4;
/// Largest health penalty. A host whose own probes fail multiplies its suspicion time by one plus
/// the penalty.
const MAX_HEALTH_PENALTY: u32 = 4;
/// One in this many probes goes to a dead host, in order to detect that a partition healed.
const DEAD_PROBE_INTERVAL: u64 = 5;
/// Number of probe periods between messages to contacts in other failure domains.
const CONTACT_INTERVAL: u32 = 2;
/// Largest number of pings that are relayed at the same time.
const MAX_RELAYED: usize = 64;
/// Number of hosts that a leaving host informs directly.
const LEAVE_FANOUT: usize = 5;
/// Largest total size of the updates in one message, in bytes.
const MAX_UPDATE_BYTES: usize = 700;

/// Settings of the membership machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time between probes.
    pub probe_period: Duration,
    /// Time that a suspected host has to refute the suspicion.
    pub suspicion_time: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            suspicion_time: Duration::from_secs(4),
        }
    }
}

/// State machine that maintains the membership table of one entry host, without I/O.
#[derive(Clone, Debug)]
pub struct MemberMachine {
    settings: MemberSettings,
    roster: MemberRoster,
    generator: ChaCha8Rng,
    probe: Option<MemberProbe>,
    probe_order: Vec<HostName>,
    relayed: BTreeMap<u64, RelayedPing>,
    sequence: u64,
    probes: u64,
    health_penalty: u32,
    next_contact_at: TimePoint,
    actions: Vec<MemberAction>,
}

impl MemberMachine {
    /// Creates the machine of a host that knows no other hosts yet.
    ///
    /// `seed` determines its random choices.
    pub fn new(own: MemberRecord, settings: MemberSettings, seed: u64) -> Self {
        Self {
            settings,
            roster: MemberRoster::new(own),
            generator: ChaCha8Rng::seed_from_u64(seed),
            probe: None,
            probe_order: Vec::new(),
            relayed: BTreeMap::new(),
            sequence: 0,
            probes: 0,
            health_penalty: 0,
            next_contact_at: TimePoint::ZERO,
            actions: Vec::new(),
        }
    }

    /// Returns the known hosts.
    pub fn table(&self) -> MemberTable {
        self.roster.table()
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, event: MemberEvent, now: TimePoint) -> Vec<MemberAction> {
        match event {
            MemberEvent::Tick => self.tick(now),
            MemberEvent::Received(message) => self.receive(message, now),
            MemberEvent::Contact(address) => self.join(address),
            MemberEvent::Leave => self.leave(),
        }
        if self.roster.take_changed() {
            self.actions.push(MemberAction::Publish);
        }
        std::mem::take(&mut self.actions)
    }

    /// Advances the current probe, expires suspicions, and pings a contact when that is due.
    fn tick(&mut self, now: TimePoint) {
        let suspicion_time = self.settings.suspicion_time * (1 + self.health_penalty);
        for name in self.roster.expire_suspects(suspicion_time, now) {
            self.actions.push(MemberAction::Disconnect(name));
        }
        self.relayed
            .retain(|_, relayed| now.since(relayed.started) < self.settings.probe_period * 2);
        self.advance_probe(now);
        if self.probe.is_none() {
            self.start_probe(now);
        }
        if now >= self.next_contact_at {
            self.next_contact_at = now + self.settings.probe_period * CONTACT_INTERVAL;
            self.probe_contact(now);
        }
    }

    /// Asks other hosts to ping the probed host, or suspects it at the end of the probe period.
    fn advance_probe(&mut self, now: TimePoint) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        let elapsed = now.since(probe.started);
        let period = self.settings.probe_period;
        if probe.stage == ProbeStage::Direct && elapsed >= period.mul_f64(DIRECT_FRACTION) {
            self.probe_indirectly(&probe);
        }
        if elapsed < period {
            return;
        }
        self.probe = None;
        if probe.stage == ProbeStage::Answered {
            self.health_penalty = self.health_penalty.saturating_sub(1);
            return;
        }
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
        self.actions
            .push(MemberAction::Disconnect(probe.target.clone()));
        self.roster.suspect(&probe.target, now);
    }

    /// Asks a few hosts to ping the probed host.
    fn probe_indirectly(&mut self, probe: &MemberProbe) {
        if let Some(current) = &mut self.probe {
            current.stage = ProbeStage::Indirect;
        }
        let Some(address) = self.roster.address_of(&probe.target) else {
            return;
        };
        let helpers = self.roster.live_peers();
        let helpers = helpers.filter(|record| record.name != probe.target);
        let helpers = helpers.choose_multiple(&mut self.generator, INDIRECT_PROBES);
        let helpers: Vec<MemberRecord> = helpers.into_iter().cloned().collect();
        for helper in helpers {
            let body = MemberBody::PingRequest {
                sequence: probe.sequence,
                target: probe.target.clone(),
                address,
            };
            self.send_to(&helper, body);
        }
    }

    fn start_probe(&mut self, now: TimePoint) {
        self.probes += 1;
        let Some(target) = self.next_target() else {
            return;
        };
        let sequence = self.next_sequence();
        self.send_to(&target, MemberBody::Ping { sequence });
        // A dead host is not expected to answer, so no probe is tracked for it.
        if target.is_live() {
            self.probe = Some(MemberProbe {
                target: target.name,
                sequence,
                started: now,
                stage: ProbeStage::Direct,
            });
        }
    }

    /// Chooses the host to probe. Dead and suspected hosts get a fixed share of the probes.
    fn next_target(&mut self) -> Option<MemberRecord> {
        if self.probes.is_multiple_of(DEAD_PROBE_INTERVAL) {
            let dead = self.roster.with_status(MemberStatus::Dead);
            if let Some(record) = dead.choose(&mut self.generator) {
                return Some(record.clone());
            }
        }
        if self.probes.is_multiple_of(2) {
            let suspects = self.roster.with_status(MemberStatus::Suspect);
            if let Some(record) = suspects.choose(&mut self.generator) {
                return Some(record.clone());
            }
        }
        loop {
            let Some(name) = self.probe_order.pop() else {
                return self.reshuffle();
            };
            if let Some(record) = self.roster.live_peer(&name) {
                return Some(record.clone());
            }
        }
    }

    /// Shuffles the live hosts into a new probe order and takes one.
    fn reshuffle(&mut self) -> Option<MemberRecord> {
        let peers = self.roster.live_peers();
        let mut order: Vec<HostName> = peers.map(|record| record.name.clone()).collect();
        rand::seq::SliceRandom::shuffle(order.as_mut_slice(), &mut self.generator);
        let first = order.pop()?;
        self.probe_order = order;
        self.roster.live_peer(&first).cloned()
    }

    /// Pings one contact in another failure domain.
    fn probe_contact(&mut self, now: TimePoint) {
        self.roster.expire_contacts(now);
        let Some(contact) = self.roster.next_contact(&mut self.generator) else {
            return;
        };
        let sequence = self.next_sequence();
        self.send_to(&contact, MemberBody::Ping { sequence });
    }

    /// Applies the updates of a message and answers it.
    fn receive(&mut self, message: MemberMessage, now: TimePoint) {
        let MemberMessage {
            sender,
            body,
            updates,
        } = message;
        if sender.name == self.roster.own().name {
            return;
        }
        self.roster.apply(sender.clone(), now);
        for update in updates {
            self.roster.apply(update, now);
        }
        match body {
            MemberBody::Join => self.answer_join(&sender),
            MemberBody::Welcome | MemberBody::Gossip => {}
            MemberBody::Ping { sequence } => {
                let subject = self.roster.own().name.clone();
                self.send_to(&sender, MemberBody::Ack { sequence, subject });
            }
            MemberBody::PingRequest {
                sequence,
                target,
                address,
            } => self.relay_ping(&sender, sequence, target, address, now),
            MemberBody::Ack { sequence, subject } => {
                self.acknowledge(&sender, sequence, &subject, now);
            }
        }
    }

    /// Answers a join with the known hosts, in messages of bounded size.
    fn answer_join(&mut self, sender: &MemberRecord) {
        for updates in self.roster.welcome_chunks(sender, MAX_UPDATE_BYTES) {
            let message = MemberMessage {
                sender: self.roster.own().clone(),
                body: MemberBody::Welcome,
                updates,
            };
            self.actions
                .push(MemberAction::Send(target_of(sender), message));
        }
    }

    /// Pings a host at the request of another one.
    fn relay_ping(
        &mut self,
        sender: &MemberRecord,
        sequence: u64,
        target: HostName,
        address: SocketAddr,
        now: TimePoint,
    ) {
        if self.relayed.len() >= MAX_RELAYED {
            return;
        }
        let own_sequence = self.next_sequence();
        let relayed = RelayedPing {
            requester: sender.clone(),
            sequence,
            started: now,
        };
        self.relayed.insert(own_sequence, relayed);
        let target = PeerTarget {
            name: Some(target),
            address,
        };
        self.send(
            target,
            MemberBody::Ping {
                sequence: own_sequence,
            },
        );
    }

    /// Handles the acknowledgement of a ping, sent for this host or relayed for another.
    fn acknowledge(
        &mut self,
        sender: &MemberRecord,
        sequence: u64,
        subject: &HostName,
        now: TimePoint,
    ) {
        if let Some(relayed) = self.relayed.remove(&sequence) {
            let body = MemberBody::Ack {
                sequence: relayed.sequence,
                subject: subject.clone(),
            };
            self.send_to(&relayed.requester, body);
        }
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
            && probe.target == *subject
        {
            probe.stage = ProbeStage::Answered;
            self.roster.clear_suspicion(subject);
        }
        self.roster.touch_contact(&sender.name, now);
    }

    /// Sends a join to an address that may belong to an entry host.
    fn join(&mut self, address: SocketAddr) {
        if address == self.roster.own().address || self.roster.knows_live(address) {
            return;
        }
        let target = PeerTarget {
            name: None,
            address,
        };
        self.send(target, MemberBody::Join);
    }

    /// Marks this host as leaving and informs a few others.
    fn leave(&mut self) {
        self.roster.leave();
        let peers = self.roster.live_peers();
        let informed = peers.choose_multiple(&mut self.generator, LEAVE_FANOUT);
        let informed: Vec<MemberRecord> = informed.into_iter().cloned().collect();
        for record in informed {
            self.send_to(&record, MemberBody::Gossip);
        }
    }

    /// Sends a message to a known host, including any suspicion of that host, which it can then
    /// refute.
    fn send_to(&mut self, record: &MemberRecord, body: MemberBody) {
        let mut updates = self.take_updates();
        updates.extend(self.roster.suspicion_of(record));
        let message = MemberMessage {
            sender: self.roster.own().clone(),
            body,
            updates,
        };
        self.actions
            .push(MemberAction::Send(target_of(record), message));
    }

    /// Sends a message to an address, with pending updates.
    fn send(&mut self, target: PeerTarget, body: MemberBody) {
        let message = MemberMessage {
            sender: self.roster.own().clone(),
            body,
            updates: self.take_updates(),
        };
        self.actions.push(MemberAction::Send(target, message));
    }

    /// Takes the pending updates that the next message carries.
    fn take_updates(&mut self) -> Vec<MemberRecord> {
        self.roster.take_updates(MAX_UPDATE_BYTES)
    }

    /// Returns the next sequence number. Its lower half is random, so other hosts can't guess it.
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        (self.sequence << 32) | u64::from(self.generator.random::<u32>())
    }
}

/// Returns the target of messages to a known host.
fn target_of(record: &MemberRecord) -> PeerTarget {
    PeerTarget {
        name: Some(record.name.clone()),
        address: record.address,
    }
}
