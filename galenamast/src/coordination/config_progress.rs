//! Tracks which configuration generation is in force in each failure domain.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::config_freshness::ConfigFreshness;
use crate::coordination::config_notice::{ConfigProbe, DomainProgress};
use crate::coordination::member_table::MemberTable;
use crate::state::{ConfigGeneration, DomainName, HostName, TimePoint};

/// Time after which a host's report is dropped.
const REPORT_LIFETIME: Duration = Duration::from_secs(15);
/// Largest number of lagging hosts that are named per failure domain.
const MAX_NAMED_HOSTS: usize = 8;
/// Largest number of failure domains whose progress is tracked and sent in one notice.
const MAX_DOMAINS: usize = 16;

/// Generation that a host reported, and when.
#[derive(Clone, Copy, Debug)]
struct HostReport {
    generation: ConfigGeneration,
    received_at: TimePoint,
}

/// Generations in force on the hosts of the local failure domain, and progress of all failure
/// domains.
#[derive(Clone, Debug, Default)]
pub struct ProgressTable {
    hosts: BTreeMap<HostName, HostReport>,
    domains: BTreeMap<DomainName, (DomainProgress, ConfigFreshness)>,
}

impl ProgressTable {
    /// Records the generation that a host of the local failure domain reported.
    pub fn report(&mut self, host: &HostName, probe: &ConfigProbe, now: TimePoint) {
        let report = HostReport {
            generation: probe.generation,
            received_at: now,
        };
        self.hosts.insert(host.clone(), report);
    }

    /// Merges progress received from another host. The newer entry for each failure domain is kept.
    pub fn merge(&mut self, domain_progress: Vec<DomainProgress>, now: TimePoint) {
        for progress in domain_progress {
            let freshness = ConfigFreshness::new(now, progress.age);
            let known = self.domains.get(&progress.domain);
            let newer = known.is_none_or(|(_, known)| known.fresher(freshness) != *known);
            let has_room = known.is_some() || self.domains.len() < MAX_DOMAINS;
            if newer && has_room {
                self.domains
                    .insert(progress.domain.clone(), (progress, freshness));
            }
        }
    }

    /// Updates the progress of the local failure domain from its hosts' reports.
    ///
    /// `own` is the generation in force on this host.
    pub fn summarize(&mut self, table: &MemberTable, own: ConfigGeneration, now: TimePoint) {
        self.hosts
            .retain(|_, report| now.since(report.received_at) < REPORT_LIFETIME);
        let generation_of = |name: &HostName| {
            if *name == table.own {
                return own;
            }
            let report = self.hosts.get(name);
            report.map_or(ConfigGeneration::default(), |report| report.generation)
        };
        let live_hosts = || table.live().map(|record| &record.name);
        let lowest = live_hosts().map(generation_of).min().unwrap_or(own);
        let behind = live_hosts().filter(|name| lowest < own && generation_of(name) == lowest);
        let progress = DomainProgress {
            domain: table.domain.clone(),
            hosts: u32::try_from(live_hosts().count()).unwrap_or(u32::MAX),
            lowest,
            behind: behind.take(MAX_NAMED_HOSTS).cloned().collect(),
            age: Duration::ZERO,
        };
        let freshness = ConfigFreshness::new(now, Duration::ZERO);
        self.domains
            .insert(table.domain.clone(), (progress, freshness));
    }

    /// Returns the known progress of each failure domain, with its present age.
    pub fn domain_progress(&self, now: TimePoint) -> Vec<DomainProgress> {
        let domains = self.domains.values();
        let aged = domains.map(|(progress, freshness)| DomainProgress {
            age: freshness.age_at(now),
            ..progress.clone()
        });
        aged.collect()
    }
}
