//! Reports attempts of chat completions to the quality monitor and requests ratings of answers.

use std::sync::Arc;

use crate::coordination::{AttemptFailure, RatedAnswer, StartState, classify_failure};
use crate::protocol::ChatText;
use crate::state::{RequestId, RouteRequest, TimePoint, VersionKey};
use crate::transport::host_context::HostContext;
use crate::transport::quality_monitor::QualityEvent;
use crate::transport::rating_client::rate_text;

/// Maximum size of a streamed answer that is buffered for its rating, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1_024;

/// Events of a streamed answer, buffered for its rating.
#[derive(Debug, Default)]
pub struct EventBuffer {
    events: Vec<String>,
    bytes: usize,
}

impl EventBuffer {
    /// Appends events, unless they exceed the size limit.
    pub fn extend(&mut self, events: Vec<String>) {
        self.bytes += events.iter().map(String::len).sum::<usize>();
        if self.bytes <= MAX_BUFFERED_BYTES {
            self.events.extend(events);
        }
    }

    /// Returns the text of the answer; `None` if it is empty or exceeded the size limit.
    pub fn text(&self) -> Option<String> {
        let complete = self.bytes <= MAX_BUFFERED_BYTES && !self.events.is_empty();
        complete.then(|| ChatText::of_events(&self.events))
    }
}

/// Builds the report of an attempt, without its result.
fn describe_attempt(route: &RouteRequest, version: &VersionKey) -> RatedAnswer {
    RatedAnswer {
        version: version.clone(),
        task: route.task.clone(),
        prompt_tokens: route.prompt_tokens,
        ..Default::default()
    }
}

/// Sends an answer to the quality monitor; dropped if its channel is full.
fn try_report(context: &HostContext, answer: RatedAnswer) {
    let _ = context
        .quality_events
        .try_send(QualityEvent::Answer(answer));
}

/// Reports a complete answer with its latency.
pub fn report_answer(
    context: &HostContext,
    route: &RouteRequest,
    version: &VersionKey,
    started_at: TimePoint,
) {
    let latency = context.timers.now().since(started_at);
    let answer = RatedAnswer {
        failed: Some(false),
        latency: Some(latency),
        ..describe_attempt(route, version)
    };
    try_report(context, answer);
}

/// Reports the rating of an answer.
pub fn report_rating(
    context: &HostContext,
    route: &RouteRequest,
    version: &VersionKey,
    rating: f64,
) {
    let answer = RatedAnswer {
        rating: Some(rating),
        ..describe_attempt(route, version)
    };
    try_report(context, answer);
}

/// Reports a failed attempt that counts against its version.
///
/// Left out are attempts that no server started, that were cancelled, or that failed because of the
/// request itself.
pub fn report_failure(
    context: &HostContext,
    route: &RouteRequest,
    version: &VersionKey,
    failure: AttemptFailure,
) {
    let started = classify_failure(failure) != StartState::NotStarted;
    if started && !failure.is_final() && failure != AttemptFailure::Cancelled {
        let answer = RatedAnswer {
            failed: Some(true),
            ..describe_attempt(route, version)
        };
        try_report(context, answer);
    }
}

/// Requests a rating of a delivered answer in the background and reports it.
///
/// Does nothing without a rating service, or if the maximum number of ratings is in progress.
pub fn rate_in_background(
    context: &Arc<HostContext>,
    route: &RouteRequest,
    version: &VersionKey,
    text: String,
) {
    if context.settings.platform.rating.is_none() {
        return;
    }
    let Ok(permit) = context.rating_permits.clone().try_acquire_owned() else {
        return;
    };
    let context = context.clone();
    let answer = describe_attempt(route, version);
    let id: RequestId = route.id;
    tokio::spawn(async move {
        if let Some(rating) = rate_text(&context, id, text).await {
            let rating = Some(rating);
            try_report(&context, RatedAnswer { rating, ..answer });
        }
        drop(permit);
    });
}
