//! Bodies that are held as a whole and count against the memory for bodies until they are passed on.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::coordination::requests::AttemptOutcome;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::response_body::{ResponseBody, TruncatedResponse};

/// Largest response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;
/// Bytes of a response that are read even if the memory for bodies is used up, so that usual responses
/// are delivered.
pub(crate) const USUAL_RESPONSE_BYTES: usize = 64 * 1_024;
/// Bytes that are passed to the caller's connection at once. It takes more only when these are written,
/// so that the rest stays counted.
const PIECE_BYTES: usize = 16 * 1_024;

/// Counts bytes against the memory for bodies until it is dropped.
#[derive(Debug)]
pub(crate) struct BodyCount {
    context: Arc<GatewayContext>,
    bytes: usize,
}

impl BodyCount {
    /// Creates a count of no bytes.
    pub(crate) fn new(context: &Arc<GatewayContext>) -> Self {
        Self {
            context: context.clone(),
            bytes: 0,
        }
    }

    /// Counts further bytes; returns whether the memory has room for them.
    pub(crate) fn add(&mut self, bytes: usize) -> bool {
        let counter = &self.context.buffered_body_bytes;
        let before = counter.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before.saturating_add(bytes) <= self.context.settings.max_buffered_bytes
    }
}

impl Drop for BodyCount {
    fn drop(&mut self) {
        let counter = &self.context.buffered_body_bytes;
        counter.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A whole body, counted until the last of its clones is dropped.
#[derive(Clone, Debug)]
pub(crate) struct CountedBytes {
    bytes: Bytes,
    _count: Arc<BodyCount>,
}

impl CountedBytes {
    /// Turns the bytes into a body, which counts until the caller's connection has taken it.
    pub(crate) fn into_body(self) -> ResponseBody {
        self.boxed_unsync()
    }
}

impl Body for CountedBytes {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.bytes.len().min(PIECE_BYTES);
        let piece = self.bytes.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(u64::try_from(self.bytes.len()).unwrap_or(u64::MAX))
    }
}

/// Reads a response to its end; calls `on_bytes` for each part that arrives.
///
/// # Errors
///
/// Returns [`AttemptOutcome::Garbled`] if the response is larger than there is room for, as one without
/// end is, and [`AttemptOutcome::Broken`] if it breaks off.
pub(crate) async fn read_counted(
    context: &Arc<GatewayContext>,
    mut body: Incoming,
    on_bytes: impl Fn(),
) -> Result<CountedBytes, AttemptOutcome> {
    let mut count = BodyCount::new(context);
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| AttemptOutcome::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        on_bytes();
        let has_room = count.add(data.len()) && count.bytes <= MAX_RESPONSE_BYTES;
        if !has_room && count.bytes > USUAL_RESPONSE_BYTES {
            context.metrics.increment("responses_too_large_total");
            return Err(AttemptOutcome::Garbled);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(CountedBytes {
        bytes: buffer.freeze(),
        _count: Arc::new(count),
    })
}
