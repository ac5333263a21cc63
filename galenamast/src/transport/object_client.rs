//! Client of the platform's object API.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode, header};
use serde::Deserialize;
use serde_json::Value;

use crate::coordination::{ObjectKey, ObjectRecord, ObjectVersion, WriteCondition, WriteOutcome};
use crate::protocol::ProtocolError;
use crate::transport::http_client::{HttpClient, json_request, read_body, within};
use crate::transport::transport_error::TransportError;

/// Greatest size of an object answer, in bytes.
const MAX_OBJECT_BYTES: usize = 2 * 1_024 * 1_024;

/// Answer of the object API to a write.
#[derive(Debug, Deserialize)]
struct WriteAnswer {
    version: ObjectVersion,
}

/// Client of the object API.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    client: HttpClient,
    address: String,
    timeout: Duration,
}

impl ObjectClient {
    /// Creates a client of the object API at an address.
    pub fn new(client: HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address: address.to_string(),
            timeout,
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; a missing object is `None`.
    pub async fn read(&self, key: &ObjectKey) -> Result<Option<ObjectRecord>, TransportError> {
        let path = format!("/v1/objects/{}/{}", key.kind, key.name);
        let result = self
            .client
            .call_json(Method::GET, &self.address, &path, None::<&()>, self.timeout)
            .await;
        match result {
            Ok(record) => Ok(Some(record)),
            Err(TransportError::Status { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes an object if it is at the expected version.
    ///
    /// # Errors
    ///
    /// Returns an error only if the request cannot be built; every other end is an outcome.
    pub async fn write(
        &self,
        key: &ObjectKey,
        condition: WriteCondition,
        value: &Value,
    ) -> Result<WriteOutcome, TransportError> {
        let path = format!("/v1/objects/{}/{}", key.kind, key.name);
        let mut request = json_request(Method::PUT, &self.address, &path, Some(value))?;
        let (name, expected) = match condition {
            WriteCondition::Absent => (header::IF_NONE_MATCH, "*".to_owned()),
            WriteCondition::At(version) => (header::IF_MATCH, version.0.to_string()),
        };
        let expected = expected.parse().map_err(|_| ProtocolError::Invalid {
            what: "object version",
            reason: "not a header value".into(),
        })?;
        request.headers_mut().insert(name, expected);
        let call = async {
            let response = self.client.send(&self.address, request).await?;
            let status = response.status();
            let bytes = read_body(&self.address, response, MAX_OBJECT_BYTES).await?;
            Ok((status, bytes))
        };
        Ok(match within(&self.address, self.timeout, call).await {
            Ok((status, bytes)) => classify_write(status, &bytes),
            Err(TransportError::Connect { .. }) => WriteOutcome::Rejected,
            Err(_) => WriteOutcome::Unsure,
        })
    }
}

/// Says what an answered write did.
fn classify_write(status: StatusCode, body: &[u8]) -> WriteOutcome {
    if status.is_success() {
        return match serde_json::from_slice::<WriteAnswer>(body) {
            Ok(answer) => WriteOutcome::Applied(answer.version),
            Err(_) => WriteOutcome::Unsure,
        };
    }
    match status {
        StatusCode::PRECONDITION_FAILED => WriteOutcome::Conflict,
        StatusCode::TOO_MANY_REQUESTS => WriteOutcome::Rejected,
        status if status.is_client_error() => WriteOutcome::Rejected,
        _ => WriteOutcome::Unsure,
    }
}
