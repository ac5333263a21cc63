//! A newer configuration whose objects are being fetched, and the order of sources to ask for them.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::coordination::config_documents::ObjectDigest;
use crate::coordination::config_event::ConfigSource;
use crate::coordination::config_freshness::ConfigFreshness;
use crate::coordination::member_table::MemberTable;
use crate::state::{ConfigGeneration, HostName, TimePoint};

/// Largest number of missing objects for which the platform, if it provided the head, is asked
/// first.
const FEW_OBJECTS: usize = 4;
/// Largest number of hosts that are asked for objects before the platform.
const MAX_PEERS_TRIED: usize = 3;

/// A newer configuration whose objects are being fetched.
#[derive(Clone, Debug)]
pub(crate) struct ConfigCandidate {
    pub(crate) generation: ConfigGeneration,
    pub(crate) entries: BTreeMap<String, ObjectDigest>,
    pub(crate) confirmed: ConfigFreshness,
    pub(crate) since: TimePoint,
    pub(crate) retry_at: Option<TimePoint>,
    source: ConfigSource,
    tried: BTreeSet<HostName>,
    tried_platform: bool,
}

impl ConfigCandidate {
    /// Creates a candidate whose objects have not been requested from any source.
    pub(crate) fn new(
        generation: ConfigGeneration,
        entries: BTreeMap<String, ObjectDigest>,
        source: ConfigSource,
        confirmed: ConfigFreshness,
        now: TimePoint,
    ) -> Self {
        Self {
            generation,
            entries,
            confirmed,
            since: now,
            retry_at: None,
            source,
            tried: BTreeSet::new(),
            tried_platform: false,
        }
    }

    /// Makes every source eligible again.
    pub(crate) fn reset(&mut self, now: TimePoint) {
        self.retry_at = None;
        self.since = now;
        self.tried.clear();
        self.tried_platform = false;
    }

    /// Chooses the source to ask next for the missing objects; `None` once all were tried.
    ///
    /// A few objects of a head read from the platform are requested from the platform. Otherwise
    /// the order is: the host that offered the configuration, random other hosts, the platform.
    pub(crate) fn next_source(
        &mut self,
        missing: usize,
        table: &MemberTable,
        generator: &mut ChaCha8Rng,
    ) -> Option<ConfigSource> {
        let platform_first = self.source == ConfigSource::Platform && missing <= FEW_OBJECTS;
        if platform_first && !self.tried_platform {
            return self.platform();
        }
        if let ConfigSource::Peer(host) = &self.source
            && self.tried.insert(host.clone())
        {
            return Some(ConfigSource::Peer(host.clone()));
        }
        if self.tried.len() < MAX_PEERS_TRIED {
            let peers = table.live_peers().map(|record| &record.name);
            let peers = peers.filter(|name| !self.tried.contains(*name));
            if let Some(host) = peers.choose(generator).cloned() {
                self.tried.insert(host.clone());
                return Some(ConfigSource::Peer(host));
            }
        }
        self.platform()
    }

    /// Returns the platform if it has not been tried.
    fn platform(&mut self) -> Option<ConfigSource> {
        let untried = !std::mem::replace(&mut self.tried_platform, true);
        untried.then_some(ConfigSource::Platform)
    }
}
