//! Tracks which prompt prefixes engines hold in their caches.
//!
//! Covers hot prompt parts and prompts that are expensive to read: an engine that has read a prefix
//! for a model continues from there without reading it again. Hosts report their reads to one
//! another, since each of them sees a small part of the requests.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use galenamast::state::TimePoint;
use serde::{Deserialize, Serialize};

use crate::coordination::placement::{PromptPrefixes, short_server_id};

/// Settings of the prefix cache index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixCacheSettings {
    /// Time after its last use for which an engine is assumed to hold a prefix.
    pub lifetime: Duration,
    /// Greatest number of prefixes that are remembered; the oldest are dropped first.
    pub capacity: usize,
    /// Length of the shortest prefix that is reported to other hosts, in tokens.
    pub min_reported_tokens: u32,
    /// Greatest number of reads that wait to be reported; the oldest are dropped first.
    pub report_capacity: usize,
}

impl Default for PrefixCacheSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(20),
            capacity: 8_192,
            min_reported_tokens: 1_000,
            report_capacity: 64,
        }
    }
}

/// A report that an engine read a prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixRead {
    /// Key of the prefix.
    pub prefix: u64,
    /// Short identifier of the engine.
    pub server: u32,
}

/// The prompt prefixes that engines are assumed to hold.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheIndex {
    settings: PrefixCacheSettings,
    holders: BTreeMap<u64, BTreeMap<u32, TimePoint>>,
    insertion_order: VecDeque<u64>,
    local_reads: VecDeque<PrefixRead>,
    // Number of reads by this host so far; numbers the reads that wait to be reported.
    local_read_count: u64,
}

impl PrefixCacheIndex {
    /// Creates an empty index.
    pub fn new(settings: PrefixCacheSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that an engine reads a prompt that this host sends.
    pub fn record_read(&mut self, prompt: &PromptPrefixes, server: &str, now: TimePoint) {
        let server = short_server_id(server);
        for prefix in prompt.prefixes() {
            self.record(prefix.key, server, now);
        }
        let shared = prompt.shared_prefix();
        if let Some(prefix) =
            shared.filter(|prefix| prefix.tokens >= self.settings.min_reported_tokens)
        {
            if self.local_reads.len() >= self.settings.report_capacity {
                self.local_reads.pop_front();
            }
            self.local_read_count += 1;
            self.local_reads.push_back(PrefixRead {
                prefix: prefix.key,
                server,
            });
        }
    }

    /// Records what engines read for another host.
    pub fn record_remote(&mut self, reads: &[PrefixRead], now: TimePoint) {
        for read in reads {
            self.record(read.prefix, read.server, now);
        }
    }

    /// Returns this host's reads after the first `count` ones, and the number of reads so far.
    pub fn local_reads_since(&self, count: u64) -> (Vec<PrefixRead>, u64) {
        let fresh =
            usize::try_from(self.local_read_count.saturating_sub(count)).unwrap_or(usize::MAX);
        let skipped = self.local_reads.len().saturating_sub(fresh);
        let reads = self.local_reads.iter().skip(skipped).copied().collect();
        (reads, self.local_read_count)
    }

    /// Drops an engine that restarted or is gone from all prefixes.
    pub fn forget(&mut self, server: &str) {
        let server = short_server_id(server);
        for holders in self.holders.values_mut() {
            holders.remove(&server);
        }
    }

    /// Returns the tokens of a prompt that engines are assumed to hold, by short identifier.
    pub fn kept_tokens(&self, prompt: &PromptPrefixes, now: TimePoint) -> BTreeMap<u32, u32> {
        let mut kept = BTreeMap::new();
        for prefix in prompt.prefixes() {
            let Some(holders) = self.holders.get(&prefix.key) else {
                continue;
            };
            let is_fresh = |at: TimePoint| now.since(at) <= self.settings.lifetime;
            let fresh = holders.iter().filter(|(_, at)| is_fresh(**at));
            kept.extend(fresh.map(|(server, _)| (*server, prefix.tokens)));
        }
        kept
    }

    /// Records that an engine read a prefix.
    fn record(&mut self, prefix: u64, server: u32, now: TimePoint) {
        if !self.holders.contains_key(&prefix) {
            self.insertion_order.push_back(prefix);
        }
        self.holders.entry(prefix).or_default().insert(server, now);
        while self.insertion_order.len() > self.settings.capacity {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }
}
