//! An immutable snapshot of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::state::{ServiceRoute, ServiceSpec};

/// SHA-256 digest of a credential. Looking up by digest takes the same time for any wrong
/// credential.
pub type CredentialDigest = [u8; 32];

/// The workspace that holds a credential.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Priority that overrides the route's, if set; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Limits on a caller's connection and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Greatest size of a request head, in bytes.
    pub header_bytes: usize,
    /// Greatest size of a request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that reading a request head may take.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1_024,
            body_bytes: 4 * 1_024 * 1_024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigSnapshot {
    /// Version number, which never decreases.
    pub version: u64,
    /// Routes by lower-case host name, longest path prefix first.
    pub routes: BTreeMap<Arc<str>, Vec<Arc<ServiceRoute>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServiceSpec>,
    /// Workspaces by the digests of their credentials.
    pub workspaces: BTreeMap<CredentialDigest, WorkspaceEntry>,
    /// Whether callers need a credential on routes that are not public.
    pub needs_credentials: bool,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl ConfigSnapshot {
    /// Replaces the routes and sorts them for look-up.
    pub fn set_routes(&mut self, routes: Vec<ServiceRoute>) {
        self.routes.clear();
        for route in routes {
            let host_routes = self.routes.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route));
        }
        for host_routes in self.routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
    }

    /// Finds the route for a host name, with or without a port, and a path. The longest matching
    /// prefix wins.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoute>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let path = path.split('?').next().unwrap_or(path);
        let host_routes = self.routes.get(host.as_str())?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Finds the workspace that holds a credential.
    pub fn find_workspace(&self, credential: &str) -> Option<&WorkspaceEntry> {
        self.workspaces.get(&digest_credential(credential))
    }

    /// Adds a workspace with its credentials.
    pub fn add_workspace(&mut self, workspace: &WorkspaceEntry, credentials: &[String]) {
        for credential in credentials {
            let digest = digest_credential(credential);
            self.workspaces.insert(digest, workspace.clone());
        }
    }
}

/// Returns the digest of a credential.
fn digest_credential(credential: &str) -> CredentialDigest {
    Sha256::digest(credential.as_bytes()).into()
}
