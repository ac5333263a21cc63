//! Simulated entry host with its routing tables, version monitor and in-flight counters.

use std::sync::Arc;
use std::time::Duration;

use crate::coordination::{
    BrakeNotice, MonitorAction, RatedAnswer, VersionEvidence, VersionMonitor, observe_quality,
};
use crate::replay::replay_report::virtual_time;
use crate::replay::replay_server::ReplayServer;
use crate::replay::trace_format::TraceHost;
use crate::state::{
    ConfigImage, InFlightCounter, QualityDigest, QualityOrigin, QualityTable, RouteTables,
    ServerLifecycle, ServerRecord, ServerTable,
};

/// Weight of a new latency in the exponential moving average.
const LATENCY_WEIGHT: f64 = 0.1;

/// State that an entry host sends to the others.
#[derive(Clone, Debug)]
pub(crate) struct HostDigest {
    pub(crate) quality: QualityDigest,
    pub(crate) evidence: Vec<VersionEvidence>,
    pub(crate) brakes: Vec<BrakeNotice>,
}

/// A simulated entry host.
#[derive(Clone, Debug)]
pub(crate) struct ReplayHost {
    pub(crate) spec: TraceHost,
    pub(crate) tables: RouteTables,
    pub(crate) in_flight: Vec<InFlightCounter>,
    monitor: VersionMonitor,
    latency_micros: Vec<f64>,
}

impl ReplayHost {
    /// Creates an entry host without any measurements.
    pub(crate) fn new(spec: &TraceHost, servers: usize) -> Self {
        let origin = QualityOrigin {
            host: spec.name.clone(),
            incarnation: 1,
        };
        let tables = RouteTables {
            domain: spec.domain.clone(),
            quality: Arc::new(QualityTable::new(origin.clone())),
            ..Default::default()
        };
        Self {
            spec: spec.clone(),
            tables,
            in_flight: (0..servers).map(|_| InFlightCounter::default()).collect(),
            monitor: VersionMonitor::new(origin),
            latency_micros: vec![0.0; servers],
        }
    }

    /// Updates the server table from the servers' present state and load.
    pub(crate) fn read_servers(&mut self, servers: &[ReplayServer], now_ms: u64) {
        let mut table = ServerTable::default();
        for (index, server) in servers.iter().enumerate() {
            let lifecycle = if server.up {
                ServerLifecycle::Live
            } else {
                ServerLifecycle::Gone
            };
            let own = self.in_flight[index].get();
            table.insert(ServerRecord {
                name: server.spec.name.clone(),
                domain: server.spec.domain.clone(),
                pool: server.spec.pool.clone(),
                lifecycle,
                versions: server.spec.versions.iter().cloned().collect(),
                load: server.load(),
                local_at_report: own,
                local_in_flight: 0,
                reported_at: virtual_time(now_ms),
                latency_micros: self.latency_micros[index] as u64,
                in_flight: self.in_flight[index].clone(),
                ..Default::default()
            });
        }
        self.tables.servers = table;
    }

    /// Records the latency of an answer of a server, relative to the expected one, in thousandths.
    ///
    /// The moving average of the relative latency stands in for the server's latency in
    /// microseconds.
    pub(crate) fn observe_server(&mut self, server: usize, relative_thousandths: f64) {
        let average = &mut self.latency_micros[server];
        if *average == 0.0 {
            *average = relative_thousandths;
        }
        *average += LATENCY_WEIGHT * (relative_thousandths - *average);
    }

    /// Records an answer in the quality table and, if `with_tests`, in the version monitor.
    pub(crate) fn record_answer(
        &mut self,
        answer: &RatedAnswer,
        image: &ConfigImage,
        with_tests: bool,
        now_ms: u64,
    ) -> Option<MonitorAction> {
        let table = Arc::make_mut(&mut self.tables.quality);
        if !with_tests {
            observe_quality(answer, table, virtual_time(now_ms));
            return None;
        }
        let action = self
            .monitor
            .observe_answer(answer, table, image, virtual_time(now_ms));
        self.publish_brakes(now_ms);
        action
    }

    /// Returns the state to send to the other hosts.
    pub(crate) fn digest(&self, now_ms: u64) -> HostDigest {
        let now = virtual_time(now_ms);
        HostDigest {
            quality: self.tables.quality.digest(now),
            evidence: self.monitor.evidence(),
            brakes: self.monitor.brake_table.notes(now),
        }
    }

    /// Merges the state received from another host; its tests and brakes only if `with_tests`.
    pub(crate) fn merge(
        &mut self,
        digest: &HostDigest,
        image: &ConfigImage,
        with_tests: bool,
        now_ms: u64,
    ) -> Vec<MonitorAction> {
        let now = virtual_time(now_ms);
        Arc::make_mut(&mut self.tables.quality).merge(&digest.quality, now);
        if !with_tests {
            return Vec::new();
        }
        for note in &digest.brakes {
            self.monitor.brake_table.apply(note.clone(), now);
        }
        let evidence = digest.evidence.iter();
        let actions = evidence
            .filter_map(|evidence| self.monitor.merge_evidence(evidence, image, now))
            .collect();
        self.publish_brakes(now_ms);
        actions
    }

    /// Copies the active brakes and the suspected versions into the routing tables.
    fn publish_brakes(&mut self, now_ms: u64) {
        let now = virtual_time(now_ms);
        self.monitor.brake_table.expire(now);
        self.tables.brakes = self.monitor.brake_table.active(now);
        self.tables.suspects = self.monitor.suspects();
    }

    pub(crate) fn set_config_age(&mut self, age_ms: u64) {
        self.tables.config_age = Duration::from_millis(age_ms);
    }
}
