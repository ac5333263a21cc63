//! An HTTP client that calls entry hosts as a workspace's caller does.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use galenamast::transport::http_client::{json_request, read_body};
use galenamast::transport::{HttpClient, TransportError};
use http::{HeaderName, HeaderValue, Method};
use serde_json::{Value, json};

/// Largest answer that a caller reads, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1_024 * 1_024;

/// A caller that authenticates with the key of a workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    key: String,
}

/// The answer that a caller received.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerReply {
    /// HTTP status.
    pub status: u16,
    /// Headers of the answer.
    pub headers: BTreeMap<String, String>,
    /// Body of the answer; `None` if the connection broke before its end.
    pub body: Option<Vec<u8>>,
}

impl CallerReply {
    /// Returns a header of the answer, or `None` if it is absent.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns whether a streamed answer arrived up to its end marker.
    pub fn ended(&self) -> bool {
        let bytes = self.body.as_deref().unwrap_or_default();
        String::from_utf8_lossy(bytes)
            .trim_end()
            .ends_with("data: [DONE]")
    }

    /// Decodes the body as JSON; null if it is missing or not valid JSON.
    pub fn json(&self) -> Value {
        let bytes = self.body.as_deref().unwrap_or_default();
        serde_json::from_slice(bytes).unwrap_or(Value::Null)
    }

    /// Returns the text of a chat answer; empty if the answer has none.
    pub fn content(&self) -> String {
        let answer = self.json();
        answer["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

impl Caller {
    /// Creates a caller with the key that a deployment gives a workspace: its name and `-key`.
    pub fn new(workspace: &str) -> Self {
        Self::with_key(&format!("{workspace}-key"))
    }

    /// Creates a caller with a key.
    pub fn with_key(key: &str) -> Self {
        Self {
            client: HttpClient::new(),
            key: key.to_owned(),
        }
    }

    /// Sends a chat request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrives.
    pub async fn chat(
        &self,
        host: SocketAddr,
        content: &str,
        headers: &[(&str, &str)],
    ) -> Result<CallerReply, TransportError> {
        let message = json!({ "role": "user", "content": content });
        let body = json!({ "model": "auto", "messages": [message] });
        self.send(
            Method::POST,
            host,
            "/v1/chat/completions",
            Some(&body),
            headers,
        )
        .await
    }

    /// Sends a chat request for a streamed answer and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrives.
    pub async fn stream(
        &self,
        host: SocketAddr,
        content: &str,
        headers: &[(&str, &str)],
    ) -> Result<CallerReply, TransportError> {
        let message = json!({ "role": "user", "content": content });
        let body = json!({ "model": "auto", "stream": true, "messages": [message] });
        let path = "/v1/chat/completions";
        self.send(Method::POST, host, path, Some(&body), headers)
            .await
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrives.
    pub async fn send(
        &self,
        method: Method,
        host: SocketAddr,
        path: &str,
        body: Option<&Value>,
        headers: &[(&str, &str)],
    ) -> Result<CallerReply, TransportError> {
        let address = host.to_string();
        let mut request = json_request(method, &address, path, body)?;
        let bearer = format!("Bearer {}", self.key);
        for (name, value) in headers
            .iter()
            .copied()
            .chain([("authorization", bearer.as_str())])
        {
            let name = HeaderName::try_from(name).expect("header names in tests are valid");
            let value = HeaderValue::try_from(value).expect("header values in tests are valid");
            request.headers_mut().insert(name, value);
        }
        let response = self.client.send(&address, request).await?;
        let status = response.status().as_u16();
        let mut headers = BTreeMap::new();
        for (name, value) in response.headers() {
            headers.insert(
                name.to_string(),
                value.to_str().unwrap_or_default().to_owned(),
            );
        }
        let body = read_body(&address, response, MAX_BODY_BYTES).await.ok();
        let body = body.map(|bytes| bytes.to_vec());
        Ok(CallerReply {
            status,
            headers,
            body,
        })
    }
}
