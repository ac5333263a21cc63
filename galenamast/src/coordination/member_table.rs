//! Immutable snapshot of the entry hosts that an entry host knows.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::member_record::MemberRecord;
use crate::state::{DomainName, HostName};

/// Entry hosts of the local failure domain, and a few of each other failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberTable {
    /// Name of the host that holds the table.
    pub own: HostName,
    /// Failure domain of the host that holds the table.
    pub domain: DomainName,
    /// Hosts of the local failure domain, including the local host.
    pub members: BTreeMap<HostName, MemberRecord>,
    /// Known hosts of other failure domains.
    pub contacts: BTreeMap<HostName, MemberRecord>,
}

impl MemberTable {
    /// Finds a host by name, in any failure domain.
    pub fn find(&self, name: &HostName) -> Option<&MemberRecord> {
        self.members.get(name).or_else(|| self.contacts.get(name))
    }

    /// Returns the live hosts of the local failure domain, including the local host.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().filter(|record| record.is_live())
    }

    /// Estimates the number of hosts in all failure domains.
    ///
    /// Only a few hosts of other domains are known, so each domain is assumed to have as many live
    /// hosts as the local one.
    pub fn fleet_estimate(&self) -> usize {
        let contacts = self.contacts.values().filter(|record| record.is_live());
        let domains: BTreeSet<&DomainName> = contacts.map(|record| &record.domain).collect();
        self.live().count() * (1 + domains.len())
    }

    /// Returns the number of known live hosts in all failure domains.
    pub fn live_known(&self) -> usize {
        let contacts = self.contacts.values();
        self.live().count() + contacts.filter(|record| record.is_live()).count()
    }

    /// Returns the live hosts of the local failure domain without the local host.
    pub fn live_peers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.live().filter(|record| record.name != self.own)
    }

    /// Returns the live known hosts of a failure domain.
    pub fn live_in(&self, domain: &DomainName) -> Vec<&MemberRecord> {
        if *domain == self.domain {
            return self.live().collect();
        }
        let contacts = self.contacts.values();
        contacts
            .filter(|record| record.domain == *domain && record.is_live())
            .collect()
    }
}
