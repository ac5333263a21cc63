//! Registry of the requests in flight on an entry host and the attempts on each server.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::coordination::{AttemptNumber, CrashFingerprint};
use crate::state::{RequestId, ServerName};

/// Requests in flight, and the attempts that run on each server.
#[derive(Debug, Default)]
pub struct RequestRegistry {
    tables: Mutex<RegistryTables>,
}

/// Tables of the registry. `requests` counts the open parts of each request, such as the handler of
/// its connection and the job that runs it.
#[derive(Debug, Default)]
struct RegistryTables {
    requests: BTreeMap<RequestId, u32>,
    servers: BTreeMap<ServerName, BTreeMap<(RequestId, AttemptNumber), CrashFingerprint>>,
}

impl RequestRegistry {
    /// Registers a part of a request; returns false if `max_requests` requests are in flight.
    pub fn open(&self, id: RequestId, max_requests: u32) -> bool {
        let mut tables = self.lock();
        if tables.requests.len() >= max_requests as usize {
            return false;
        }
        *tables.requests.entry(id).or_default() += 1;
        true
    }

    /// Removes one part of a request; the request leaves the registry with its last part.
    pub fn close(&self, id: RequestId) {
        let mut tables = self.lock();
        if let Some(count) = tables.requests.get_mut(&id) {
            *count -= 1;
            if *count == 0 {
                tables.requests.remove(&id);
            }
        }
    }

    /// Returns the identifiers of the requests in flight.
    pub fn requests(&self) -> Vec<RequestId> {
        self.lock().requests.keys().copied().collect()
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.lock().requests.len()
    }

    /// Returns whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Registers an attempt on a server.
    pub fn start_attempt(
        &self,
        server: &ServerName,
        attempt: (RequestId, AttemptNumber),
        fingerprint: CrashFingerprint,
    ) {
        let mut tables = self.lock();
        let running = tables.servers.entry(server.clone()).or_default();
        running.insert(attempt, fingerprint);
    }

    /// Removes an attempt from a server.
    pub fn end_attempt(&self, server: &ServerName, attempt: (RequestId, AttemptNumber)) {
        let mut tables = self.lock();
        if let Some(running) = tables.servers.get_mut(server) {
            running.remove(&attempt);
            if running.is_empty() {
                tables.servers.remove(server);
            }
        }
    }

    /// Removes the attempts on a server that crashed and returns their fingerprints; a second call
    /// returns none.
    pub fn take_suspects(&self, server: &ServerName) -> Vec<CrashFingerprint> {
        let running = self.lock().servers.remove(server);
        running.unwrap_or_default().into_values().collect()
    }

    /// Locks the tables; a poisoned lock is used as it is.
    fn lock(&self) -> MutexGuard<'_, RegistryTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
