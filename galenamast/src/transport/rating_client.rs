//! Client of the rating service.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize};

use crate::protocol::ChatText;
use crate::state::RequestId;
use crate::transport::host_context::HostContext;

/// Longest time to wait for a rating.
const RATING_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks for the rating of an answer.
#[derive(Debug, Serialize)]
struct RatingRequest {
    request_id: RequestId,
    answer: String,
}

/// The rating of an answer.
#[derive(Debug, Deserialize)]
struct RatingResponse {
    rating: f64,
}

/// Has the answer of a chat completion rated; `None` if the rating service does not answer.
pub async fn rate_answer(context: &HostContext, id: RequestId, body: &Bytes) -> Option<f64> {
    rate_text(context, id, ChatText::decode(body)?.text()).await
}

/// Has a text rated; `None` if the rating service does not answer.
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
