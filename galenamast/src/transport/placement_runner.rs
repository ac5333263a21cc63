//! Carries out the placement of versions in one failure domain while its lease is held.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use log::Level;

use crate::coordination::{
    EngineOrder, EngineState, PlacementPlan, PlacementServer, PlacementSettings, VersionDemand,
    plan_placement,
};
use crate::logging::{log_fault, log_record};
use crate::protocol::LogRecord;
use crate::state::{
    ConfigImage, DomainName, HostName, PoolKind, PoolName, ServerName, ServerRecord, TimePoint,
};
use crate::transport::http_client::HttpClient;
use crate::transport::object_calls::CallFuture;
use crate::transport::timer_service::TimerService;
use crate::transport::transport_error::TransportError;

/// Path of the orders of an engine.
const ORDERS_PATH: &str = "/orders";

/// How placement is carried out.
#[derive(Clone, Debug)]
pub struct PlacementRunnerSettings {
    /// Entry host that gives the orders.
    pub host: HostName,
    /// Failure domain whose engines are placed on.
    pub domain: DomainName,
    /// Settings of the plan.
    pub plan: PlacementSettings,
    /// Time between two passes.
    pub period: Duration,
    /// Longest time of one order.
    pub order_timeout: Duration,
}

impl Default for PlacementRunnerSettings {
    fn default() -> Self {
        Self {
            host: HostName::default(),
            domain: DomainName::default(),
            plan: PlacementSettings::default(),
            period: Duration::from_secs(5),
            order_timeout: Duration::from_secs(10),
        }
    }
}

/// What placement reads of the host, as closures.
#[derive(Clone)]
pub struct PlacementSources {
    /// Configuration in force.
    pub image: Arc<dyn Fn() -> Arc<ConfigImage> + Send + Sync>,
    /// Backend servers that are known.
    pub servers: Arc<dyn Fn() -> Vec<ServerRecord> + Send + Sync>,
    /// Requests that run or wait in the failure domain.
    pub demand: Arc<dyn Fn() -> VersionDemand + Send + Sync>,
    /// Term of the failure domain's placement lease while this host holds it.
    pub held_term: Arc<dyn Fn() -> Option<u64> + Send + Sync>,
    /// Reads the lease again; returns whether this host still holds it in a term.
    pub confirm_term: Arc<dyn Fn(u64) -> CallFuture<bool> + Send + Sync>,
}

impl fmt::Debug for PlacementSources {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PlacementSources(..)")
    }
}

/// How a pass ended.
#[derive(Clone, Debug, PartialEq)]
pub enum PassOutcome {
    /// This host does not hold the lease.
    NotHolder,
    /// An engine has taken an order of a later term, so that this host's lease is over.
    Superseded,
    /// The plan was carried out as far as the engines could be reached.
    Planned(PlacementPlan),
}

/// Carries out placement in one failure domain.
#[derive(Clone, Debug)]
pub struct PlacementRunner {
    client: HttpClient,
    timers: TimerService,
    settings: Arc<PlacementRunnerSettings>,
    sources: PlacementSources,
}

impl PlacementRunner {
    /// Creates a runner.
    pub fn new(
        client: HttpClient,
        timers: TimerService,
        settings: PlacementRunnerSettings,
        sources: PlacementSources,
    ) -> Self {
        Self {
            client,
            timers,
            settings: Arc::new(settings),
            sources,
        }
    }

    /// Makes passes until the task is aborted.
    ///
    /// A new holder makes one more pass when the longest order of the old one has ended, so that an
    /// order that an engine took although it was late is corrected.
    pub async fn run(self) {
        let mut known_term = None;
        let mut settle_at = TimePoint::ZERO;
        loop {
            let term = (self.sources.held_term)();
            let now = self.timers.now();
            if term != known_term {
                known_term = term;
                settle_at = now + self.settings.order_timeout;
            }
            self.pass().await;
            let now = self.timers.now();
            let regular = now + self.settings.period;
            let next = if settle_at > now {
                regular.min(settle_at)
            } else {
                regular
            };
            self.timers.sleep_until(next).await;
        }
    }

    /// Reads the engines, plans and gives the orders that differ from what was last ordered.
    pub async fn pass(&self) -> PassOutcome {
        let Some(term) = (self.sources.held_term)() else {
            return PassOutcome::NotHolder;
        };
        let image = (self.sources.image)();
        let records = self.engines(&image);
        let states = self.read_states(&records).await;
        if states.values().any(|state| state.term > term) {
            return PassOutcome::Superseded;
        }
        let servers: Vec<PlacementServer> = records
            .iter()
            .map(|record| describe_server(record, states.get(&record.name)))
            .collect();
        let demand = (self.sources.demand)();
        let plan = plan_placement(&image, &servers, &demand, &self.settings.plan);
        self.log_moves(&image, term, &plan, &states);
        for server in &servers {
            let Some(state) = states.get(&server.name) else {
                continue;
            };
            let Some(versions) = plan.desired.get(&server.name) else {
                continue;
            };
            if *versions == state.ordered {
                continue;
            }
            let order = EngineOrder {
                term,
                holder: self.settings.host.clone(),
                versions: versions.clone(),
            };
            if let Err(error) = self.give_order(&image, server, state, &order).await {
                log_fault("placement", &error);
            }
        }
        PassOutcome::Planned(plan)
    }

    /// Returns the engines of the failure domain.
    fn engines(&self, image: &ConfigImage) -> Vec<ServerRecord> {
        let is_engine = |pool: &PoolName| {
            let pool = image.pools.get(pool);
            pool.is_some_and(|pool| pool.kind == PoolKind::Engine)
        };
        let mut records = (self.sources.servers)();
        records.retain(|record| record.domain == self.settings.domain && is_engine(&record.pool));
        records
    }

    /// Reads the states of the engines that can be reached.
    async fn read_states(&self, records: &[ServerRecord]) -> BTreeMap<ServerName, EngineState> {
        let reads = records.iter().map(async |record| {
            let state = self.read_state(&record.address).await.ok()?;
            Some((record.name.clone(), state))
        });
        join_all(reads).await.into_iter().flatten().collect()
    }

    /// Reads the state of one engine.
    async fn read_state(&self, address: &str) -> Result<EngineState, TransportError> {
        let timeout = self.settings.order_timeout;
        self.client
            .call_json(Method::GET, address, ORDERS_PATH, None::<&()>, timeout)
            .await
    }

    /// Gives an order, unless this host may no longer give orders.
    ///
    /// An engine that does not check fencing numbers gets the order only after the lease and the
    /// engine's state were read again.
    async fn give_order(
        &self,
        image: &ConfigImage,
        server: &PlacementServer,
        state: &EngineState,
        order: &EngineOrder,
    ) -> Result<(), TransportError> {
        let pool = image.pools.get(&server.pool);
        if !pool.is_some_and(|pool| pool.checks_fencing) {
            let current = self.read_state(&server.address).await?;
            let unchanged = current.ordered == state.ordered && current.term == state.term;
            if !unchanged || !(self.sources.confirm_term)(order.term).await? {
                return Ok(());
            }
        }
        if (self.sources.held_term)() != Some(order.term) {
            return Ok(());
        }
        let timeout = self.settings.order_timeout;
        let taken: Result<EngineState, TransportError> = self
            .client
            .call_json(
                Method::PUT,
                &server.address,
                ORDERS_PATH,
                Some(order),
                timeout,
            )
            .await;
        taken.map(|_| ())
    }

    /// Writes one line for each move of an engine that can be ordered.
    fn log_moves(
        &self,
        image: &ConfigImage,
        term: u64,
        plan: &PlacementPlan,
        states: &BTreeMap<ServerName, EngineState>,
    ) {
        let reached = plan
            .moves
            .iter()
            .filter(|change| states.contains_key(&change.server));
        for decision in reached {
            let record = LogRecord::Placement {
                domain: self.settings.domain.clone(),
                term,
                generation: image.generation,
                decision: decision.clone(),
            };
            log_record(Level::Info, &record);
        }
    }
}

/// Describes an engine for the plan; one that could not be read is taken as it was last reported.
fn describe_server(record: &ServerRecord, state: Option<&EngineState>) -> PlacementServer {
    let reported = &record.versions;
    PlacementServer {
        name: record.name.clone(),
        address: record.address.clone(),
        pool: record.pool.clone(),
        lifecycle: record.lifecycle,
        loaded: state.map_or(reported, |state| &state.loaded).clone(),
        ordered: state.map_or(reported, |state| &state.ordered).clone(),
    }
}
