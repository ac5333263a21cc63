//! Bodies of responses, and requests that count as being served until their response is complete.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::transport::connection_activity::ConnectionActivity;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::response_body::{ResponseBody, TruncatedResponse};

/// Counts a request as being served.
#[derive(Debug)]
pub(crate) struct ServingGuard {
    context: Arc<GatewayContext>,
    activity: Arc<ConnectionActivity>,
}

impl ServingGuard {
    /// Counts a request as being served until the guard is dropped.
    pub(crate) fn new(context: &Arc<GatewayContext>, activity: &Arc<ConnectionActivity>) -> Self {
        activity.begin_serving();
        Self {
            context: context.clone(),
            activity: activity.clone(),
        }
    }

    /// Keeps the guard until the body of the response is complete. The request was read whole.
    pub(crate) fn attach(self, body: ResponseBody) -> ServedBody {
        self.activity.note_answered();
        ServedBody { body, _guard: self }
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.activity.end_serving(self.context.now());
    }
}

/// Body of a response whose request counts as being served until it is dropped.
#[derive(Debug)]
pub(crate) struct ServedBody {
    body: ResponseBody,
    _guard: ServingGuard,
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
