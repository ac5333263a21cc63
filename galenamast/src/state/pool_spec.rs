//! Configuration of server pools and plain services, as an operator sets it.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::names::{PoolName, ServerName, ServiceName};

/// Configuration of a pool of backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: PoolName,
    /// Kind of the servers in the pool.
    pub kind: PoolKind,
    /// Whether the servers refuse orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Requests that one server runs concurrently before it queues more.
    pub slots_per_server: u32,
    /// Memory for the weights of versions on one server, in mebibytes.
    pub memory_mib: u64,
    /// Time after which an attempt without any answer is abandoned.
    pub attempt_timeout: Duration,
    /// Servers that an operator took out of service; they take no new work.
    pub drained_servers: BTreeSet<ServerName>,
}

impl Default for PoolSpec {
    fn default() -> Self {
        Self {
            name: PoolName::default(),
            kind: PoolKind::Engine,
            checks_fencing: false,
            slots_per_server: 32,
            memory_mib: 81_920,
            attempt_timeout: Duration::from_secs(60),
            drained_servers: BTreeSet::new(),
        }
    }
}

/// Kind of the servers in a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    #[default]
    Engine,
    /// Plain services.
    Service,
}

/// Configuration of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Pool of backend servers that run the service.
    pub pool: PoolName,
    /// Rules that state which calls may be retried; the first matching rule applies.
    pub rules: Vec<ServiceRule>,
}

impl ServiceSpec {
    /// Finds the rule for a call; a call that matches no rule is not served.
    ///
    /// ```
    /// use galenamast::state::{ServiceRule, ServiceSpec};
    ///
    /// let rule = ServiceRule { method: "GET".into(), path_prefix: "/gear".into(), idempotent: true };
    /// let service = ServiceSpec { rules: vec![rule], ..Default::default() };
    /// assert!(service.rule_for("GET", "/gear/7").is_some_and(|rule| rule.idempotent));
    /// assert!(service.rule_for("POST", "/gear/7").is_none());
    /// ```
    pub fn rule_for(&self, method: &str, path: &str) -> Option<&ServiceRule> {
        self.rules.iter().find(|rule| rule.matches(method, path))
    }
}

/// States whether calls with a given method and path may be retried.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceRule {
    /// HTTP method, or `*` for any.
    pub method: String,
    /// Path prefix; it matches whole segments only.
    pub path_prefix: String,
    /// Whether a call may be retried.
    pub idempotent: bool,
}

impl ServiceRule {
    /// Returns whether the rule covers a call.
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.method == "*" || self.method.eq_ignore_ascii_case(method);
        method_matches && self.covers_path(path)
    }

    /// Returns whether the path lies under the rule's prefix.
    fn covers_path(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path_prefix.trim_end_matches('/')) else {
            return false;
        };
        rest.is_empty() || rest.starts_with('/')
    }
}
