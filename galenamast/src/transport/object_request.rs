//! Builds HTTP requests for the calls of the object API and classifies the answers.

use http::header::{HeaderName, HeaderValue};
use http::{Method, StatusCode, header};
use serde::Deserialize;
use serde_json::Value;

use crate::coordination::{ObjectKey, ObjectVersion, WriteCondition, WriteOutcome};
use crate::protocol::ProtocolError;
use crate::transport::call_counters::CallKind;
use crate::transport::http_client::json_request;
use crate::transport::transport_error::TransportError;

/// Body of the answer of the object API to a write that took effect.
#[derive(Debug, Deserialize)]
struct WriteAnswer {
    version: ObjectVersion,
}

/// Status and body of the answer to a call of the object API.
#[derive(Debug)]
pub(crate) struct CallAnswer {
    pub(crate) status: StatusCode,
    pub(crate) body: Vec<u8>,
}

/// A call of the object API, before it is built for an address.
#[derive(Debug)]
pub(crate) struct CallRequest<'a> {
    pub(crate) kind: CallKind,
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) condition: Option<WriteCondition>,
    pub(crate) value: Option<&'a Value>,
}

impl CallRequest<'_> {
    /// Builds the HTTP request for an address.
    pub(crate) fn build(
        &self,
        address: &str,
    ) -> Result<http::Request<http_body_util::Full<bytes::Bytes>>, TransportError> {
        let mut request = json_request(self.method.clone(), address, self.path, self.value)?;
        if let Some(condition) = self.condition {
            let (name, expected) = condition_header(condition);
            request.headers_mut().insert(name, expected);
        }
        Ok(request)
    }
}

/// Returns the HTTP header that expresses a write condition.
fn condition_header(condition: WriteCondition) -> (HeaderName, HeaderValue) {
    match condition {
        WriteCondition::Absent => (header::IF_NONE_MATCH, HeaderValue::from_static("*")),
        WriteCondition::At(version) => (header::IF_MATCH, HeaderValue::from(version.0)),
    }
}

/// Returns the URL path of an object.
pub(crate) fn object_path(key: &ObjectKey) -> Result<String, TransportError> {
    check_name(&key.kind)?;
    check_name(&key.name)?;
    Ok(format!("/v1/objects/{}/{}", key.kind, key.name))
}

/// Returns an error if a name is not a valid path segment.
pub(crate) fn check_name(name: &str) -> Result<(), ProtocolError> {
    let allowed =
        |character: char| character.is_ascii_alphanumeric() || "._-~:@".contains(character);
    if !name.is_empty() && name.chars().all(allowed) {
        return Ok(());
    }
    Err(ProtocolError::Invalid {
        what: "object name",
        reason: format!(
            "`{name}` is empty or has characters other than ASCII letters, digits and `._-~:@`"
        ),
    })
}

/// Returns whether a failed read may succeed when retried.
pub(crate) fn is_transient(error: &TransportError) -> bool {
    match error {
        TransportError::Connect { .. } | TransportError::Broken { .. } => true,
        TransportError::Status { status, .. } => *status >= 500 || *status == 429,
        _ => false,
    }
}

/// Classifies the outcome of a write or delete by its answer.
pub(crate) fn classify_write(status: StatusCode, body: &[u8]) -> WriteOutcome {
    if status.is_success() {
        return match serde_json::from_slice::<WriteAnswer>(body) {
            Ok(answer) => WriteOutcome::Applied(answer.version),
            Err(_) => WriteOutcome::Indeterminate,
        };
    }
    match status {
        StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => WriteOutcome::Conflict,
        status if status.is_client_error() => WriteOutcome::Rejected,
        _ => WriteOutcome::Indeterminate,
    }
}
