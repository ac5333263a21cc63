//! HTTP client for backend servers and the platform.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::protocol::ProtocolError;
use crate::transport::bounded_body::BoundedBody;
use crate::transport::bounded_connector::BoundedConnector;
use crate::transport::bounded_socket::SharedAllowance;
use crate::transport::transport_error::TransportError;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of a connection's buffer, which bounds the head of an answer, in bytes.
const BUFFER_BYTES: usize = 8 * 1_024;
/// Maximum size of a JSON answer, in bytes.
const MAX_JSON_BYTES: usize = 16 * 1_024 * 1_024;

/// HTTP client with a connection pool per remote address; clones share the pools.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<BoundedConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .http1_max_buf_size(BUFFER_BYTES)
            // Only retries requests that the library returns unsent because an idle connection was
            // closed before the request was written to it.
            .retry_canceled_requests(true)
            .build(BoundedConnector::new(connector));
        Self { client }
    }

    /// Sends a request and returns the response with its unread body.
    ///
    /// # Errors
    ///
    /// Returns `Connect` if nothing was sent, and `Broken` if part of the request may have been.
    pub async fn send(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<BoundedBody>, TransportError> {
        let response = self.client.request(request).await.map_err(|error| {
            let address = address.to_owned();
            let reason = error_chain(&error);
            if error.is_connect() {
                TransportError::Connect { address, reason }
            } else {
                TransportError::Broken { address, reason }
            }
        })?;
        let allowance = response.extensions().get::<SharedAllowance>().cloned();
        let allowance = allowance.unwrap_or_default();
        allowance.lock().renew();
        Ok(response.map(|body| BoundedBody::new(body, allowance)))
    }

    /// Sends a JSON request and decodes the JSON answer.
    ///
    /// The timeout applies to the response head and to the body, each on its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, times out, is answered with a status other than success,
    /// or the answer cannot be decoded.
    pub async fn call_json<T: DeserializeOwned>(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Option<&(impl Serialize + Sync)>,
        timeout: Duration,
    ) -> Result<T, TransportError> {
        let request = json_request(method, address, path, body)?;
        let response = with_timeout(address, timeout, self.send(address, request)).await?;
        let status = response.status();
        if !status.is_success() {
            let status = status.as_u16();
            return Err(TransportError::Status {
                address: address.to_owned(),
                status,
            });
        }
        let bytes = with_timeout(
            address,
            timeout,
            read_body(address, response, MAX_JSON_BYTES),
        )
        .await?;
        let what = "JSON answer";
        serde_json::from_slice(&bytes).map_err(|source| ProtocolError::Json { what, source }.into())
    }
}

/// Builds a request with an optional JSON body.
///
/// # Errors
///
/// Returns an error if the path is malformed or the body cannot be encoded.
pub fn json_request(
    method: Method,
    address: &str,
    path: &str,
    body: Option<&(impl Serialize + Sync)>,
) -> Result<Request<Full<Bytes>>, TransportError> {
    let what = "JSON request";
    let bytes = match body {
        Some(body) => {
            serde_json::to_vec(body).map_err(|source| ProtocolError::Json { what, source })?
        }
        None => Vec::new(),
    };
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|error| {
            ProtocolError::Invalid {
                what,
                reason: error.to_string(),
            }
            .into()
        })
}

/// Reads the whole body of an answer, up to `max_bytes`.
///
/// # Errors
///
/// Returns `Broken` if the body is cut off or too large.
pub async fn read_body(
    address: &str,
    response: Response<BoundedBody>,
    max_bytes: usize,
) -> Result<Bytes, TransportError> {
    let broken = |reason: String| TransportError::Broken {
        address: address.to_owned(),
        reason,
    };
    let mut body = response.into_body();
    let mut bytes = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data.map_err(|error| broken(error.to_string()))?;
        if data.len() > max_bytes - bytes.len() {
            return Err(broken(format!("the answer exceeds {max_bytes} bytes")));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Applies a timeout to a call.
///
/// # Errors
///
/// Returns the error of the call, or `Timeout`.
pub async fn with_timeout<T>(
    address: &str,
    timeout: Duration,
    call: impl Future<Output = Result<T, TransportError>>,
) -> Result<T, TransportError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result,
        Err(_) => Err(TransportError::Timeout {
            address: address.to_owned(),
            timeout,
        }),
    }
}

/// Formats an error with the chain of its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text.push_str(": ");
        text.push_str(&error.to_string());
        source = error.source();
    }
    text
}
