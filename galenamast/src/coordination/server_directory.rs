//! Keeps what is known of the backend servers.

use std::collections::BTreeMap;

use crate::coordination::host_list::{HostList, HostListEntry, HostState};
use crate::coordination::load_report::LoadReport;
use crate::state::{ServerLife, ServerName, ServerRecord, ServerTable, TimePoint};

/// Records of the backend servers, fed by the host list and load reports.
#[derive(Clone, Debug, Default)]
pub struct ServerDirectory {
    records: BTreeMap<ServerName, ServerRecord>,
}

impl ServerDirectory {
    /// Takes in a reading of the host list.
    pub fn apply_host_list(&mut self, list: &HostList) {
        for entry in &list.hosts {
            let record = self
                .records
                .entry(entry.name.clone())
                .or_insert_with(|| new_record(entry));
            if entry.incarnation > record.incarnation {
                *record = new_record(entry);
            }
            if entry.state == HostState::Leaving && record.life < ServerLife::Draining {
                record.life = ServerLife::Draining;
            }
        }
    }

    /// Takes in a load report of a server.
    pub fn apply_load(&mut self, name: &ServerName, report: &LoadReport, now: TimePoint) {
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        record.load = report.load;
        record.versions.clone_from(&report.versions);
        record.reported_at = now;
        if report.draining {
            record.life = ServerLife::Draining;
        } else if record.life < ServerLife::Draining {
            record.life = ServerLife::Live;
        }
    }

    /// Returns the records of all servers.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.records.values()
    }

    /// Builds a snapshot of the servers.
    pub fn snapshot(&self) -> ServerTable {
        let mut table = ServerTable::default();
        for record in self.records.values() {
            table.insert(record.clone());
        }
        table
    }
}

/// Creates the record of a server that was not known in its incarnation.
fn new_record(entry: &HostListEntry) -> ServerRecord {
    ServerRecord {
        name: entry.name.clone(),
        address: entry.address.clone(),
        domain: entry.domain.clone(),
        pool: entry.pool.clone(),
        incarnation: entry.incarnation,
        life: ServerLife::Probing,
        ..Default::default()
    }
}
