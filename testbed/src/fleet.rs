//! A deployment whose entry hosts can be cut off, killed and replaced.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use galenamast::config::Settings;
use galenamast::coordination::MemberRecord;
use galenamast::event_loop::EntryHost;
use galenamast::state::{ConfigGeneration, ServerLifecycle, VersionKey};
use galenamast::transport::{PeerMesh, TransportError};
use galenamast_fakes::{EngineRun, ObjectEndpoint};
use tokio::task::JoinSet;

use crate::deployment::{Deployment, DeploymentOptions};
use crate::fleet_settings::tune_settings;
use crate::host_runtime::HostRuntime;
use crate::wait::wait_until;

/// An entry host of a fleet.
#[derive(Debug)]
pub struct FleetHost {
    /// Failure domain of the host.
    pub domain: String,
    /// Endpoint at which the host reaches the object API; its faults affect only this host.
    pub object_endpoint: ObjectEndpoint,
    entry: EntryHost,
    runtime: HostRuntime,
}

impl FleetHost {
    /// Returns the running host.
    pub fn entry(&self) -> &EntryHost {
        &self.entry
    }

    /// Returns the host's connections to its peers.
    ///
    /// # Panics
    ///
    /// Panics if the host has not started its mesh.
    pub fn mesh(&self) -> &PeerMesh {
        let context = self.entry.context();
        context.peers.get().expect("the host has started")
    }

    /// Returns the generation of the configuration that the host has adopted.
    pub fn generation(&self) -> ConfigGeneration {
        self.entry.context().image.load().generation
    }

    /// Blocks all threads of the host for a time, like a paused machine.
    pub fn pause(&self, time: Duration) {
        self.runtime.pause(time);
    }

    /// Returns whether the host knows a live server that serves a version.
    fn sees_version(&self, version: &VersionKey) -> bool {
        let tables = self.entry.context().tables.load();
        tables.servers.servers().any(|server| {
            server.lifecycle == ServerLifecycle::Live && server.versions.contains(version)
        })
    }
}

/// What a failure domain is cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CutSide {
    /// The entry hosts of other failure domains.
    Peers,
    /// The object API.
    Platform,
}

/// A deployment in which each entry host runs on its own threads.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-ins of the deployment; its own map of entry hosts stays empty.
    pub deployment: Deployment,
    /// Entry hosts by name.
    pub hosts: BTreeMap<String, FleetHost>,
    cuts: BTreeSet<(String, CutSide)>,
    successor_count: usize,
}

impl Fleet {
    /// Starts the stand-ins and the entry hosts, and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry host cannot start.
    pub async fn start(options: DeploymentOptions) -> Result<Self, TransportError> {
        let deployment = Deployment::without_hosts(options).await?;
        Self::start_on(deployment).await
    }

    /// Starts the entry hosts of a deployment, and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry host cannot start.
    pub async fn start_on(deployment: Deployment) -> Result<Self, TransportError> {
        let mut fleet = Self::without_hosts(deployment);
        let options = fleet.deployment.options.clone();
        for domain in &options.domains {
            for index in 0..options.hosts_per_domain {
                fleet.add(&format!("{domain}-{index}"), domain).await?;
            }
        }
        fleet.wait_until_converged().await;
        Ok(fleet)
    }

    /// Creates a fleet without entry hosts.
    pub fn without_hosts(deployment: Deployment) -> Self {
        Self {
            deployment,
            hosts: BTreeMap::new(),
            cuts: BTreeSet::new(),
            successor_count: 0,
        }
    }

    /// Starts an entry host with all running hosts as its seeds, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot start.
    pub async fn add(&mut self, name: &str, domain: &str) -> Result<(), TransportError> {
        self.add_with(name, domain, |_| {}).await
    }

    /// Starts an entry host with changed settings, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot start.
    pub async fn add_with(
        &mut self,
        name: &str,
        domain: &str,
        change: impl FnOnce(&mut Settings),
    ) -> Result<(), TransportError> {
        let object_endpoint = self.deployment.objects.open_endpoint().await;
        let shared = self.deployment.objects.faults().plan();
        object_endpoint.faults().set(|plan| *plan = shared);
        let mut settings = self.deployment.host_settings(name, domain);
        tune_settings(&mut settings);
        settings.platform.objects = Some(object_endpoint.address());
        settings.peers.seeds = self
            .hosts
            .values()
            .map(|host| host.mesh().address())
            .collect();
        change(&mut settings);
        let runtime = HostRuntime::start(name);
        let entry = runtime.run(EntryHost::start(settings)).await?;
        let host = FleetHost {
            domain: domain.into(),
            object_endpoint,
            entry,
            runtime,
        };
        self.hosts.insert(name.into(), host);
        self.apply_cuts();
        Ok(())
    }

    /// Stops an entry host at once, without cleanup, as if its machine were lost.
    ///
    /// # Panics
    ///
    /// Panics if there is no entry host of that name.
    pub fn kill(&mut self, name: &str) {
        let host = self.hosts.remove(name).expect("the host runs");
        host.runtime.kill();
    }

    /// Stops an entry host gracefully.
    ///
    /// # Panics
    ///
    /// Panics if there is no entry host of that name.
    pub async fn stop_host(&mut self, name: &str) {
        let host = self.hosts.remove(name).expect("the host runs");
        host.runtime.run(host.entry.stop()).await;
    }

    /// Starts a successor of a running host, with a new name and port, and waits until it is ready;
    /// returns its name.
    ///
    /// # Errors
    ///
    /// Returns an error if the new host cannot start.
    ///
    /// # Panics
    ///
    /// Panics if there is no entry host of that name.
    pub async fn start_successor(&mut self, name: &str) -> Result<String, TransportError> {
        let domain = self.hosts[name].domain.clone();
        self.successor_count += 1;
        let successor = format!("{domain}-next-{}", self.successor_count);
        self.add(&successor, &domain).await?;
        self.wait_until_ready(&successor).await;
        Ok(successor)
    }

    /// Cuts a failure domain off from peers, the platform or both until [`Fleet::heal`] is called.
    pub fn cut(&mut self, domain: &str, sides: &[CutSide]) {
        let cuts = sides.iter().map(|side| (domain.to_owned(), *side));
        self.cuts.extend(cuts);
        self.apply_cuts();
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.apply_cuts();
    }

    /// Applies the current cuts to every host.
    fn apply_cuts(&self) {
        for host in self.hosts.values() {
            let is_isolated =
                |domain: &str| self.cuts.contains(&(domain.to_owned(), CutSide::Peers));
            let is_unreachable = |other: &&FleetHost| {
                other.domain != host.domain
                    && (is_isolated(&other.domain) || is_isolated(&host.domain))
            };
            let others = self.hosts.values().filter(is_unreachable);
            host.mesh()
                .block(others.map(|other| other.mesh().address()).collect());
            let cut = self
                .cuts
                .contains(&(host.domain.clone(), CutSide::Platform));
            let platform_refuses = self.deployment.objects.faults().plan().refuse;
            host.object_endpoint
                .faults()
                .set(|plan| plan.refuse = cut || platform_refuses);
        }
    }

    /// Changes the faults of the object API and of every host's endpoint to it.
    pub fn set_platform_faults(&self, change: impl Fn(&mut galenamast_fakes::FaultPlan)) {
        self.deployment.objects.faults().set(&change);
        for host in self.hosts.values() {
            host.object_endpoint.faults().set(&change);
        }
    }

    /// Returns the hosts of a failure domain.
    pub fn hosts_in_domain<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = &'a FleetHost> {
        self.hosts
            .values()
            .filter(move |host| host.domain == domain)
    }

    /// Returns the address for callers of an entry host.
    ///
    /// # Panics
    ///
    /// Panics if there is no entry host of that name.
    pub fn address(&self, host: &str) -> SocketAddr {
        self.hosts[host].entry.caller_address()
    }

    /// Returns the addresses for callers of all entry hosts.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.values();
        hosts.map(|host| host.entry.caller_address()).collect()
    }

    /// Returns the requests that the engines started.
    pub fn engine_runs(&self) -> Vec<EngineRun> {
        let engines = self.deployment.engines.values();
        engines.flat_map(|engine| engine.runs()).collect()
    }

    /// Waits until an entry host is ready and lists every running backend server as live.
    pub async fn wait_until_ready(&self, name: &str) {
        let running = self
            .deployment
            .engines
            .values()
            .filter(|engine| !engine.is_dead());
        let servers = running.count() + self.deployment.services.len();
        let context = self.hosts[name].entry.context();
        wait_until(&format!("{name} is ready"), || {
            let tables = context.tables.load();
            let known = tables.servers.servers();
            let live = known.filter(|server| server.lifecycle == ServerLifecycle::Live);
            context.is_ready() && live.count() >= servers
        })
        .await;
    }

    /// Waits until every entry host is ready and knows all hosts of its failure domain.
    pub async fn wait_until_converged(&self) {
        for name in self.hosts.keys() {
            self.wait_until_ready(name).await;
        }
        wait_until("the hosts of each domain know each other", || {
            self.hosts.values().all(|host| {
                let members = host.mesh().members();
                let in_domain = |member: &&MemberRecord| member.domain.as_str() == host.domain;
                members.live().filter(in_domain).count()
                    == self.hosts_in_domain(&host.domain).count()
            })
        })
        .await;
    }

    /// Waits until every entry host has adopted a generation or a later one.
    pub async fn wait_for_generation(&self, generation: ConfigGeneration) {
        wait_until(&format!("generation {generation} everywhere"), || {
            let hosts = self.hosts.values();
            hosts
                .map(FleetHost::generation)
                .all(|found| found >= generation)
        })
        .await;
    }

    /// Waits until every entry host knows a live server that serves a version.
    pub async fn wait_for_version(&self, version: &VersionKey) {
        wait_until(&format!("{version} is served"), || {
            self.hosts.values().all(|host| host.sees_version(version))
        })
        .await;
    }

    /// Stops all entry hosts gracefully and in parallel, and returns the stand-ins.
    ///
    /// # Panics
    ///
    /// Panics if a host fails while it stops.
    pub async fn stop(self) -> Deployment {
        let mut stopping = JoinSet::new();
        for host in self.hosts.into_values() {
            let FleetHost {
                entry,
                runtime,
                object_endpoint,
                ..
            } = host;
            stopping.spawn(async move {
                runtime.run(entry.stop()).await;
                drop(object_endpoint);
            });
        }
        while let Some(stopped) = stopping.join_next().await {
            stopped.expect("the host stops");
        }
        self.deployment
    }
}
