//! A request as its caller sends it: method, target, headers and body.

use std::hash::{DefaultHasher, Hasher};

use crate::request_plan::RequestPlan;

/// Headers that reach the server as the caller sent them.
pub(crate) const PASSED_HEADERS: [&str; 3] = ["x-model", "x-token-counts", "x-prompt-prefix"];

/// Returns the method of a request.
pub(crate) fn method(plan: &RequestPlan) -> &'static str {
    if plan.class.tokens == 0 {
        "GET"
    } else {
        "POST"
    }
}

/// Returns the path and query of a request.
pub(crate) fn target(plan: &RequestPlan, id: &str) -> String {
    format!("/{}/1?part={id}", plan.class.name)
}

/// Returns the headers of a request that depend on its class and caller.
pub(crate) fn headers(plan: &RequestPlan, id: &str) -> Vec<(&'static str, String)> {
    let class = plan.class;
    let mut headers = vec![("authorization", format!("Bearer {}", plan.key))];
    if plan.client.is_multiple_of(3) {
        // Callers may not choose their tenant.
        headers.push(("x-tenant", "another".to_owned()));
    }
    if class.is_stream() {
        let shared = class.tokens * 2 / 3;
        let parts = format!(
            "{:x}:{shared},{}:{}",
            0x1000 + class.tokens,
            id.trim_start_matches('q'),
            class.tokens - shared
        );
        headers.push(("x-model", "m".to_owned()));
        headers.push((
            "x-token-counts",
            format!("{},{}", class.tokens, class.events * 3),
        ));
        headers.push(("x-prompt-prefix", parts));
        headers.push(("session", plan.client.to_string()));
    }
    headers
}

/// Returns the head of a request.
pub(crate) fn head(plan: &RequestPlan, id: &str) -> String {
    let framing = if plan.is_chunked() {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {}", plan.body)
    };
    let mut head = format!(
        "{} {} HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-milliseconds: {}\r\n{framing}\r\n",
        method(plan),
        target(plan, id),
        (plan.class.limit * 1000.0) as u64,
    );
    for (name, value) in headers(plan, id) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    head
}

/// Returns the body of a request, whose bytes differ from those of other requests.
pub(crate) fn body(plan: &RequestPlan, id: &str) -> Vec<u8> {
    let mut body = id.as_bytes().repeat(plan.body.div_ceil(id.len()));
    body.truncate(plan.body);
    body
}

/// Returns the digest by which bodies are compared.
pub(crate) fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}
