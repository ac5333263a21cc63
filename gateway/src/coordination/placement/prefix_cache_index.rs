//! What engines keep of the prompts that hosts sent them.
//!
//! Answers a hot prompt part and prompts that are dear to read: the engine that read a beginning
//! for a model goes on from there without reading it again. Hosts tell one another what they had
//! read, since each of them sees a small part of the requests.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use galenamast::state::TimePoint;
use serde::{Deserialize, Serialize};

use crate::coordination::placement::{PromptPrefixes, short_server_id};

/// Settings of the beliefs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixCacheSettings {
    /// Time after which an engine is no longer believed to keep what nobody used.
    pub lifetime: Duration,
    /// Beginnings that are remembered; the oldest yield.
    pub capacity: usize,
    /// Tokens of the shortest beginning that other hosts are told of.
    pub told_tokens: u32,
    /// Reads that wait to be told; the oldest yield.
    pub told_capacity: usize,
}

impl Default for PrefixCacheSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(20),
            capacity: 8_192,
            told_tokens: 1_000,
            told_capacity: 64,
        }
    }
}

/// An engine read the beginning of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixRead {
    /// Key of the beginning.
    pub prefix: u64,
    /// Short name of the engine.
    pub server: u32,
}

/// The beginnings of prompts that engines are believed to keep.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheIndex {
    settings: PrefixCacheSettings,
    copies: BTreeMap<u64, BTreeMap<u32, TimePoint>>,
    order: VecDeque<u64>,
    own_reads: VecDeque<PrefixRead>,
    // Reads of this host so far, which number those that wait to be told.
    own_count: u64,
}

impl PrefixCacheIndex {
    /// Creates beliefs about nothing.
    pub fn new(settings: PrefixCacheSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Notes that an engine reads a prompt that this host sends.
    pub fn record_read(&mut self, path: &PromptPrefixes, server: &str, now: TimePoint) {
        let server = short_server_id(server);
        for prefix in path.prefixes() {
            self.note(prefix.key, server, now);
        }
        let told = path.home();
        if let Some(home) = told.filter(|home| home.tokens >= self.settings.told_tokens) {
            if self.own_reads.len() >= self.settings.told_capacity {
                self.own_reads.pop_front();
            }
            self.own_count += 1;
            self.own_reads.push_back(PrefixRead {
                prefix: home.key,
                server,
            });
        }
    }

    /// Takes in what an engine read for another host.
    pub fn record_remote(&mut self, reads: &[PrefixRead], now: TimePoint) {
        for read in reads {
            self.note(read.prefix, read.server, now);
        }
    }

    /// Returns the own reads since a count, and the count now.
    pub fn local_reads_since(&self, count: u64) -> (Vec<PrefixRead>, u64) {
        let fresh = usize::try_from(self.own_count.saturating_sub(count)).unwrap_or(usize::MAX);
        let skipped = self.own_reads.len().saturating_sub(fresh);
        let reads = self.own_reads.iter().skip(skipped).copied().collect();
        (reads, self.own_count)
    }

    /// Forgets what an engine kept that started anew or is gone.
    pub fn forget(&mut self, server: &str) {
        let server = short_server_id(server);
        for copies in self.copies.values_mut() {
            copies.remove(&server);
        }
    }

    /// Returns the tokens of a prompt that engines are believed to keep, by short name.
    pub fn kept_tokens(&self, path: &PromptPrefixes, now: TimePoint) -> BTreeMap<u32, u32> {
        let mut kept = BTreeMap::new();
        for prefix in path.prefixes() {
            let Some(copies) = self.copies.get(&prefix.key) else {
                continue;
            };
            let is_fresh = |at: TimePoint| now.since(at) <= self.settings.lifetime;
            let fresh = copies.iter().filter(|(_, at)| is_fresh(**at));
            kept.extend(fresh.map(|(server, _)| (*server, prefix.tokens)));
        }
        kept
    }

    /// Notes that an engine read a beginning.
    fn note(&mut self, prefix: u64, server: u32, now: TimePoint) {
        if !self.copies.contains_key(&prefix) {
            self.order.push_back(prefix);
        }
        self.copies.entry(prefix).or_default().insert(server, now);
        while self.order.len() > self.settings.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.copies.remove(&oldest);
            }
        }
    }
}
