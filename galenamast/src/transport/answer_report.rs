//! Reports the attempts of chat completions to the judge of versions and has answers rated.

use std::sync::Arc;

use crate::coordination::{AttemptFailure, RatedAnswer, StartState, classify_failure};
use crate::protocol::ChatText;
use crate::state::{RequestId, RouteRequest, TimePoint, VersionKey};
use crate::transport::host_context::HostContext;
use crate::transport::quality_monitor::QualityEvent;
use crate::transport::rating_client::rate_text;

/// Greatest size of a streamed answer that is kept for its rating, in bytes.
const MAX_KEPT_BYTES: usize = 256 * 1_024;

/// Events of a streamed answer, kept for its rating.
#[derive(Debug, Default)]
pub struct KeptEvents {
    events: Vec<String>,
    bytes: usize,
}

impl KeptEvents {
    /// Keeps events while there is room.
    pub fn extend(&mut self, events: Vec<String>) {
        self.bytes += events.iter().map(String::len).sum::<usize>();
        if self.bytes <= MAX_KEPT_BYTES {
            self.events.extend(events);
        }
    }

    /// Returns the whole text; `None` if not all was kept.
    pub fn text(&self) -> Option<String> {
        let whole = self.bytes <= MAX_KEPT_BYTES && !self.events.is_empty();
        whole.then(|| ChatText::of_events(&self.events))
    }
}

/// Describes an attempt for the judge.
fn describe(route: &RouteRequest, version: &VersionKey) -> RatedAnswer {
    RatedAnswer {
        version: version.clone(),
        task: route.task.clone(),
        prompt_tokens: route.prompt_tokens,
        ..Default::default()
    }
}

/// Hands an answer to the judge; with too many waiting it is left out.
fn report(context: &HostContext, answer: RatedAnswer) {
    let _ = context
        .quality_events
        .try_send(QualityEvent::Answer(answer));
}

/// Reports a whole answer with the time that it took.
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
        ..describe(route, version)
    };
    report(context, answer);
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
        ..describe(route, version)
    };
    report(context, answer);
}

/// Reports a failed attempt; one that no server started says nothing about the version.
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
            ..describe(route, version)
        };
        report(context, answer);
    }
}

/// Has a delivered answer rated apart from its request, unless many are being rated.
pub fn rate_delivered(
    context: &Arc<HostContext>,
    route: &RouteRequest,
    version: &VersionKey,
    text: String,
) {
    if context.settings.platform.rating.is_none() {
        return;
    }
    let Ok(permit) = context.ratings.clone().try_acquire_owned() else {
        return;
    };
    let context = context.clone();
    let answer = describe(route, version);
    let id: RequestId = route.id;
    tokio::spawn(async move {
        if let Some(rating) = rate_text(&context, id, text).await {
            let rating = Some(rating);
            report(&context, RatedAnswer { rating, ..answer });
        }
        drop(permit);
    });
}
