//! Client of the backend servers: sends attempts and reads their answers.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};

use crate::protocol::headers;
use crate::protocol::{ChatAnswer, ChatRequest, ProtocolError};
use crate::state::{RequestId, RouteTarget};
use crate::transport::http_client::{HttpClient, json_request, read_body, within};
use crate::transport::transport_error::TransportError;

/// Greatest size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;

/// Client of the backend servers.
#[derive(Clone, Debug)]
pub struct BackendClient {
    client: HttpClient,
}

/// A whole answer of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendReply {
    /// Body of the answer.
    pub body: Bytes,
    /// The parts of the answer that the entry host reads.
    pub answer: ChatAnswer,
}

impl BackendClient {
    /// Creates a client that shares the connections of an HTTP client.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Runs a chat request on a server and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns `Connect` if the server saw nothing, and other errors if it may have run the request.
    pub async fn run_chat(
        &self,
        target: &RouteTarget,
        id: RequestId,
        chat: &ChatRequest,
        timeout: Duration,
    ) -> Result<BackendReply, TransportError> {
        let address = target.address.as_str();
        let body = ChatRequest {
            model: target.version.to_string(),
            ..chat.clone()
        };
        let mut request = json_request(Method::POST, address, "/v1/chat/completions", Some(&body))?;
        let value = id
            .to_string()
            .parse()
            .map_err(|_| invalid("request identifier"))?;
        request.headers_mut().insert(headers::REQUEST_ID, value);
        let call = async {
            let response = self.client.send(address, request).await?;
            let status = response.status();
            if status != StatusCode::OK {
                let status = status.as_u16();
                return Err(TransportError::Status {
                    address: address.to_owned(),
                    status,
                });
            }
            read_body(address, response, MAX_ANSWER_BYTES).await
        };
        let body = within(address, timeout, call).await?;
        let answer: ChatAnswer =
            serde_json::from_slice(&body).map_err(|source| ProtocolError::Json {
                what: "chat answer",
                source,
            })?;
        if answer.id != id.to_string() {
            let reason = format!("answer to request {} arrived for request {id}", answer.id);
            return Err(ProtocolError::Invalid {
                what: "chat answer",
                reason,
            }
            .into());
        }
        Ok(BackendReply { body, answer })
    }
}

/// Creates an error about a malformed part of a message.
fn invalid(what: &'static str) -> ProtocolError {
    ProtocolError::Invalid {
        what,
        reason: "not a header value".into(),
    }
}
