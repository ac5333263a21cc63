//! The platform's balancer: readiness checks and the choice of a host for a new connection.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;

use crate::host_process::HostProcess;

/// Time between two readiness checks of a host.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Failed checks in a row that take a host out of rotation.
const MISSES: u32 = 2;

/// Chooses hosts by a hash of the caller among those in rotation.
#[derive(Debug)]
pub(crate) struct HostBalancer {
    hosts: Vec<Arc<HostProcess>>,
    misses: Mutex<BTreeMap<usize, u32>>,
}

impl HostBalancer {
    /// Creates a balancer with all hosts in rotation.
    pub(crate) fn new(hosts: Vec<Arc<HostProcess>>) -> Self {
        Self {
            hosts,
            misses: Mutex::new(BTreeMap::new()),
        }
    }

    /// Checks the hosts and reads their memory once per second; never returns.
    pub(crate) async fn check_hosts(&self) {
        let mut period = tokio::time::interval(CHECK_PERIOD);
        loop {
            period.tick().await;
            let checks = join_all(self.hosts.iter().map(|host| host.is_ready())).await;
            let mut misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
            for (index, is_ready) in checks.into_iter().enumerate() {
                self.hosts[index].peak_memory();
                let count = misses.entry(index).or_default();
                *count = if is_ready { 0 } else { *count + 1 };
            }
        }
    }

    /// Returns the index of the host for a caller's new connection.
    pub(crate) fn pick(&self, client: u32, zone: &str, attempt: u32) -> usize {
        let misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        let in_rotation = |index: &usize| misses.get(index).is_none_or(|count| *count < MISSES);
        let of_zone: Vec<usize> = all
            .iter()
            .copied()
            .filter(|index| self.hosts[*index].zone == zone)
            .collect();
        let usable: Vec<usize> = of_zone.iter().copied().filter(in_rotation).collect();
        let chosen = if usable.is_empty() {
            let others: Vec<usize> = all.iter().copied().filter(in_rotation).collect();
            if others.is_empty() { all } else { others }
        } else if usable.len() * 2 < of_zone.len() {
            of_zone
        } else {
            usable
        };
        let mut hasher = DefaultHasher::new();
        (client, attempt).hash(&mut hasher);
        chosen[hasher.finish() as usize % chosen.len()]
    }
}
