//! The backend servers known to an entry host.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::state::names::{DomainName, PoolName, ServerName};
use crate::state::server_record::{ServerLifecycle, ServerRecord};
use crate::state::version_key::VersionKey;

/// Servers of one version by failure domain, each list ordered by name.
pub type DomainServers = BTreeMap<DomainName, Vec<Arc<ServerRecord>>>;

/// Backend servers by pool and name, as one immutable snapshot.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    pools: BTreeMap<PoolName, BTreeMap<ServerName, Arc<ServerRecord>>>,
    versions: BTreeMap<PoolName, BTreeMap<VersionKey, DomainServers>>,
}

impl ServerTable {
    /// Adds a server, or replaces the record of the same name and pool.
    ///
    /// ```
    /// use galenamast::state::{ServerRecord, ServerTable};
    ///
    /// let mut table = ServerTable::default();
    /// table.insert(ServerRecord { pool: "advice".into(), ..Default::default() });
    /// assert_eq!(table.servers_in(&"advice".into()).count(), 1);
    /// ```
    pub fn insert(&mut self, record: ServerRecord) {
        let record = Arc::new(record);
        let pool = self.pools.entry(record.pool.clone()).or_default();
        if let Some(old) = pool.insert(record.name.clone(), record.clone()) {
            self.unindex(&old);
        }
        let versions = self.versions.entry(record.pool.clone()).or_default();
        for version in &record.versions {
            let domains = versions.entry(version.clone()).or_default();
            let servers = domains.entry(record.domain.clone()).or_default();
            let position = servers.partition_point(|other| other.name < record.name);
            servers.insert(position, record.clone());
        }
    }

    /// Removes a record from the index by version.
    fn unindex(&mut self, record: &ServerRecord) {
        let Some(versions) = self.versions.get_mut(&record.pool) else {
            return;
        };
        for version in &record.versions {
            let domains = versions.get_mut(version);
            if let Some(servers) = domains.and_then(|domains| domains.get_mut(&record.domain)) {
                servers.retain(|other| other.name != record.name);
            }
        }
    }

    /// Returns the servers of a pool that have a version loaded, by failure domain.
    pub fn servers_of(&self, pool: &PoolName, version: &VersionKey) -> Option<&DomainServers> {
        self.versions.get(pool)?.get(version)
    }

    /// Marks servers of a pool as draining, so that they take no new work.
    ///
    /// ```
    /// use galenamast::state::{ServerLifecycle, ServerRecord, ServerTable};
    ///
    /// let mut table = ServerTable::default();
    /// let server = ServerRecord { pool: "advice".into(), name: "a".into(), ..Default::default() };
    /// table.insert(server);
    /// table.drain(&"advice".into(), &["a".into()].into());
    /// let server = table.find(&"advice".into(), &"a".into()).unwrap();
    /// assert_eq!(server.lifecycle, ServerLifecycle::Draining);
    /// ```
    pub fn drain(&mut self, pool: &PoolName, names: &BTreeSet<ServerName>) {
        for name in names {
            let Some(server) = self.find(pool, name) else {
                continue;
            };
            let mut record = server.as_ref().clone();
            record.lifecycle = ServerLifecycle::Draining;
            self.insert(record);
        }
    }

    /// Returns the servers of a pool, ordered by name.
    pub fn servers_in(&self, pool: &PoolName) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.pools
            .get(pool)
            .into_iter()
            .flat_map(|servers| servers.values())
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.pools.values().flat_map(|servers| servers.values())
    }

    /// Finds a server of a pool.
    pub fn find(&self, pool: &PoolName, name: &ServerName) -> Option<&Arc<ServerRecord>> {
        self.pools.get(pool)?.get(name)
    }
}
