//! Client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use thiserror::Error;
use tokio::sync::watch;

use crate::transport::connection_pool::{BackendConnection, ConnectionPool};

/// Largest response of the store in bytes; a page of a list holds about 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;

/// A call to the store failed or its response cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store cannot be reached.
    #[error("cannot connect to the store: {0}")]
    Unreachable(#[from] std::io::Error),
    /// The connection failed during the call, which may have been executed.
    #[error("the connection to the store failed: {0}")]
    ConnectionLost(String),
    /// The store did not respond in time; the call may have been executed.
    #[error("the store did not respond in time")]
    TimedOut,
    /// The response is of an earlier era than another one, and therefore stale.
    #[error("the response is of era {0}, before the store returned from a copy")]
    EarlierEra(u64),
    /// The store returned from a copy between two pages of a list.
    #[error("the store returned from a copy, to era {0}, during a list")]
    EraChanged(u64),
    /// The store responded with an unexpected status.
    #[error("the store responded with status {0}")]
    Status(StatusCode),
    /// The response cannot be decoded.
    #[error(transparent)]
    Format(#[from] crate::protocol::FormatError),
}

/// A response of the store.
#[derive(Clone, Debug)]
pub struct StoreResponse {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
    /// Era of the store; 0 if no response has stated one yet.
    pub era: u64,
}

/// Client of the platform's store, with its own pool of connections.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    connect_timeout: Duration,
    read_era: fn(&HeaderMap) -> Option<u64>,
    pool: ConnectionPool,
    // Latest era that a response stated; 0 if none has.
    era: watch::Sender<u64>,
}

impl StoreClient {
    /// Creates a client of the store at an address.
    pub fn new(
        address: SocketAddr,
        connect_timeout: Duration,
        read_era: fn(&HeaderMap) -> Option<u64>,
    ) -> Self {
        Self {
            address,
            connect_timeout,
            read_era,
            pool: ConnectionPool::default(),
            era: watch::Sender::new(0),
        }
    }

    /// Returns the latest era that a response stated; 0 if none has.
    pub fn era(&self) -> u64 {
        *self.era.borrow()
    }

    /// Waits until a response states a later era than `era`, and returns it.
    pub async fn later_era(&self, era: u64) -> u64 {
        let mut eras = self.era.subscribe();
        // The sender lives as long as this borrow.
        let later = eras.wait_for(|latest| *latest > era).await;
        later.map_or(era, |latest| *latest)
    }

    /// Makes a call and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrived within `timeout`, or only one of an earlier
    /// era.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let response = self.call_without_timeout(method, path, body);
        let result = tokio::time::timeout(timeout, response)
            .await
            .unwrap_or(Err(StoreError::TimedOut));
        if result.is_err() {
            // Idle connections may have gone silent at the same time.
            self.pool.clear(self.address);
        }
        result
    }

    /// Makes a read and returns a response with status 200.
    ///
    /// # Errors
    ///
    /// Returns an error if no such response arrived within `timeout`.
    pub async fn read(&self, path: &str, timeout: Duration) -> Result<StoreResponse, StoreError> {
        let response = self.call(Method::GET, path, Vec::new(), timeout).await?;
        match response.status {
            StatusCode::OK => Ok(response),
            status => Err(StoreError::Status(status)),
        }
    }

    /// Records the era that a response states, and returns the era that the response belongs to.
    fn record_era(&self, headers: &HeaderMap) -> Result<u64, StoreError> {
        let latest = self.era();
        let era = (self.read_era)(headers).unwrap_or(latest);
        if era < latest {
            return Err(StoreError::EarlierEra(era));
        }
        if era > latest {
            self.era.send_replace(era);
        }
        Ok(era)
    }

    /// Makes a call without a timeout for the response.
    async fn call_without_timeout(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<StoreResponse, StoreError> {
        let mut connection = match self.pool.take(self.address) {
            Some(connection) => connection,
            None => BackendConnection::open(self.address, self.connect_timeout).await?,
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| StoreError::ConnectionLost(error.to_string()))?;
        let connection_lost = |error: hyper::Error| StoreError::ConnectionLost(error.to_string());
        let response = connection.send(request).await.map_err(connection_lost)?;
        let status = response.status();
        let era = self.record_era(response.headers())?;
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body
            .map_err(|error| StoreError::ConnectionLost(error.to_string()))?
            .to_bytes();
        self.pool.keep(connection, None);
        Ok(StoreResponse { status, body, era })
    }
}
