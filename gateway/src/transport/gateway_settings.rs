//! Settings of an entry host on a platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::admission::AdmissionSettings;
use crate::coordination::budgets::BudgetSettings;
use crate::coordination::callers::EvictionSettings;
use crate::coordination::cascade::CascadeSettings;
use crate::coordination::crashes::CrashSettings;
use crate::coordination::liveness::LivenessSettings;
use crate::coordination::memory::ReadAheadSettings;
use crate::coordination::permits::{ColdSettings, LimitSettings};
use crate::coordination::placement::{LoadSettings, PickSettings, PrefixCacheSettings};
use crate::coordination::reach::{PeerSettings, ReachSettings};
use crate::coordination::rollouts::RolloutSettings;
use crate::coordination::shutdown::StopSettings;
use crate::state::FollowedKind;

/// Fraction of `configuration_bound` during which a confirmed configuration is fresh enough to
/// refuse a caller: hosts need not apply a change made since then yet.
const REFUSAL_AGE_FRACTION: f64 = 0.75;

/// Settings of an entry host on a platform.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address that accepts callers' connections.
    pub caller_address: SocketAddr,
    /// Address that serves readiness and metrics.
    pub readiness_address: SocketAddr,
    /// Address for UDP datagrams between hosts.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Times of a stop.
    pub stop: StopSettings,
    /// Memory that the process may use, in bytes.
    pub process_memory_bytes: usize,
    /// Largest total size of bodies in memory, in bytes.
    pub max_buffered_bytes: usize,
    /// Largest number of open connections from callers and other hosts.
    pub max_caller_connections: usize,
    /// Largest number of open connections to servers and other hosts.
    pub max_server_connections: usize,
    /// Order in which connections give way when there is no room for others.
    pub eviction: EvictionSettings,
    /// Receive buffer of a connection from a caller or another host, in bytes. Linux allocates twice as much.
    pub caller_receive_bytes: u32,
    /// Send buffer of such a connection, in bytes. Linux allocates twice as much.
    pub caller_send_bytes: u32,
    /// Receive buffer of a connection to a backend server or another host, in bytes. Linux allocates twice
    /// as much.
    pub server_receive_bytes: u32,
    /// Timeout for opening a connection to a backend server or the store.
    pub connect_timeout: Duration,
    /// Time without a usable connection to the store after which the bounds on applying changes no
    /// longer hold for a host.
    pub contact_timeout: Duration,
    /// Time within which a host must apply a new configuration or a server's departure.
    pub configuration_bound: Duration,
    /// Time within which a host must stop using a bad version.
    pub rollback_bound: Duration,
    /// Timeout for calls to the store other than watches.
    pub store_timeout: Duration,
    /// Time within which a host must stop sending to an evacuated failure domain; `None` if domains
    /// are not evacuated.
    pub evacuation_bound: Option<Duration>,
    /// Bound on requests to cold servers; `None` if servers are never cold.
    pub cold: Option<ColdSettings>,
    /// Rejection of requests that cannot be served in time.
    pub admission: AdmissionSettings,
    /// Limits on retries.
    pub budget: BudgetSettings,
    /// Choice between a smaller and a larger model.
    pub cascade: CascadeSettings,
    /// Load estimates of servers.
    pub loads: LoadSettings,
    /// Shares of the limits that servers name.
    pub limits: LimitSettings,
    /// Index of prompt prefixes that engines have cached.
    pub prefix_cache: PrefixCacheSettings,
    /// Choice of a server for a request.
    pub placement: PickSettings,
    /// Roll-outs.
    pub rollouts: RolloutSettings,
    /// Quarantine of requests that crash servers.
    pub crashes: CrashSettings,
    /// Detection of lost paths to servers.
    pub reach: ReachSettings,
    /// Checks of the hosts that requests may be passed on to.
    pub peers: PeerSettings,
    /// Judgement of servers at which requests wait.
    pub liveness: LivenessSettings,
    /// Bounds on what is read ahead for slow callers.
    pub read_ahead: ReadAheadSettings,
}

impl GatewaySettings {
    /// Returns the kinds of objects that the host follows.
    pub fn followed_kinds(&self) -> Vec<FollowedKind> {
        let evacuations = self.evacuation_bound.map(|_| FollowedKind::Evacuations);
        FollowedKind::ALWAYS
            .into_iter()
            .chain(evacuations)
            .collect()
    }

    /// Returns the time within which a host must know all changes of the kinds that it follows.
    pub fn knowledge_bound(&self) -> Duration {
        let evacuation_bound = self.evacuation_bound.unwrap_or(Duration::MAX);
        self.configuration_bound.min(evacuation_bound)
    }

    /// Returns the age of the configuration from which it is read again before a caller is refused.
    pub fn refusal_recheck_age(&self) -> Duration {
        self.configuration_bound.mul_f64(REFUSAL_AGE_FRACTION)
    }
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let ephemeral = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            host: "entry-host".into(),
            domain: "local".into(),
            caller_address: ephemeral,
            readiness_address: ephemeral,
            peer_address: ephemeral,
            store_address: ephemeral,
            stop: StopSettings::default(),
            process_memory_bytes: 256_000_000,
            max_buffered_bytes: 64 * 1_024 * 1_024,
            max_caller_connections: 1_500,
            max_server_connections: 1_500,
            eviction: EvictionSettings::default(),
            caller_receive_bytes: 8 * 1_024,
            caller_send_bytes: 32 * 1_024,
            server_receive_bytes: 16 * 1_024,
            connect_timeout: Duration::from_millis(400),
            contact_timeout: Duration::from_secs(3),
            configuration_bound: Duration::from_secs(2),
            rollback_bound: Duration::from_secs(5),
            store_timeout: Duration::from_millis(1_000),
            evacuation_bound: None,
            cold: None,
            admission: AdmissionSettings::default(),
            budget: BudgetSettings::default(),
            cascade: CascadeSettings::default(),
            loads: LoadSettings::default(),
            limits: LimitSettings::default(),
            prefix_cache: PrefixCacheSettings::default(),
            placement: PickSettings::default(),
            rollouts: RolloutSettings::default(),
            crashes: CrashSettings::default(),
            reach: ReachSettings::default(),
            peers: PeerSettings::default(),
            liveness: LivenessSettings::default(),
            read_ahead: ReadAheadSettings::default(),
        }
    }
}
