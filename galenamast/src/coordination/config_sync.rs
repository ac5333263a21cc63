//! Keeps a host's configuration at the newest generation and tracks how fresh it is.
//!
//! A few hosts of each failure domain watch the platform's head. The other hosts learn of new
//! generations by probing the watchers and from announcements, and read the head themselves only
//! when the configuration has not been confirmed for some time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::coordination::config_candidate::ConfigCandidate;
use crate::coordination::config_check::check_image;
use crate::coordination::config_documents::{EncodedObject, ObjectDigest, assemble_image};
use crate::coordination::config_event::{ConfigAction, ConfigEvent, ConfigSource};
use crate::coordination::config_freshness::ConfigFreshness;
use crate::coordination::config_notice::{
    ConfigEntries, ConfigNotice, ConfigProbe, DomainProgress,
};
use crate::coordination::config_progress::ProgressTable;
use crate::coordination::config_store::ConfigStore;
use crate::coordination::member_table::MemberTable;
use crate::coordination::rendezvous::rank_hosts;
use crate::state::{ConfigGeneration, HostName, TimePoint};

/// Name by which hosts are ranked to choose the watchers.
const WATCH_TASK: &str = "config-watch";
/// Consecutive failed probes after which any host is probed instead of a watcher.
const FAILURES_TO_WIDEN: u32 = 2;
/// Mean number of hosts of a failure domain that read the head in a probe period while the
/// configuration is stale.
const FALLBACK_READERS: f64 = 4.0;
/// Time after which a fetch that failed at every source is restarted.
const FETCH_RETRY: Duration = Duration::from_secs(1);
/// Time after which a fetch without a response is abandoned or restarted.
const FETCH_TIMEOUT: Duration = Duration::from_secs(15);

/// Settings of [`ConfigSync`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigSyncSettings {
    /// Number of hosts per failure domain that watch the platform's head.
    pub watchers: usize,
    /// Mean time between probes.
    pub probe_period: Duration,
    /// Age of the configuration above which hosts other than the watchers read the head themselves.
    pub fallback_age: Duration,
}

impl Default for ConfigSyncSettings {
    fn default() -> Self {
        Self {
            watchers: 2,
            probe_period: Duration::from_secs(2),
            fallback_age: Duration::from_secs(6),
        }
    }
}

/// A newer generation that another host offered and whose entries were requested.
#[derive(Clone, Debug)]
struct ConfigOffer {
    generation: ConfigGeneration,
    host: HostName,
    confirmed: ConfigFreshness,
    since: TimePoint,
}

/// State machine that synchronises the configuration of one entry host, without I/O.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    settings: ConfigSyncSettings,
    store: ConfigStore,
    confirmed: Option<ConfigFreshness>,
    table: Arc<MemberTable>,
    progress_table: ProgressTable,
    offer: Option<ConfigOffer>,
    candidate: Option<ConfigCandidate>,
    rejected: ConfigGeneration,
    watching: bool,
    next_probe: TimePoint,
    probes: u64,
    failures: u32,
    generator: ChaCha8Rng,
    actions: Vec<ConfigAction>,
}

impl ConfigSync {
    /// Creates the machine of a host that has no configuration yet.
    ///
    /// `seed` determines its random choices.
    pub fn new(settings: ConfigSyncSettings, table: Arc<MemberTable>, seed: u64) -> Self {
        Self {
            settings,
            store: ConfigStore::default(),
            confirmed: None,
            table,
            progress_table: ProgressTable::default(),
            offer: None,
            candidate: None,
            rejected: ConfigGeneration::default(),
            watching: false,
            next_probe: TimePoint::ZERO,
            probes: 0,
            failures: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Returns the generation in force.
    pub fn generation(&self) -> ConfigGeneration {
        self.store.generation
    }

    /// Returns the time since the generation in force was confirmed to be the newest.
    ///
    /// Without a configuration, it is `u32::MAX` seconds.
    pub fn age(&self, now: TimePoint) -> Duration {
        let confirmed = self.confirmed.map(|confirmed| confirmed.age_at(now));
        confirmed.unwrap_or(Duration::from_secs(u64::from(u32::MAX)))
    }

    /// Returns the known progress of each failure domain.
    pub fn domain_progress(&self, now: TimePoint) -> Vec<DomainProgress> {
        self.progress_table.domain_progress(now)
    }

    /// Answers a probe from another host.
    pub fn answer_probe(
        &mut self,
        host: &HostName,
        probe: &ConfigProbe,
        now: TimePoint,
    ) -> ConfigNotice {
        if self.table.members.contains_key(host) {
            self.progress_table.report(host, probe, now);
        }
        ConfigNotice {
            generation: self.store.generation,
            age: self.age(now),
            domain_progress: self.progress_table.domain_progress(now),
        }
    }

    /// Answers a request for the entries that changed since a generation.
    pub fn answer_entries(&self, since: ConfigGeneration) -> ConfigEntries {
        self.store.entries_since(since)
    }

    /// Answers a request for objects, with as many as fit into `max_bytes`.
    pub fn answer_objects(&self, digests: &[ObjectDigest], max_bytes: usize) -> Vec<EncodedObject> {
        self.store.find(digests, max_bytes)
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, event: ConfigEvent, now: TimePoint) -> Vec<ConfigAction> {
        match event {
            ConfigEvent::Tick => self.tick(now),
            ConfigEvent::Members(table) => {
                self.table = table;
                self.choose_watchers();
            }
            ConfigEvent::HeadRead {
                generation,
                entries,
                confirmed,
            } => {
                let confirmed = ConfigFreshness::new(confirmed, Duration::ZERO);
                self.head_read(generation, entries, confirmed, now);
            }
            ConfigEvent::HeadUnchanged {
                generation,
                confirmed,
            } => self.confirm(generation, ConfigFreshness::new(confirmed, Duration::ZERO)),
            ConfigEvent::GenerationAnnounced(host, generation) => {
                // The age of an announcement is unknown, so it triggers a probe and confirms
                // nothing.
                if generation > self.store.generation && self.table.find(&host).is_some() {
                    self.probe(host);
                } else if generation > self.store.generation {
                    self.next_probe = now;
                }
            }
            ConfigEvent::Probed(host, notice, sent) => self.probed(host, notice, sent, now),
            ConfigEvent::ProbeFailed(_) => self.failures = self.failures.saturating_add(1),
            ConfigEvent::EntriesArrived(host, entries) => {
                self.entries_arrived(&host, &entries, now);
            }
            ConfigEvent::ObjectsArrived(source, objects) => {
                if self.store.insert(objects) {
                    self.advance(Some(source), now);
                } else {
                    self.advance(None, now);
                }
            }
            ConfigEvent::FetchFailed(_) => {
                self.offer = None;
                self.advance(None, now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Restarts failed fetches, probes another host when that is due, and reads the head if it is
    /// stale.
    fn tick(&mut self, now: TimePoint) {
        self.choose_watchers();
        if self.watching {
            self.progress_table
                .summarize(&self.table, self.store.generation, now);
        }
        self.retry_fetch(now);
        if now < self.next_probe {
            return;
        }
        let jitter = self.generator.random_range(0.8..1.2);
        self.next_probe = now + self.settings.probe_period.mul_f64(jitter);
        self.probes += 1;
        if let Some(host) = self.probe_target(now) {
            self.probe(host);
        }
        let live = self.table.live().count().max(1) as f64;
        let chance = (FALLBACK_READERS / live).min(1.0);
        let stale = self.age(now) > self.settings.fallback_age;
        if stale && !self.watching && self.generator.random_bool(chance) {
            self.actions.push(ConfigAction::ReadHead);
        }
    }

    /// Drops an offer without a response, and restarts a failed or unanswered fetch of objects.
    fn retry_fetch(&mut self, now: TimePoint) {
        let expired = |since: TimePoint| now.since(since) > FETCH_TIMEOUT;
        if self
            .offer
            .as_ref()
            .is_some_and(|offer| expired(offer.since))
        {
            self.offer = None;
        }
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        let due = candidate.retry_at.is_some_and(|at| now >= at);
        if due || expired(candidate.since) {
            candidate.reset(now);
            self.advance(None, now);
        }
    }

    /// Starts or stops watching if this host became or ceased to be a watcher of its failure
    /// domain.
    fn choose_watchers(&mut self) {
        let watching = self.watchers().contains(&self.table.own);
        if watching != self.watching {
            self.watching = watching;
            self.actions.push(ConfigAction::Watch(watching));
        }
    }

    /// Returns the watchers of the local failure domain.
    fn watchers(&self) -> Vec<HostName> {
        let live = self.table.live().map(|record| &record.name);
        let mut ranked = rank_hosts(WATCH_TASK, live);
        ranked.truncate(self.settings.watchers);
        ranked
    }

    /// Chooses the host to probe.
    ///
    /// It is a watcher, or any host if probes failed or the configuration is stale. In that case,
    /// and if this host is a watcher, every second probe goes to another failure domain.
    fn probe_target(&mut self, now: TimePoint) -> Option<HostName> {
        let own = self.table.own.clone();
        let stale = self.age(now) > self.settings.fallback_age;
        let widen = self.failures >= FAILURES_TO_WIDEN || stale;
        let watchers = self.watchers();
        let others = watchers.iter().filter(|name| **name != own);
        let contacts = self.table.contacts.values();
        let contacts = contacts.filter(|record| record.is_live());
        if (self.watching || widen) && self.probes.is_multiple_of(2) {
            let contact = contacts.choose(&mut self.generator);
            if let Some(record) = contact {
                return Some(record.name.clone());
            }
        }
        if widen {
            let peer = self.table.live_peers().choose(&mut self.generator);
            return peer.map(|record| record.name.clone());
        }
        others.choose(&mut self.generator).cloned()
    }

    fn probe(&mut self, host: HostName) {
        // The receiver does not use this age; freshness is only taken from replies.
        let probe = ConfigProbe {
            generation: self.store.generation,
            age: Duration::ZERO,
        };
        self.actions.push(ConfigAction::Probe(host, probe));
    }

    /// Handles the platform's head.
    fn head_read(
        &mut self,
        generation: ConfigGeneration,
        entries: BTreeMap<String, ObjectDigest>,
        confirmed: ConfigFreshness,
        now: TimePoint,
    ) {
        if generation < self.store.generation {
            self.actions
                .push(ConfigAction::ReportRegression(generation));
            return;
        }
        if generation == self.store.generation {
            self.confirm(generation, confirmed);
            return;
        }
        self.start_candidate(generation, entries, ConfigSource::Platform, confirmed, now);
    }

    /// Handles the answer to a probe that was sent at `sent`.
    fn probed(&mut self, host: HostName, notice: ConfigNotice, sent: TimePoint, now: TimePoint) {
        self.failures = 0;
        self.progress_table.merge(notice.domain_progress, now);
        // The reply was written after the probe was sent, so counting its age from the sending time
        // never underestimates the present age.
        let confirmed = ConfigFreshness::new(sent, notice.age);
        self.confirm(notice.generation, confirmed);
        let wanted = notice.generation > self.store.generation
            && notice.generation > self.rejected
            && self
                .candidate
                .as_ref()
                .is_none_or(|candidate| candidate.generation < notice.generation)
            && self
                .offer
                .as_ref()
                .is_none_or(|offer| offer.generation < notice.generation);
        if wanted {
            self.offer = Some(ConfigOffer {
                generation: notice.generation,
                host: host.clone(),
                confirmed,
                since: now,
            });
            let since = self.store.generation;
            self.actions.push(ConfigAction::FetchEntries(host, since));
        }
    }

    /// Records that a generation was confirmed to be the newest, if it is the one in force.
    fn confirm(&mut self, generation: ConfigGeneration, confirmed: ConfigFreshness) {
        if generation != ConfigGeneration::default() && generation == self.store.generation {
            let fresher = self.confirmed.map(|known| known.fresher(confirmed));
            self.confirmed = Some(fresher.unwrap_or(confirmed));
        }
    }

    /// Handles entries from another host that were requested for an offer.
    fn entries_arrived(&mut self, host: &HostName, entries: &ConfigEntries, now: TimePoint) {
        let Some(offer) = self.offer.take_if(|offer| offer.host == *host) else {
            return;
        };
        let Some(applied) = self.store.apply(entries) else {
            return;
        };
        // The entries may be of a later generation than the offered one, which nobody has
        // confirmed.
        let source = ConfigSource::Peer(host.clone());
        self.start_candidate(entries.generation, applied, source, offer.confirmed, now);
    }

    /// Starts fetching a configuration if it is newer than all known and rejected ones.
    fn start_candidate(
        &mut self,
        generation: ConfigGeneration,
        entries: BTreeMap<String, ObjectDigest>,
        source: ConfigSource,
        confirmed: ConfigFreshness,
        now: TimePoint,
    ) {
        let current = self
            .candidate
            .as_ref()
            .map(|candidate| candidate.generation);
        let newest = self.store.generation.max(self.rejected);
        if generation <= newest.max(current.unwrap_or_default()) {
            return;
        }
        let candidate = ConfigCandidate::new(generation, entries, source, confirmed, now);
        self.candidate = Some(candidate);
        self.advance(None, now);
    }

    /// Adopts the candidate if all its objects are held, or requests the missing ones.
    ///
    /// They are requested from `preferred`, if given, or else from the next source.
    fn advance(&mut self, preferred: Option<ConfigSource>, now: TimePoint) {
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        let missing = self.store.missing(&candidate.entries);
        if missing.is_empty() {
            self.adopt();
            return;
        }
        let source = preferred
            .or_else(|| candidate.next_source(missing.len(), &self.table, &mut self.generator));
        match source {
            Some(source) => {
                candidate.since = now;
                let digests = missing.into_iter().collect();
                self.actions
                    .push(ConfigAction::FetchObjects(source, digests));
            }
            None => candidate.retry_at = Some(now + FETCH_RETRY),
        }
    }

    /// Validates the candidate and puts it into force, or rejects its generation.
    fn adopt(&mut self) {
        let Some(candidate) = self.candidate.take() else {
            return;
        };
        let objects = self.store.objects_of(&candidate.entries);
        let decoded: Result<Vec<_>, _> = objects.iter().map(EncodedObject::decode).collect();
        let Ok(decoded) = decoded else {
            self.rejected = candidate.generation;
            return;
        };
        let image = assemble_image(candidate.generation, decoded);
        let errors = check_image(&image);
        if !errors.is_empty() {
            self.rejected = candidate.generation;
            let report = ConfigAction::ReportInvalid(candidate.generation, errors);
            self.actions.push(report);
            return;
        }
        self.store.adopt(candidate.generation, candidate.entries);
        self.confirmed = Some(candidate.confirmed);
        self.actions.push(ConfigAction::Adopt(Arc::new(image)));
        self.actions
            .push(ConfigAction::Announce(candidate.generation));
    }
}
