//! Whole and streamed answers of the stand-in for a model engine.

use std::convert::Infallible;
use std::time::Duration;

use axum::body::Body;
use axum::http::header;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures_util::stream;
use serde_json::json;

use crate::fake_engine::RunGuard;

/// Prompt length that every answer reports, in tokens.
const PROMPT_TOKENS: u32 = 16;

/// The contents, timing and faults of one answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerPlan {
    pub(crate) request_id: String,
    pub(crate) version: String,
    pub(crate) quality: f64,
    pub(crate) tokens: u32,
    pub(crate) first_token: Duration,
    pub(crate) token_gap: Duration,
    pub(crate) first_event: u64,
    pub(crate) repeat_events: bool,
    pub(crate) truncate_after: Option<u64>,
}

impl AnswerPlan {
    /// Returns the text of an event; the last text event states the quality.
    fn event_text(&self, index: u64) -> String {
        if index < u64::from(self.tokens) {
            return format!("w{index} ");
        }
        format!("quality={}", self.quality)
    }

    /// Returns an event of the stream; the end marker follows the event with the usage.
    ///
    /// `None` after the end marker.
    fn event(&self, index: u64) -> Option<String> {
        let last = u64::from(self.tokens);
        if index == last + 1 {
            return Some("data: [DONE]\n\n".into());
        }
        if index > last {
            return None;
        }
        let mut data = json!({
            "id": self.request_id,
            "index": index,
            "model": self.version,
            "choices": [{ "index": 0, "delta": { "content": self.event_text(index) } }],
        });
        if index == last {
            data["usage"] =
                json!({ "prompt_tokens": PROMPT_TOKENS, "completion_tokens": self.tokens });
        }
        Some(format!("id: {index}\ndata: {data}\n\n"))
    }
}

/// Streams an answer from the first event that the plan names.
pub(crate) async fn stream_answer(plan: AnswerPlan, guard: RunGuard) -> Response {
    tokio::time::sleep(plan.first_token).await;
    let first_event = plan.first_event;
    let request_id = plan.request_id.clone();
    let start = (plan, guard, first_event);
    let events = stream::unfold(start, |(plan, mut guard, index)| async move {
        if plan.truncate_after.is_some_and(|count| index >= count) {
            return None;
        }
        let Some(mut event) = plan.event(index) else {
            guard.finish();
            return None;
        };
        if !plan.token_gap.is_zero() {
            tokio::time::sleep(plan.token_gap).await;
        }
        if plan.repeat_events {
            event = event.repeat(2);
        }
        let item = Ok::<Bytes, Infallible>(Bytes::from(event));
        Some((item, (plan, guard, index + 1)))
    });
    let headers = [
        (header::CONTENT_TYPE.as_str(), "text/event-stream".into()),
        ("x-request-id", request_id),
        ("x-resume-from", first_event.to_string()),
    ];
    (headers, Body::from_stream(events)).into_response()
}

/// Answers with the whole answer once the time of all its tokens has passed.
pub(crate) async fn whole_answer(plan: &AnswerPlan, mut guard: RunGuard) -> Response {
    let time = plan.first_token + plan.token_gap * plan.tokens;
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    let text: String = (0..=u64::from(plan.tokens))
        .map(|index| plan.event_text(index))
        .collect();
    let answer = json!({
        "id": plan.request_id,
        "model": plan.version,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": { "prompt_tokens": PROMPT_TOKENS, "completion_tokens": plan.tokens },
    });
    guard.finish();
    let headers = [
        (header::CONTENT_TYPE.as_str(), "application/json"),
        ("x-request-id", plan.request_id.as_str()),
    ];
    (headers, answer.to_string()).into_response()
}
