//! Settings of an entry host on a platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::budgets::BudgetSettings;
use crate::coordination::cascade::CascadeSettings;
use crate::coordination::placement::{LoadSettings, PickSettings, PrefixCacheSettings};
use crate::coordination::requests::CrashSettings;
use crate::coordination::rollouts::RolloutSettings;

/// Part of the time in which a configuration binds a host for which the store's last word is enough
/// to refuse a caller; what was changed since binds no host yet.
const REFUSAL_AGE_FRACTION: f64 = 0.75;

/// Settings of an entry host on a platform.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address that callers are forwarded to.
    pub caller_address: SocketAddr,
    /// Address on which the host tells whether it takes new connections.
    pub readiness_address: SocketAddr,
    /// Address for datagrams between hosts.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Time from the request to stop until the last request is given up.
    pub grace_period: Duration,
    /// Time from the request to stop until new requests that may last long are turned away; the
    /// balancer has turned to other hosts by then.
    pub balancer_lag: Duration,
    /// Time before the end of `grace_period` from which all requests are turned away; what was let in
    /// before has this long to end.
    pub reject_window: Duration,
    /// Bodies of requests that are held at once, in bytes.
    pub max_buffered_bytes: usize,
    /// Connections of callers that are held at once.
    pub max_caller_connections: usize,
    /// Time that a new connection to a backend server may take.
    pub connect_timeout: Duration,
    /// Time without a usable store connection after which a host is bound to nothing new.
    pub contact_timeout: Duration,
    /// Time within which a configuration or a leaving server binds a host.
    pub configuration_bound: Duration,
    /// Time within which a bad version must be left.
    pub rollback_bound: Duration,
    /// Time for an answer of the store that is not a watch.
    pub store_timeout: Duration,
    /// Bounds on repeats.
    pub budget: BudgetSettings,
    /// Choice between models.
    pub cascade: CascadeSettings,
    /// Beliefs about servers.
    pub loads: LoadSettings,
    /// Beliefs about kept parts of prompts.
    pub prompt_cache: PrefixCacheSettings,
    /// Choice of servers.
    pub placement: PickSettings,
    /// Roll-outs.
    pub rollouts: RolloutSettings,
    /// Requests that crash servers.
    pub crashes: CrashSettings,
}

impl GatewaySettings {
    /// Returns the age of the last word of the store from which a refusal of a caller is checked
    /// first.
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
            grace_period: Duration::from_secs(8),
            balancer_lag: Duration::from_millis(2_800),
            reject_window: Duration::from_millis(2_200),
            max_buffered_bytes: 64 * 1_024 * 1_024,
            max_caller_connections: 1_500,
            connect_timeout: Duration::from_millis(400),
            contact_timeout: Duration::from_secs(3),
            configuration_bound: Duration::from_secs(2),
            rollback_bound: Duration::from_secs(5),
            store_timeout: Duration::from_millis(1_000),
            budget: BudgetSettings::default(),
            cascade: CascadeSettings::default(),
            loads: LoadSettings::default(),
            prompt_cache: PrefixCacheSettings::default(),
            placement: PickSettings::default(),
            rollouts: RolloutSettings::default(),
            crashes: CrashSettings::default(),
        }
    }
}
