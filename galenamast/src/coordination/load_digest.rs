//! Messages in which entry hosts exchange the load of backend servers.

use std::collections::BTreeSet;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::state::{
    DomainName, PoolName, ServerLifecycle, ServerLoad, ServerName, ServerTable, VersionKey,
};

/// Length of a server's tag, in bytes.
const TAG_BYTES: usize = 6;
/// Maximum number of servers in one summary; a larger set is split into parts.
const MAX_SUMMARY_SERVERS: usize = 100;

/// Short hash of a server's name. Hosts resolve it with the names of the host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerTag(pub [u8; TAG_BYTES]);

impl ServerTag {
    /// Hashes the name of a server.
    ///
    /// ```
    /// use galenamast::coordination::ServerTag;
    ///
    /// assert_eq!(ServerTag::of_name(&"a".into()), ServerTag::of_name(&"a".into()));
    /// assert_ne!(ServerTag::of_name(&"a".into()), ServerTag::of_name(&"b".into()));
    /// ```
    pub fn of_name(name: &ServerName) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_str().as_bytes());
        let bytes = hasher.finish().to_le_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&bytes[..TAG_BYTES]);
        Self(tag)
    }
}

/// State of a server as last observed by the host that polls it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PolledState {
    /// The server answered and reported that it takes requests.
    #[default]
    Serving,
    /// The server answered and reported that it is draining.
    Draining,
    /// The server did not answer the poll.
    Unreachable,
}

/// One measurement of the load of a server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// Tag of the measured server.
    pub tag: ServerTag,
    /// Incarnation that the server reported; zero if it reported none.
    pub incarnation: u64,
    /// Sequence number, which grows with each shared measurement.
    pub sequence: u64,
    /// Age of the measurement when the digest was made, in milliseconds.
    pub age_ms: u32,
    /// State observed by the poll.
    pub polled_state: PolledState,
    /// Load that the server reported.
    pub load: ServerLoad,
    /// Digest of the loaded versions, as returned by [`digest_versions`].
    pub versions_digest: u32,
    /// Loaded versions; present only in the first shares after a change.
    pub versions: Option<BTreeSet<VersionKey>>,
}

impl LoadEntry {
    /// Returns an upper bound of the encoded size, in bytes.
    pub fn encoded_bound(&self) -> usize {
        let versions = self.versions.iter().flatten();
        let names: usize = versions
            .map(|key| key.model.as_str().len() + key.version.as_str().len() + 4)
            .sum();
        TAG_BYTES + 40 + names
    }
}

/// Returns the digest of a set of versions.
///
/// ```
/// use galenamast::coordination::digest_versions;
/// use galenamast::state::VersionKey;
///
/// let small = [VersionKey::new("advice", "small")].into();
/// assert_ne!(digest_versions(&small), digest_versions(&Default::default()));
/// ```
pub fn digest_versions(versions: &BTreeSet<VersionKey>) -> u32 {
    let mut hasher = SipHasher13::new();
    for key in versions {
        hasher.write(key.model.as_str().as_bytes());
        hasher.write_u8(0);
        hasher.write(key.version.as_str().as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish() as u32
}

/// Load of a pool's servers that serve one version, summed up for other failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSummary {
    /// Failure domain of the servers.
    pub domain: DomainName,
    /// Pool of the servers.
    pub pool: PoolName,
    /// Version that the servers have loaded; `None` for plain services.
    pub version: Option<VersionKey>,
    /// Index of this part of the set, counted from zero.
    pub part: u8,
    /// Total number of requests running on the servers.
    pub running: u32,
    /// Total number of requests waiting on the servers.
    pub waiting: u32,
    /// Tags of the servers, all of which take new requests.
    pub servers: Vec<ServerTag>,
}

/// Summarizes the live servers of a failure domain by pool and version.
///
/// A server with several versions is counted in the summary of each.
pub fn summarize_pools(servers: &ServerTable, domain: &DomainName) -> Vec<PoolSummary> {
    let mut summaries: Vec<PoolSummary> = Vec::new();
    let live = servers
        .servers()
        .filter(|server| server.domain == *domain && server.lifecycle == ServerLifecycle::Live);
    for server in live {
        let versions = server.versions.iter().cloned().map(Some);
        let plain = server.versions.is_empty().then_some(None);
        for version in versions.chain(plain) {
            let same =
                |summary: &PoolSummary| summary.pool == server.pool && summary.version == version;
            let parts = summaries.iter().filter(|summary| same(summary)).count();
            let open = summaries
                .iter()
                .rposition(|summary| same(summary) && summary.servers.len() < MAX_SUMMARY_SERVERS);
            let index = open.unwrap_or_else(|| {
                summaries.push(PoolSummary {
                    domain: domain.clone(),
                    pool: server.pool.clone(),
                    version: version.clone(),
                    part: u8::try_from(parts).unwrap_or(u8::MAX),
                    ..Default::default()
                });
                summaries.len() - 1
            });
            let summary = &mut summaries[index];
            summary.running += server.load.running;
            summary.waiting += server.load.waiting;
            summary.servers.push(ServerTag::of_name(&server.name));
        }
    }
    summaries
}
