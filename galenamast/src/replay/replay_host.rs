//! An entry host of a replay: its tables, judge and counts of own work.

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
    ServerLife, ServerRecord, ServerTable,
};

/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;

/// What an entry host tells the others.
#[derive(Clone, Debug)]
pub(crate) struct HostDigest {
    pub(crate) quality: QualityDigest,
    pub(crate) evidence: Vec<VersionEvidence>,
    pub(crate) brakes: Vec<BrakeNotice>,
}

/// An entry host.
#[derive(Clone, Debug)]
pub(crate) struct ReplayHost {
    pub(crate) spec: TraceHost,
    pub(crate) tables: RouteTables,
    pub(crate) in_flight: Vec<InFlightCounter>,
    monitor: VersionMonitor,
    latency_micros: Vec<f64>,
}

impl ReplayHost {
    /// Creates an entry host that knows nothing yet.
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

    /// Takes in the load reports of the servers.
    pub(crate) fn read_servers(&mut self, servers: &[ReplayServer], now_ms: u64) {
        let mut table = ServerTable::default();
        for (index, server) in servers.iter().enumerate() {
            let life = if server.up {
                ServerLife::Live
            } else {
                ServerLife::Gone
            };
            let own = self.in_flight[index].get();
            table.insert(ServerRecord {
                name: server.spec.name.clone(),
                domain: server.spec.domain.clone(),
                pool: server.spec.pool.clone(),
                life,
                versions: server.spec.versions.iter().cloned().collect(),
                load: server.load(),
                own_at_report: own,
                own_in_flight: 0,
                reported_at: virtual_time(now_ms),
                latency_micros: self.latency_micros[index] as u64,
                in_flight: self.in_flight[index].clone(),
                ..Default::default()
            });
        }
        self.tables.servers = table;
    }

    /// Takes in how much longer than expected a server took, in thousandths.
    pub(crate) fn observe_server(&mut self, server: usize, relative_micros: f64) {
        let average = &mut self.latency_micros[server];
        if *average == 0.0 {
            *average = relative_micros;
        }
        *average += LATENCY_WEIGHT * (relative_micros - *average);
    }

    /// Feeds an answer to the quality table and the judge.
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

    /// Returns what the host tells the others.
    pub(crate) fn digest(&self, now_ms: u64) -> HostDigest {
        let now = virtual_time(now_ms);
        HostDigest {
            quality: self.tables.quality.digest(now),
            evidence: self.monitor.evidence(),
            brakes: self.monitor.brake_table.notes(now),
        }
    }

    /// Takes in what another host tells.
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

    /// Brings the brakes into the routing tables.
    fn publish_brakes(&mut self, now_ms: u64) {
        let now = virtual_time(now_ms);
        self.monitor.brake_table.expire(now);
        self.tables.brakes = self.monitor.brake_table.active(now);
        self.tables.suspects = self.monitor.suspects();
    }

    /// Sets the age of the configuration.
    pub(crate) fn set_config_age(&mut self, age_ms: u64) {
        self.tables.config_age = Duration::from_millis(age_ms);
    }
}
