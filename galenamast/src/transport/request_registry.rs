//! The requests in flight on an entry host, and the servers that they run on.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::coordination::{AttemptNumber, CrashFingerprint};
use crate::state::{RequestId, ServerName};

/// Requests in flight, and what runs on each server.
#[derive(Debug, Default)]
pub struct RequestRegistry {
    tables: Mutex<BoardTables>,
}

/// Tables of the board.
#[derive(Debug, Default)]
struct BoardTables {
    requests: BTreeMap<RequestId, u32>,
    servers: BTreeMap<ServerName, BTreeMap<(RequestId, AttemptNumber), CrashFingerprint>>,
}

impl RequestRegistry {
    /// Notes a request; returns false if the host has as many as it may.
    pub fn open(&self, id: RequestId, max_requests: u32) -> bool {
        let mut tables = self.lock();
        if tables.requests.len() >= max_requests as usize {
            return false;
        }
        *tables.requests.entry(id).or_default() += 1;
        true
    }

    /// Notes that a part of a request ended.
    pub fn close(&self, id: RequestId) {
        let mut tables = self.lock();
        if let Some(count) = tables.requests.get_mut(&id) {
            *count -= 1;
            if *count == 0 {
                tables.requests.remove(&id);
            }
        }
    }

    /// Returns the requests in flight.
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

    /// Notes that an attempt runs on a server.
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

    /// Notes that an attempt no longer runs on a server.
    pub fn end_attempt(&self, server: &ServerName, attempt: (RequestId, AttemptNumber)) {
        let mut tables = self.lock();
        if let Some(running) = tables.servers.get_mut(server) {
            running.remove(&attempt);
            if running.is_empty() {
                tables.servers.remove(server);
            }
        }
    }

    /// Takes out all attempts that ran on a server that died; a second call finds none.
    pub fn take_suspects(&self, server: &ServerName) -> Vec<CrashFingerprint> {
        let running = self.lock().servers.remove(server);
        running.unwrap_or_default().into_values().collect()
    }

    /// Locks the tables.
    fn lock(&self) -> MutexGuard<'_, BoardTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
