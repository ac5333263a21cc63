//! Client of the rating service.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize};

use crate::protocol::ChatText;
use crate::state::RequestId;
use crate::transport::host_context::HostContext;

/// Timeout for one rating.
const RATING_TIMEOUT: Duration = Duration::from_secs(2);

/// Request for the rating of an answer.
#[derive(Debug, Serialize)]
struct RatingRequest {
    request_id: RequestId,
    answer: String,
}

/// Response with the rating of an answer.
#[derive(Debug, Deserialize)]
struct RatingResponse {
    rating: f64,
}

/// Requests the rating of a chat completion from its body.
///
/// Returns `None` if the body is no chat completion or [`rate_text`] returns no rating.
pub async fn rate_answer(context: &HostContext, id: RequestId, body: &Bytes) -> Option<f64> {
    rate_text(context, id, ChatText::decode(body)?.text()).await
}

/// Requests the rating of a text, from 0 to 1.
///
/// Returns `None` if no rating service is configured, or if it fails or rates out of range.
pub async fn rate_text(context: &HostContext, id: RequestId, answer: String) -> Option<f64> {
    let address = context.settings.platform.rating?.to_string();
    let request = RatingRequest {
        request_id: id,
        answer,
    };
    let call = context.client.call_json::<RatingResponse>(
        Method::POST,
        &address,
        "/v1/rate",
        Some(&request),
        RATING_TIMEOUT,
    );
    let rating = call.await.ok()?.rating;
    (0.0..=1.0).contains(&rating).then_some(rating)
}
