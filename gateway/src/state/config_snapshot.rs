//! The configuration that is in force, as one immutable image.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::state::{ServiceRoute, ServiceSpec};

/// Digest of a credential; look-ups by digest take the same time for any wrong credential.
pub type CredentialDigest = [u8; 32];

/// The workspace that holds a credential.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// Bounds on what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Greatest size of a request's head in bytes.
    pub header_bytes: usize,
    /// Greatest size of a request's body in bytes.
    pub body_bytes: usize,
    /// Longest time that a head may take.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
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

/// A configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigSnapshot {
    /// Version; it only grows.
    pub version: u64,
    /// Routes by host name, those with the longest prefix first.
    pub routes: BTreeMap<Arc<str>, Vec<Arc<ServiceRoute>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServiceSpec>,
    /// Workspaces by the digests of their credentials.
    pub workspaces: BTreeMap<CredentialDigest, WorkspaceEntry>,
    /// Whether callers need a credential at all.
    pub needs_credentials: bool,
    /// Bounds on what a caller sends.
    pub limits: CallerLimits,
}

impl ConfigSnapshot {
    /// Puts routes into the order in which they are searched.
    pub fn set_routes(&mut self, routes: Vec<ServiceRoute>) {
        self.routes.clear();
        for route in routes {
            let of_host = self.routes.entry(route.host.clone()).or_default();
            of_host.push(Arc::new(route));
        }
        for of_host in self.routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
    }

    /// Finds the route of a request by its host name, with or without a port, and its path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoute>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let path = path.split('?').next().unwrap_or(path);
        let of_host = self.routes.get(host.as_str())?;
        of_host
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
