//! Places versions on the engines of one failure domain while this host holds its placement lease.

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

/// Path on an engine that reads its state and takes orders.
const ORDERS_PATH: &str = "/orders";

/// Settings of the placement runner.
#[derive(Clone, Debug)]
pub struct PlacementRunnerSettings {
    /// Entry host that sends the orders.
    pub host: HostName,
    /// Failure domain whose engines are managed.
    pub domain: DomainName,
    /// Settings of the planner.
    pub plan: PlacementSettings,
    /// Time between two passes.
    pub period: Duration,
    /// Timeout for reading one engine's state and for sending one order.
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

/// Inputs of placement from the host, as closures.
#[derive(Clone)]
pub struct PlacementSources {
    /// Current configuration.
    pub image: Arc<dyn Fn() -> Arc<ConfigImage> + Send + Sync>,
    /// Known backend servers.
    pub servers: Arc<dyn Fn() -> Vec<ServerRecord> + Send + Sync>,
    /// Requests that run or wait in the failure domain, by version.
    pub demand: Arc<dyn Fn() -> VersionDemand + Send + Sync>,
    /// Term of the failure domain's placement lease; `None` unless this host holds it.
    pub held_term: Arc<dyn Fn() -> Option<u64> + Send + Sync>,
    /// Reads the lease again; returns whether this host still holds it in a term.
    pub confirm_term: Arc<dyn Fn(u64) -> CallFuture<bool> + Send + Sync>,
}

impl fmt::Debug for PlacementSources {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PlacementSources(..)")
    }
}

/// Outcome of a placement pass.
#[derive(Clone, Debug, PartialEq)]
pub enum PassOutcome {
    /// This host does not hold the lease.
    NotHolder,
    /// An engine has accepted an order of a later term, so this host has lost the lease.
    Superseded,
    /// The plan was applied to every engine that could be reached.
    Planned(PlacementPlan),
}

/// Runs placement passes in one failure domain.
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

    /// Runs passes until the task is aborted.
    ///
    /// A new holder runs an extra pass once the order timeout has passed, to correct an order of
    /// the previous holder that an engine accepted late.
    pub async fn run(self) {
        let mut known_term = None;
        let mut recheck_at = TimePoint::ZERO;
        loop {
            let term = (self.sources.held_term)();
            let now = self.timers.now();
            if term != known_term {
                known_term = term;
                recheck_at = now + self.settings.order_timeout;
            }
            self.pass().await;
            let now = self.timers.now();
            let regular = now + self.settings.period;
            let next = if recheck_at > now {
                regular.min(recheck_at)
            } else {
                regular
            };
            self.timers.sleep_until(next).await;
        }
    }

    /// Reads the engines' states, plans, and sends the orders that differ from the last ones.
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
            if let Err(error) = self.send_order(&image, server, state, &order).await {
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

    /// Reads the states of all engines at once; those that do not answer are left out.
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

    /// Sends an order, unless this host no longer holds the lease.
    ///
    /// An engine that does not check fencing numbers gets the order only after the lease and the
    /// engine's state have been read again.
    async fn send_order(
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
        let response: Result<EngineState, TransportError> = self
            .client
            .call_json(
                Method::PUT,
                &server.address,
                ORDERS_PATH,
                Some(order),
                timeout,
            )
            .await;
        response.map(|_| ())
    }

    /// Logs each planned move of an engine that could be reached.
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

/// Builds the planner's input for an engine; without its state, its last load report is used.
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
