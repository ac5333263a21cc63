//! Records of the membership machine, and the rules by which updates change them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::coordination::member_record::{MemberRecord, MemberStatus};
use crate::coordination::member_table::MemberTable;
use crate::coordination::update_queue::UpdateQueue;
use crate::state::{DomainName, HostName, TimePoint};

/// Time after which the record of a dead host, or of one that left, is removed.
const RECLAIM_TIME: Duration = Duration::from_secs(600);
/// Number of contacts kept in each other failure domain.
const CONTACTS_PER_DOMAIN: usize = 4;
/// Time without an answer after which a contact may be replaced.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest number of other hosts of the local failure domain that are kept.
const MAX_MEMBERS: usize = 1_024;
/// Number of hosts of the local failure domain sent to a joining host of another failure domain.
const WELCOME_CONTACTS: usize = 4;

/// A record with the time of its last change or answer.
#[derive(Clone, Debug)]
struct RosterEntry {
    record: MemberRecord,
    since: TimePoint,
}

/// Known hosts, and the updates about them that are still to be forwarded.
#[derive(Clone, Debug)]
pub struct MemberRoster {
    own: MemberRecord,
    members: BTreeMap<HostName, RosterEntry>,
    contacts: BTreeMap<HostName, RosterEntry>,
    queue: UpdateQueue,
    changed: bool,
}

impl MemberRoster {
    /// Creates the roster of a host that knows no other hosts yet.
    pub fn new(own: MemberRecord) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            contacts: BTreeMap::new(),
            queue: UpdateQueue::default(),
            changed: true,
        }
    }

    /// Returns the record of the local host.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns whether the table changed since the last call, and resets the flag.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns a copy of the known hosts, including the local one.
    pub fn table(&self) -> MemberTable {
        let copy = |(name, entry): (&HostName, &RosterEntry)| (name.clone(), entry.record.clone());
        let mut members: BTreeMap<HostName, MemberRecord> = self.members.iter().map(copy).collect();
        members.insert(self.own.name.clone(), self.own.clone());
        MemberTable {
            own: self.own.name.clone(),
            domain: self.own.domain.clone(),
            members,
            contacts: self.contacts.iter().map(copy).collect(),
        }
    }

    /// Returns the live hosts of the local failure domain without the local host.
    pub fn live_peers(&self) -> impl Iterator<Item = &MemberRecord> {
        let records = self.members.values().map(|entry| &entry.record);
        records.filter(|record| record.is_live())
    }

    /// Finds a live host of the local failure domain.
    pub fn live_peer(&self, name: &HostName) -> Option<&MemberRecord> {
        let record = &self.members.get(name)?.record;
        record.is_live().then_some(record)
    }

    /// Returns the hosts of the local failure domain with a status.
    pub fn with_status(&self, status: MemberStatus) -> impl Iterator<Item = &MemberRecord> {
        let records = self.members.values().map(|entry| &entry.record);
        records.filter(move |record| record.status == status)
    }

    /// Returns the address of a host of the local failure domain.
    pub fn address_of(&self, name: &HostName) -> Option<SocketAddr> {
        self.members.get(name).map(|entry| entry.record.address)
    }

    /// Returns whether a live host has this address.
    pub fn knows_live(&self, address: SocketAddr) -> bool {
        let entries = self.members.values().chain(self.contacts.values());
        let mut records = entries.map(|entry| &entry.record);
        records.any(|record| record.address == address && record.is_live())
    }

    /// Applies a record received from another host.
    pub fn apply(&mut self, update: MemberRecord, now: TimePoint) {
        if update.name == self.own.name {
            self.refute(&update);
            return;
        }
        if update.domain != self.own.domain {
            self.apply_contact(update, now);
            return;
        }
        // Each host declares others dead only by its own probes, so a reported death is a
        // suspicion.
        let mut update = update;
        if update.status == MemberStatus::Dead {
            update.status = MemberStatus::Suspect;
        }
        match self.members.get(&update.name) {
            Some(entry) if !update.supersedes(&entry.record) => return,
            Some(_) => {}
            None if update.status == MemberStatus::Left => return,
            None if self.members.len() >= MAX_MEMBERS => return,
            None => {}
        }
        self.store(update, now);
    }

    /// Refutes a suspicion of the local host by raising its incarnation.
    fn refute(&mut self, update: &MemberRecord) {
        let leaving = self.own.status == MemberStatus::Left;
        if leaving || !update.supersedes(&self.own) {
            return;
        }
        self.own.incarnation = update.incarnation + 1;
        self.changed = true;
        self.queue.push(self.own.name.clone(), self.members.len());
    }

    /// Stores a record of the local failure domain and queues it for forwarding.
    fn store(&mut self, record: MemberRecord, now: TimePoint) {
        self.queue.push(record.name.clone(), self.members.len());
        let name = record.name.clone();
        self.members
            .insert(name, RosterEntry { record, since: now });
        self.changed = true;
    }

    /// Applies a record of another failure domain.
    fn apply_contact(&mut self, update: MemberRecord, now: TimePoint) {
        if !update.is_live() {
            self.changed |= self.contacts.remove(&update.name).is_some();
            return;
        }
        if let Some(entry) = self.contacts.get_mut(&update.name) {
            if update.incarnation > entry.record.incarnation {
                entry.record = update;
                self.changed = true;
            }
            return;
        }
        self.make_room(&update.domain);
        if self.contacts_in(&update.domain).count() < CONTACTS_PER_DOMAIN {
            let name = update.name.clone();
            let entry = RosterEntry {
                record: update,
                since: now,
            };
            self.contacts.insert(name, entry);
            self.changed = true;
        }
    }

    /// Returns the contacts in a failure domain.
    fn contacts_in(&self, domain: &DomainName) -> impl Iterator<Item = &MemberRecord> {
        let records = self.contacts.values().map(|entry| &entry.record);
        records.filter(move |record| record.domain == *domain)
    }

    /// Removes a contact that does not answer if a failure domain has the maximum number of
    /// contacts.
    fn make_room(&mut self, domain: &DomainName) {
        if self.contacts_in(domain).count() < CONTACTS_PER_DOMAIN {
            return;
        }
        let mut contacts = self.contacts_in(domain);
        let silent = contacts.find(|record| !record.is_live());
        let silent = silent.map(|record| record.name.clone());
        drop(contacts);
        if let Some(name) = silent {
            self.contacts.remove(&name);
            self.changed = true;
        }
    }

    /// Marks a host that did not answer as suspected, if it was alive.
    pub fn suspect(&mut self, name: &HostName, now: TimePoint) {
        let Some(entry) = self.members.get(name) else {
            return;
        };
        if entry.record.status == MemberStatus::Alive {
            let mut record = entry.record.clone();
            record.status = MemberStatus::Suspect;
            self.store(record, now);
        }
    }

    /// Clears the suspicion of a host that answered.
    pub fn clear_suspicion(&mut self, name: &HostName) {
        if let Some(entry) = self.members.get_mut(name)
            && entry.record.status == MemberStatus::Suspect
        {
            entry.record.status = MemberStatus::Alive;
            self.changed = true;
        }
    }

    /// Declares suspects dead that did not refute in time, and returns them.
    ///
    /// Also removes hosts that died or left more than `RECLAIM_TIME` ago.
    pub fn expire_suspects(&mut self, suspicion_time: Duration, now: TimePoint) -> Vec<HostName> {
        let mut expired_hosts = Vec::new();
        for (name, entry) in &mut self.members {
            let expired = now.since(entry.since) >= suspicion_time;
            if entry.record.status == MemberStatus::Suspect && expired {
                entry.record.status = MemberStatus::Dead;
                entry.since = now;
                expired_hosts.push(name.clone());
            }
        }
        let before = self.members.len();
        self.members
            .retain(|_, entry| entry.record.is_live() || now.since(entry.since) < RECLAIM_TIME);
        self.changed |= !expired_hosts.is_empty() || self.members.len() != before;
        expired_hosts
    }

    /// Marks the local host as leaving.
    pub fn leave(&mut self) {
        self.own.status = MemberStatus::Left;
        self.changed = true;
    }

    /// Returns the record that a host has to refute, if it is not considered alive.
    pub fn suspicion_of(&self, record: &MemberRecord) -> Option<MemberRecord> {
        let entry = self.members.get(&record.name)?;
        (entry.record.status != MemberStatus::Alive).then(|| entry.record.clone())
    }

    /// Takes the updates that the next message carries, as many as fit into `max_bytes`.
    pub fn take_updates(&mut self, max_bytes: usize) -> Vec<MemberRecord> {
        let members = &self.members;
        let own = &self.own;
        let find = |name: &HostName| {
            if *name == own.name {
                return Some(own);
            }
            members.get(name).map(|entry| &entry.record)
        };
        let names = self.queue.take(max_bytes, |name| {
            let record = find(name)?;
            // Deaths are not forwarded, only the suspicions before them.
            (record.status != MemberStatus::Dead).then(|| record.encoded_bound())
        });
        names.iter().filter_map(find).cloned().collect()
    }

    /// Returns the records to send to a joining host, in chunks of at most `max_bytes`.
    pub fn welcome_chunks(
        &self,
        sender: &MemberRecord,
        max_bytes: usize,
    ) -> Vec<Vec<MemberRecord>> {
        let same_domain = sender.domain == self.own.domain;
        let limit = if same_domain {
            MAX_MEMBERS
        } else {
            WELCOME_CONTACTS
        };
        let members = self.live_peers().take(limit);
        let contacts = self.contacts.values().map(|entry| &entry.record);
        let suspicion = self.suspicion_of(sender);
        let mut chunks = vec![Vec::new()];
        let mut bytes = 0;
        let records = suspicion
            .into_iter()
            .chain(members.chain(contacts).cloned());
        for record in records {
            bytes += record.encoded_bound();
            if bytes > max_bytes {
                chunks.push(Vec::new());
                bytes = record.encoded_bound();
            }
            if let Some(chunk) = chunks.last_mut() {
                chunk.push(record);
            }
        }
        chunks
    }

    /// Records that a contact answered.
    pub fn touch_contact(&mut self, name: &HostName, now: TimePoint) {
        if let Some(entry) = self.contacts.get_mut(name) {
            entry.since = now;
            self.changed |= entry.record.status != MemberStatus::Alive;
            entry.record.status = MemberStatus::Alive;
        }
    }

    /// Marks contacts that do not answer as dead, and removes them if their domain has others that
    /// do.
    pub fn expire_contacts(&mut self, now: TimePoint) {
        let mut answering: BTreeSet<DomainName> = BTreeSet::new();
        for entry in self.contacts.values_mut() {
            if now.since(entry.since) < CONTACT_TIMEOUT {
                answering.insert(entry.record.domain.clone());
            } else if entry.record.status == MemberStatus::Alive {
                entry.record.status = MemberStatus::Dead;
                self.changed = true;
            }
        }
        let before = self.contacts.len();
        self.contacts
            .retain(|_, entry| entry.record.is_live() || !answering.contains(&entry.record.domain));
        self.changed |= self.contacts.len() != before;
    }

    /// Chooses a random contact. All failure domains are equally likely.
    pub fn next_contact(&self, generator: &mut impl Rng) -> Option<MemberRecord> {
        let records = || self.contacts.values().map(|entry| &entry.record);
        let domains: BTreeSet<&DomainName> = records().map(|record| &record.domain).collect();
        let domain = domains.into_iter().choose(generator)?;
        let candidates = records().filter(|record| record.domain == *domain);
        candidates.choose(generator).cloned()
    }
}
