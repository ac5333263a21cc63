//! Client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use thiserror::Error;

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
    /// The store responded with an unexpected status.
    #[error("the store responded with status {0}")]
    Status(StatusCode),
    /// The response cannot be decoded.
    #[error(transparent)]
    Format(#[from] crate::protocol::FormatError),
}

/// Client of the platform's store, with its own pool of connections.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    connect_timeout: Duration,
    pool: ConnectionPool,
}

impl StoreClient {
    /// Creates a client of the store at an address.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            pool: ConnectionPool::default(),
        }
    }

    /// Makes a call and returns the status and body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrived within `timeout`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
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

    /// Makes a read and returns the body of a response with status 200.
    ///
    /// # Errors
    ///
    /// Returns an error if no such response arrived within `timeout`.
    pub async fn read(&self, path: &str, timeout: Duration) -> Result<Bytes, StoreError> {
        match self.call(Method::GET, path, Vec::new(), timeout).await? {
            (StatusCode::OK, body) => Ok(body),
            (status, _) => Err(StoreError::Status(status)),
        }
    }

    /// Makes a call without a timeout for the response.
    async fn call_without_timeout(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), StoreError> {
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
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body
            .map_err(|error| StoreError::ConnectionLost(error.to_string()))?
            .to_bytes();
        self.pool.keep(connection, None);
        Ok((status, body))
    }
}
