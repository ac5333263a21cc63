//! Records of all known backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::coordination::host_list::{HostList, HostListEntry};
use crate::coordination::load_report::LoadReport;
use crate::coordination::server_lifecycle::{LifecycleEvent, LifecycleSettings, ServerMachine};
use crate::state::{ServerLifecycle, ServerName, ServerRecord, ServerTable, TimePoint};

/// Event that concerns the backend servers.
#[derive(Clone, Debug)]
pub enum DirectoryEvent {
    /// The host list was read.
    ListRead(HostList),
    /// A server returned a load report.
    Reported(ServerName, LoadReport),
    /// Another host shared a server's load report, whose measurement has this age.
    ReportShared(ServerName, LoadReport, Duration),
    /// A connection to a server failed.
    ConnectFailed(ServerName),
    /// Time passed.
    Tick,
}

/// Records and state machines of the backend servers, updated by the host list and by load reports.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    settings: LifecycleSettings,
    entries: BTreeMap<ServerName, DirectoryEntry>,
}

/// Record and state machine of one server.
#[derive(Debug)]
struct DirectoryEntry {
    record: ServerRecord,
    machine: ServerMachine,
    failed_at: Option<TimePoint>,
}

impl ServerDirectory {
    /// Creates an empty directory.
    pub fn new(settings: LifecycleSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, event: &DirectoryEvent, now: TimePoint) {
        match event {
            DirectoryEvent::ListRead(list) => self.apply_host_list(list, now),
            DirectoryEvent::Reported(name, report) => {
                self.apply_load(name, report, Duration::ZERO, now);
            }
            DirectoryEvent::ReportShared(name, report, age) => {
                self.apply_shared_load(name, report, *age, now);
            }
            DirectoryEvent::ConnectFailed(name) => {
                if let Some(entry) = self.entries.get_mut(name) {
                    entry.failed_at = Some(now);
                }
                self.apply_event(name, LifecycleEvent::ConnectFailed, now);
            }
            DirectoryEvent::Tick => self.tick(now),
        }
    }

    /// Applies the host list.
    fn apply_host_list(&mut self, list: &HostList, now: TimePoint) {
        for entry in &list.hosts {
            self.upsert_record(entry, now);
            let event = LifecycleEvent::Listed {
                incarnation: entry.incarnation,
                state: entry.state,
            };
            self.apply_event(&entry.name, event, now);
        }
        let listed: BTreeSet<&ServerName> = list.hosts.iter().map(|entry| &entry.name).collect();
        let missing: Vec<ServerName> = self
            .entries
            .keys()
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        for name in missing {
            self.apply_event(&name, LifecycleEvent::Unlisted, now);
        }
    }

    /// Adds a listed server, or resets the record of an older incarnation.
    fn upsert_record(&mut self, entry: &HostListEntry, now: TimePoint) {
        let known = self.entries.get_mut(&entry.name);
        if let Some(known) = known {
            if entry.incarnation > known.machine.incarnation() {
                known.record = ServerRecord {
                    in_flight: known.record.in_flight.clone(),
                    ..new_record(entry)
                };
            }
            return;
        }
        let created = DirectoryEntry {
            record: new_record(entry),
            machine: ServerMachine::new(entry.incarnation, self.settings, now),
            failed_at: None,
        };
        self.entries.insert(entry.name.clone(), created);
    }

    /// Applies a load report that another host shared, unless a connection failed after its
    /// measurement.
    fn apply_shared_load(
        &mut self,
        name: &ServerName,
        report: &LoadReport,
        age: Duration,
        now: TimePoint,
    ) {
        let failed_at = self.entries.get(name).and_then(|entry| entry.failed_at);
        if failed_at.is_none_or(|failed_at| failed_at < now - age) {
            self.apply_load(name, report, age, now);
        }
    }

    /// Applies a load report of a server, whose measurement has this age.
    fn apply_load(
        &mut self,
        name: &ServerName,
        report: &LoadReport,
        age: Duration,
        now: TimePoint,
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let known = entry.machine.incarnation();
        // A report without an incarnation is taken to come from the known one.
        let incarnation = match report.incarnation {
            0 => known,
            stated => stated,
        };
        if incarnation < known {
            return;
        }
        let record = &mut entry.record;
        record.load = report.load;
        record.versions.clone_from(&report.versions);
        record.reported_at = now - age;
        record.local_at_report = record.in_flight.get();
        let event = LifecycleEvent::Reported {
            incarnation,
            draining: report.draining,
        };
        self.apply_event(name, event, now);
    }

    /// Advances the state machines of all servers.
    fn tick(&mut self, now: TimePoint) {
        let names: Vec<ServerName> = self.entries.keys().cloned().collect();
        for name in names {
            self.apply_event(&name, LifecycleEvent::Tick, now);
        }
    }

    /// Passes an event to the state machine of a server.
    fn apply_event(&mut self, name: &ServerName, event: LifecycleEvent, now: TimePoint) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.record.lifecycle = entry.machine.handle(event, now);
        entry.record.incarnation = entry.machine.incarnation();
    }

    /// Returns the records of all servers.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns a snapshot of all servers but those that are gone.
    pub fn snapshot(&self) -> ServerTable {
        let mut table = ServerTable::default();
        for record in self.records() {
            if record.lifecycle != ServerLifecycle::Gone {
                table.insert(record.clone());
            }
        }
        table
    }
}

/// Creates the record of a server with a new incarnation.
fn new_record(entry: &HostListEntry) -> ServerRecord {
    ServerRecord {
        name: entry.name.clone(),
        address: entry.address.clone(),
        domain: entry.domain.clone(),
        pool: entry.pool.clone(),
        incarnation: entry.incarnation,
        lifecycle: ServerLifecycle::Probing,
        ..Default::default()
    }
}
