//! Client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use galenamast::transport::{BodyError, BoundedBody};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::transport::connection_pool::{BackendConnection, ConnectionPool};

/// Largest response of the store in bytes; a page of a list holds about 1 MB.
const MAX_RESPONSE_BYTES: usize = 4 * 1_024 * 1_024;
/// Largest response to a watch in bytes. It may hold any number of changes; a list, which is read in
/// pages, takes the place of a larger one. The largest object has about 1 MB.
const MAX_WATCH_BYTES: usize = 2 * 1_024 * 1_024;
/// Receive buffer of a connection to the store, in bytes.
const RECEIVE_BYTES: u32 = 128 * 1_024;

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
    /// The response is larger than the host accepts, in bytes.
    #[error("the response is larger than {0} bytes")]
    TooLarge(usize),
    /// The head of the response arrived in time, but not all of its body.
    #[error("the body of the response did not arrive in time")]
    BodyTimedOut,
    /// The response cannot be decoded.
    #[error(transparent)]
    Format(#[from] crate::protocol::FormatError),
}

impl StoreError {
    /// Returns whether the store responded, but the response cannot be read, so that the same call is
    /// likely to fail again.
    pub(crate) const fn is_unreadable(&self) -> bool {
        matches!(
            self,
            Self::TooLarge(_) | Self::BodyTimedOut | Self::Format(_)
        )
    }
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

/// Limits of a call.
#[derive(Clone, Copy, Debug)]
struct CallLimits {
    deadline: Instant,
    max_bytes: usize,
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
        let limits = CallLimits {
            deadline: Instant::now() + timeout,
            max_bytes: MAX_RESPONSE_BYTES,
        };
        self.call_within(method, path, body, limits).await
    }

    /// Makes a read and returns a response with status 200.
    ///
    /// # Errors
    ///
    /// Returns an error if no such response arrived within `timeout`.
    pub async fn read(&self, path: &str, timeout: Duration) -> Result<StoreResponse, StoreError> {
        accept_success(self.call(Method::GET, path, Vec::new(), timeout).await?)
    }

    /// Makes a watch and returns a response with status 200.
    ///
    /// # Errors
    ///
    /// Returns an error if no such response arrived within `timeout`, or one that is larger than a
    /// watch may be.
    pub async fn watch(&self, path: &str, timeout: Duration) -> Result<StoreResponse, StoreError> {
        let limits = CallLimits {
            deadline: Instant::now() + timeout,
            max_bytes: MAX_WATCH_BYTES,
        };
        let response = self.call_within(Method::GET, path, Vec::new(), limits);
        accept_success(response.await?)
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

    /// Makes a call within its limits.
    async fn call_within(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limits: CallLimits,
    ) -> Result<StoreResponse, StoreError> {
        let result = self.exchange(method, path, body, limits).await;
        if result.as_ref().is_err_and(|error| !error.is_unreadable()) {
            // Idle connections may have gone silent at the same time.
            self.pool.clear(self.address);
        }
        result
    }

    /// Sends a request and reads the response.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limits: CallLimits,
    ) -> Result<StoreResponse, StoreError> {
        let sending = timeout_at(limits.deadline, self.send(method, path, body)).await;
        let (connection, response) = sending.unwrap_or(Err(StoreError::TimedOut))?;
        let status = response.status();
        let era = self.record_era(response.headers())?;
        let reading = read_body(response.into_body(), limits.max_bytes);
        let body = timeout_at(limits.deadline, reading).await;
        let body = body.unwrap_or(Err(StoreError::BodyTimedOut))?;
        self.pool.keep(connection, None);
        Ok(StoreResponse { status, body, era })
    }

    /// Sends a request and returns the head of the response, with the connection.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(BackendConnection, Response<BoundedBody>), StoreError> {
        let mut connection = match self.pool.take(self.address) {
            Some(connection) => connection,
            None => {
                BackendConnection::open(self.address, RECEIVE_BYTES, self.connect_timeout).await?
            }
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| StoreError::ConnectionLost(error.to_string()))?;
        let response = connection.send(request).await;
        let response = response.map_err(connection_lost)?;
        Ok((connection, response))
    }
}

/// Returns a response with status 200.
fn accept_success(response: StoreResponse) -> Result<StoreResponse, StoreError> {
    match response.status {
        StatusCode::OK => Ok(response),
        status => Err(StoreError::Status(status)),
    }
}

/// Reads a body of at most `max_bytes`.
async fn read_body(mut body: BoundedBody, max_bytes: usize) -> Result<Bytes, StoreError> {
    let stated = usize::try_from(body.stated_bytes()).unwrap_or(usize::MAX);
    if stated > max_bytes {
        return Err(StoreError::TooLarge(max_bytes));
    }
    let mut bytes = BytesMut::with_capacity(stated);
    while let Some(data) = body.data().await {
        let data = data.map_err(connection_lost)?;
        if data.len() > max_bytes - bytes.len() {
            return Err(StoreError::TooLarge(max_bytes));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Converts the failure of a connection.
fn connection_lost(error: BodyError) -> StoreError {
    StoreError::ConnectionLost(error.to_string())
}
