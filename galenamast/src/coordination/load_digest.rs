//! What entry hosts tell each other of the load of backend servers.

use std::collections::BTreeSet;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::state::{
    DomainName, PoolName, ServerLifecycle, ServerLoad, ServerName, ServerTable, VersionKey,
};

/// Bytes of a server's tag.
const TAG_BYTES: usize = 6;
/// Servers that one summary names; a larger set goes out in several.
const MAX_SUMMARY_SERVERS: usize = 100;

/// Short hash of a server's name, which all hosts know from the host list.
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

/// What the host that watches a server last saw of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum PolledState {
    /// The server reported that it serves.
    #[default]
    Serving,
    /// The server reported that it is leaving.
    Draining,
    /// The server did not answer.
    Unreachable,
}

/// One measurement of the load of a server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// Server that was measured.
    pub tag: ServerTag,
    /// Incarnation that the server stated; zero if it stated none.
    pub incarnation: u64,
    /// Number that grows with each measurement that is shared.
    pub sequence: u64,
    /// Time since the measurement when the digest was made, in milliseconds.
    pub age_ms: u32,
    /// What was seen.
    pub polled_state: PolledState,
    /// Load that the server reported.
    pub load: ServerLoad,
    /// Digest of the versions that the server has loaded.
    pub versions_digest: u32,
    /// Those versions, for a while after they changed.
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

/// What other failure domains are told of the servers of one version in a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSummary {
    /// Failure domain of the servers.
    pub domain: DomainName,
    /// Pool of the servers.
    pub pool: PoolName,
    /// Version that the servers have loaded; `None` for plain services.
    pub version: Option<VersionKey>,
    /// Part of the set that this summary names, counted from zero.
    pub part: u8,
    /// Requests that run on the servers.
    pub running: u32,
    /// Requests that wait on the servers.
    pub waiting: u32,
    /// Servers that take new work.
    pub servers: Vec<ServerTag>,
}

/// Summarizes the servers of a failure domain that take new work.
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
