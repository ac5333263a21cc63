//! A deployment of entry hosts with stand-ins for the backend servers and the platform.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use galenamast::config::{
    CallersSettings, HostSettings, OperatorsSettings, PeersSettings, PlatformSettings,
    RoutingSettings, Settings, ShutdownSettings,
};
use galenamast::coordination::{ConfigObject, CoordinationError};
use galenamast::event_loop::EntryHost;
use galenamast::state::{
    ConfigGeneration, KeyDigest, ModelSpec, PoolSpec, ServerLifecycle, ServiceRule, ServiceSpec,
    VersionSpec, WorkspaceSpec,
};
use galenamast::transport::TransportError;
use galenamast_fakes::{
    EngineOptions, FakeEngine, FakeHosts, FakeObjects, FakeRating, FakeService, ListedHost,
};

use crate::deployment_config::publish_config;

/// Longest wait for a deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks whether a host is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Size and contents of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Entry hosts in each failure domain.
    pub hosts_per_domain: usize,
    /// Model engines in each failure domain.
    pub engines_per_domain: usize,
    /// Plain services in each failure domain.
    pub services_per_domain: usize,
    /// Pool of the model engines.
    pub engine_pool: String,
    /// Pool of the plain services.
    pub service_pool: String,
    /// Behaviour of each engine.
    pub engine: EngineOptions,
    /// Workspaces; the key of each is its name followed by `-key`.
    pub workspaces: Vec<String>,
    /// Time between load reports.
    pub load_period: Duration,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self::nieve_alta()
    }
}

impl DeploymentOptions {
    /// Returns the options of the Nieve Alta deployment: one entry host in each failure domain.
    pub fn nieve_alta() -> Self {
        Self {
            domains: ["base-lodge", "cumbre", "bosque", "taller"]
                .map(String::from)
                .to_vec(),
            hosts_per_domain: 1,
            engines_per_domain: 2,
            services_per_domain: 1,
            engine_pool: "consejero".into(),
            service_pool: "mostrador".into(),
            engine: default_engine(),
            workspaces: vec!["lodge-rental".into(), "ski-school".into()],
            load_period: Duration::from_millis(100),
        }
    }

    /// Returns the options of the Saurashtra deployment: one entry host in each failure domain.
    pub fn saurashtra() -> Self {
        Self {
            domains: ["rajkot", "jamnagar", "bhavnagar"]
                .map(String::from)
                .to_vec(),
            engine_pool: "galena-pool".into(),
            service_pool: "ledger-app".into(),
            workspaces: vec!["dairy-registry".into(), "cotton-registry".into()],
            ..Self::nieve_alta()
        }
    }
}

/// Returns the options of an engine that serves a cheap and an expensive version of one model.
fn default_engine() -> EngineOptions {
    let versions: BTreeMap<String, f64> = [
        ("advice@small".to_owned(), 0.7),
        ("advice@large".to_owned(), 0.95),
    ]
    .into();
    EngineOptions {
        versions,
        ..Default::default()
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Options that the deployment was started with.
    pub options: DeploymentOptions,
    /// Stand-in for the object API.
    pub objects: FakeObjects,
    /// Stand-in for the host list.
    pub host_list: FakeHosts,
    /// Stand-in for the rating service.
    pub rating: FakeRating,
    /// Model engines by name.
    pub engines: BTreeMap<String, FakeEngine>,
    /// Plain services by name.
    pub services: BTreeMap<String, FakeService>,
    /// Entry hosts by name.
    pub hosts: BTreeMap<String, EntryHost>,
}

impl Deployment {
    /// Starts the stand-ins, writes a default configuration and starts the entry hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry host cannot start.
    pub async fn start(options: DeploymentOptions) -> Result<Self, TransportError> {
        let mut deployment = Self::without_hosts(options).await?;
        for domain in deployment.options.domains.clone() {
            for index in 0..deployment.options.hosts_per_domain {
                let name = format!("{domain}-host-{index}");
                deployment.start_host(&name, &domain).await?;
            }
        }
        deployment.wait_until_ready().await;
        Ok(deployment)
    }

    /// Starts the stand-ins and writes a default configuration, without entry hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration cannot be written.
    pub async fn without_hosts(options: DeploymentOptions) -> Result<Self, CoordinationError> {
        let mut deployment = Self {
            objects: FakeObjects::start().await,
            host_list: FakeHosts::start().await,
            rating: FakeRating::start().await,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            hosts: BTreeMap::new(),
            options,
        };
        for domain in deployment.options.domains.clone() {
            deployment.start_backends(&domain).await;
        }
        let documents = deployment.default_documents();
        publish_config(&deployment.objects, ConfigGeneration(1), &documents)?;
        Ok(deployment)
    }

    /// Starts the backend servers of a failure domain and adds them to the host list.
    async fn start_backends(&mut self, domain: &str) {
        for index in 0..self.options.engines_per_domain {
            let name = format!("{domain}-engine-{index}");
            let engine = FakeEngine::start(self.options.engine.clone()).await;
            self.list_server(&name, engine.address(), domain, &self.options.engine_pool);
            self.engines.insert(name, engine);
        }
        for index in 0..self.options.services_per_domain {
            let name = format!("{domain}-service-{index}");
            let service = FakeService::start().await;
            self.list_server(&name, service.address(), domain, &self.options.service_pool);
            self.services.insert(name, service);
        }
    }

    /// Adds a server to the host list.
    fn list_server(&self, name: &str, address: SocketAddr, domain: &str, pool: &str) {
        self.host_list.publish(|list| {
            list.push(ListedHost {
                name: name.into(),
                address: address.to_string(),
                domain: domain.into(),
                pool: pool.into(),
                incarnation: 1,
                state: "live".into(),
            });
        });
    }

    /// Returns the settings of an entry host of the deployment.
    pub fn host_settings(&self, name: &str, domain: &str) -> Settings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            host: HostSettings {
                name: name.into(),
                domain: domain.into(),
                ..Default::default()
            },
            callers: CallersSettings {
                listen: any_port,
                ..Default::default()
            },
            operators: OperatorsSettings {
                listen: any_port,
                ..Default::default()
            },
            peers: PeersSettings {
                listen: any_port,
                ..Default::default()
            },
            platform: PlatformSettings {
                objects: Some(self.objects.address()),
                host_list: Some(self.host_list.address()),
                rating: Some(self.rating.address()),
                host_list_period: Duration::from_millis(200),
                ..Default::default()
            },
            routing: RoutingSettings {
                load_period: self.options.load_period,
                ..Default::default()
            },
            shutdown: ShutdownSettings {
                balancer_lag: Duration::ZERO,
                ..Default::default()
            },
            ..Default::default()
        }
    }

    /// Starts an entry host.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry host cannot start.
    pub async fn start_host(&mut self, name: &str, domain: &str) -> Result<(), TransportError> {
        let host = EntryHost::start(self.host_settings(name, domain)).await?;
        self.hosts.insert(name.into(), host);
        Ok(())
    }

    /// Waits until every entry host has a configuration and sees every backend server live.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than 30 seconds.
    pub async fn wait_until_ready(&self) {
        let servers = self.engines.len() + self.services.len();
        let ready = async {
            for host in self.hosts.values() {
                while !host_is_ready(host, servers) {
                    tokio::time::sleep(READY_POLL_INTERVAL).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, ready)
            .await
            .expect("the entry hosts become ready in time");
    }

    /// Returns the address for callers of an entry host.
    ///
    /// # Panics
    ///
    /// Panics if there is no entry host of that name.
    pub fn address(&self, host: &str) -> SocketAddr {
        self.hosts[host].caller_address()
    }

    /// Returns the addresses for callers of all entry hosts.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.values().map(EntryHost::caller_address).collect()
    }

    /// Returns the configuration that a deployment starts with.
    pub fn default_documents(&self) -> Vec<ConfigObject> {
        let version = |price, quality| VersionSpec {
            pool: self.options.engine_pool.as_str().into(),
            input_price: price,
            output_price: price * 3,
            prior_quality: quality,
            ..Default::default()
        };
        let model = ModelSpec {
            name: "advice".into(),
            versions: [
                ("small".into(), version(100, 0.7)),
                ("large".into(), version(900, 0.95)),
            ]
            .into(),
        };
        let rule = |method: &str, idempotent| ServiceRule {
            method: method.into(),
            path_prefix: "/".into(),
            idempotent,
        };
        let service = ServiceSpec {
            name: self.options.service_pool.as_str().into(),
            pool: self.options.service_pool.as_str().into(),
            rules: vec![rule("GET", true), rule("POST", false)],
        };
        let pool = |name: &str| PoolSpec {
            name: name.into(),
            ..Default::default()
        };
        let mut documents = vec![
            ConfigObject::Pool(pool(&self.options.engine_pool)),
            ConfigObject::Pool(PoolSpec {
                kind: galenamast::state::PoolKind::Service,
                ..pool(&self.options.service_pool)
            }),
            ConfigObject::Model(model),
            ConfigObject::Service(service),
        ];
        for name in &self.options.workspaces {
            documents.push(ConfigObject::Workspace(WorkspaceSpec {
                name: name.as_str().into(),
                key_digests: vec![KeyDigest::of_key(&format!("{name}-key"))],
                allowed: [("advice".into(), ["small".into(), "large".into()].into())].into(),
                services: [self.options.service_pool.as_str().into()].into(),
                ..Default::default()
            }));
        }
        documents
    }

    /// Stops every entry host gracefully.
    pub async fn stop(self) {
        for host in self.hosts.into_values() {
            host.stop().await;
        }
    }
}

/// Returns whether an entry host has a configuration and knows at least `servers` live servers.
fn host_is_ready(host: &EntryHost, servers: usize) -> bool {
    let context = host.context();
    let tables = context.tables.load();
    let live = tables
        .servers
        .servers()
        .filter(|server| server.lifecycle == ServerLifecycle::Live)
        .count();
    context.image.load().generation.0 > 0 && live >= servers
}
