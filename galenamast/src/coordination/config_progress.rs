//! Where a generation of the configuration is in force.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::config_freshness::ConfigFreshness;
use crate::coordination::config_notice::{ConfigProbe, DomainProgress};
use crate::coordination::member_table::MemberTable;
use crate::state::{ConfigGeneration, DomainName, HostName, TimePoint};

/// Time after which what a host told is no longer counted.
const REPORT_LIFETIME: Duration = Duration::from_secs(15);
/// Hosts behind that are named.
const MAX_NAMED: usize = 8;
/// Failure domains that are told of in one notice.
const MAX_DOMAINS: usize = 16;

/// What a host told of its configuration.
#[derive(Clone, Copy, Debug)]
struct HostReport {
    generation: ConfigGeneration,
    at: TimePoint,
}

/// Collects which generation each host and failure domain serves by.
#[derive(Clone, Debug, Default)]
pub struct ProgressTable {
    hosts: BTreeMap<HostName, HostReport>,
    domains: BTreeMap<DomainName, (DomainProgress, ConfigFreshness)>,
}

impl ProgressTable {
    /// Takes in what a host of the own failure domain told.
    pub fn report(&mut self, host: &HostName, probe: &ConfigProbe, now: TimePoint) {
        let report = HostReport {
            generation: probe.generation,
            at: now,
        };
        self.hosts.insert(host.clone(), report);
    }

    /// Takes in what another host found out of failure domains.
    pub fn merge(&mut self, domain_progress: Vec<DomainProgress>, now: TimePoint) {
        for reach in domain_progress {
            let found = ConfigFreshness::new(now, reach.age);
            let known = self.domains.get(&reach.domain);
            let newer = known.is_none_or(|(_, known)| known.fresher(found) != *known);
            let room = known.is_some() || self.domains.len() < MAX_DOMAINS;
            if newer && room {
                self.domains.insert(reach.domain.clone(), (reach, found));
            }
        }
    }

    /// Summarises the own failure domain from what its hosts told.
    pub fn summarize(&mut self, table: &MemberTable, own: ConfigGeneration, now: TimePoint) {
        self.hosts
            .retain(|_, report| now.since(report.at) < REPORT_LIFETIME);
        let generation_of = |name: &HostName| {
            if *name == table.own {
                return own;
            }
            let report = self.hosts.get(name);
            report.map_or(ConfigGeneration::default(), |report| report.generation)
        };
        let live = || table.live().map(|record| &record.name);
        let lowest = live().map(generation_of).min().unwrap_or(own);
        let behind = live().filter(|name| lowest < own && generation_of(name) == lowest);
        let reach = DomainProgress {
            domain: table.domain.clone(),
            hosts: u32::try_from(live().count()).unwrap_or(u32::MAX),
            lowest,
            behind: behind.take(MAX_NAMED).cloned().collect(),
            age: Duration::ZERO,
        };
        let found = ConfigFreshness::new(now, Duration::ZERO);
        self.domains.insert(table.domain.clone(), (reach, found));
    }

    /// Returns what is known of each failure domain, with its present age.
    pub fn domain_progress(&self, now: TimePoint) -> Vec<DomainProgress> {
        let domains = self.domains.values();
        let aged = domains.map(|(reach, found)| DomainProgress {
            age: found.age_at(now),
            ..reach.clone()
        });
        aged.collect()
    }
}
