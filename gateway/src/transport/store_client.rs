//! The one client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use thiserror::Error;

use crate::transport::connection_pool::{BackendConnection, ConnectionPool};

/// Greatest size of an answer of the store in bytes; a page holds about 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;

/// A call of the store got no answer that can be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store cannot be reached.
    #[error("the store cannot be reached: {0}")]
    Unreachable(#[from] std::io::Error),
    /// The connection broke; the call may have been executed.
    #[error("the connection to the store broke: {0}")]
    ConnectionLost(String),
    /// No answer came in time; the call may have been executed.
    #[error("the store did not answer in time")]
    TimedOut,
    /// The store answered with another status.
    #[error("the store answered with status {0}")]
    Status(StatusCode),
    /// The answer cannot be read.
    #[error(transparent)]
    Format(#[from] crate::protocol::FormatError),
}

/// Client of the platform's store.
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

    /// Makes a call and returns the answer's status and body.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole answer came in time.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let calling = self.call_without_timeout(method, path, body);
        tokio::time::timeout(timeout, calling)
            .await
            .unwrap_or(Err(StoreError::TimedOut))
    }

    /// Makes a read and returns the body of an answer with status 200.
    ///
    /// # Errors
    ///
    /// Returns an error if no such answer came in time.
    pub async fn read(&self, path: &str, timeout: Duration) -> Result<Bytes, StoreError> {
        match self.call(Method::GET, path, Vec::new(), timeout).await? {
            (StatusCode::OK, body) => Ok(body),
            (status, _) => Err(StoreError::Status(status)),
        }
    }

    /// Makes a call without a bound on its time.
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
        let broken = |error: hyper::Error| StoreError::ConnectionLost(error.to_string());
        let response = connection.send(request).await.map_err(broken)?;
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
