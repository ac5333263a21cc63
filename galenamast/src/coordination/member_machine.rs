//! Membership of a failure domain: probes, suspicion, refutation and a few contacts elsewhere.

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

/// Hosts that are asked to ping a host that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Share of the probe period after which others are asked to ping.
const DIRECT_SHARE: f64 = 0.4;
/// Greatest factor by which an unhealthy host slows its own verdicts, less one.
const MAX_UNHEALTH: u32 = 4;
/// Probes from one to the next that goes to a dead host, which finds out that a partition healed.
const DEAD_PROBE_INTERVAL: u64 = 5;
/// Probe periods from one message to a contact in another failure domain to the next.
const LINK_INTERVAL: u32 = 2;
/// Pings that are relayed at the same time.
const MAX_RELAYED: usize = 64;
/// Hosts that a leaving host tells directly.
const LEAVE_FANOUT: usize = 5;
/// Greatest size of the updates in one message, in bytes.
const MAX_UPDATE_BYTES: usize = 700;

/// Settings of the membership machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time between probes.
    pub probe_period: Duration,
    /// Time that a suspected host has to refute.
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

/// Machine that keeps the membership of one entry host.
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
    unhealth: u32,
    next_link: TimePoint,
    actions: Vec<MemberAction>,
}

impl MemberMachine {
    /// Creates the machine of a host that knows nobody yet.
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
            unhealth: 0,
            next_link: TimePoint::ZERO,
            actions: Vec::new(),
        }
    }

    /// Returns the hosts that the machine knows.
    pub fn table(&self) -> MemberTable {
        self.roster.table()
    }

    /// Reacts to an event.
    pub fn handle(&mut self, event: MemberEvent, now: TimePoint) -> Vec<MemberAction> {
        match event {
            MemberEvent::Tick => self.tick(now),
            MemberEvent::Received(message) => self.receive(message, now),
            MemberEvent::Contact(address) => self.contact(address),
            MemberEvent::Leave => self.leave(),
        }
        if self.roster.take_changed() {
            self.actions.push(MemberAction::Publish);
        }
        std::mem::take(&mut self.actions)
    }

    /// Goes on with the probe under way, the suspicions and the links.
    fn tick(&mut self, now: TimePoint) {
        let patience = self.settings.suspicion_time * (1 + self.unhealth);
        for name in self.roster.expire_suspects(patience, now) {
            self.actions.push(MemberAction::Disconnect(name));
        }
        self.relayed
            .retain(|_, relayed| now.since(relayed.started) < self.settings.probe_period * 2);
        self.advance_probe(now);
        if self.probe.is_none() {
            self.start_probe(now);
        }
        if now >= self.next_link {
            self.next_link = now + self.settings.probe_period * LINK_INTERVAL;
            self.probe_contact(now);
        }
    }

    /// Asks others to ping the probed host, or gives it up.
    fn advance_probe(&mut self, now: TimePoint) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        let elapsed = now.since(probe.started);
        let period = self.settings.probe_period;
        if probe.stage == ProbeStage::Direct && elapsed >= period.mul_f64(DIRECT_SHARE) {
            self.probe_indirectly(&probe);
        }
        if elapsed < period {
            return;
        }
        self.probe = None;
        if probe.stage == ProbeStage::Answered {
            self.unhealth = self.unhealth.saturating_sub(1);
            return;
        }
        self.unhealth = (self.unhealth + 1).min(MAX_UNHEALTH);
        self.actions
            .push(MemberAction::Disconnect(probe.target.clone()));
        self.roster.suspect(&probe.target, now);
    }

    /// Asks a few hosts to ping the probed one.
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

    /// Starts the next probe.
    fn start_probe(&mut self, now: TimePoint) {
        self.probes += 1;
        let Some(target) = self.next_target() else {
            return;
        };
        let sequence = self.next_sequence();
        self.send_to(&target, MemberBody::Ping { sequence });
        // A dead host need not answer, so that nothing is concluded from its silence.
        if target.is_live() {
            self.probe = Some(MemberProbe {
                target: target.name,
                sequence,
                started: now,
                stage: ProbeStage::Direct,
            });
        }
    }

    /// Chooses the host to probe: suspects and dead ones in turn with all others.
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
                return self.renew_order();
            };
            if let Some(record) = self.roster.live_peer(&name) {
                return Some(record.clone());
            }
        }
    }

    /// Shuffles the live hosts into a new order and takes the first.
    fn renew_order(&mut self) -> Option<MemberRecord> {
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

    /// Handles a message.
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
            MemberBody::Join => self.welcome(&sender),
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

    /// Answers a join with the hosts that are known, in messages of bounded size.
    fn welcome(&mut self, sender: &MemberRecord) {
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

    /// Pings a host for another one.
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

    /// Handles the acknowledgement of an own or a relayed ping.
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

    /// Sends a join to an address that may be that of an entry host.
    fn contact(&mut self, address: SocketAddr) {
        if address == self.roster.own().address || self.roster.knows_live(address) {
            return;
        }
        let target = PeerTarget {
            name: None,
            address,
        };
        self.send(target, MemberBody::Join);
    }

    /// Tells a few hosts that the host leaves.
    fn leave(&mut self) {
        self.roster.leave();
        let peers = self.roster.live_peers();
        let told = peers.choose_multiple(&mut self.generator, LEAVE_FANOUT);
        let told: Vec<MemberRecord> = told.into_iter().cloned().collect();
        for record in told {
            self.send_to(&record, MemberBody::Gossip);
        }
    }

    /// Sends a message to a known host, with what is said about that host itself.
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

    /// Sends a message to an address.
    fn send(&mut self, target: PeerTarget, body: MemberBody) {
        let message = MemberMessage {
            sender: self.roster.own().clone(),
            body,
            updates: self.take_updates(),
        };
        self.actions.push(MemberAction::Send(target, message));
    }

    /// Takes the news that the next message carries.
    fn take_updates(&mut self) -> Vec<MemberRecord> {
        self.roster.take_updates(MAX_UPDATE_BYTES)
    }

    /// Returns the next sequence number, which is hard to guess for anyone else.
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        (self.sequence << 32) | u64::from(self.generator.random::<u32>())
    }
}

/// Returns where a message to a known host goes.
fn target_of(record: &MemberRecord) -> PeerTarget {
    PeerTarget {
        name: Some(record.name.clone()),
        address: record.address,
    }
}
