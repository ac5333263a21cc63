//! Reads responses that are not streamed, within the memory for bodies.

use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::coordination::requests::AttemptOutcome;
use crate::transport::gateway_context::GatewayContext;

/// Largest response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;
/// Bytes of a response that are read even if the memory for bodies is used up, so that usual responses
/// are delivered.
const USUAL_RESPONSE_BYTES: usize = 64 * 1_024;

/// Counts the bytes of a response against the memory for bodies until it is dropped.
struct BodyCount<'a> {
    context: &'a GatewayContext,
    bytes: usize,
}

impl BodyCount<'_> {
    /// Counts further bytes; returns whether they may be kept.
    fn add(&mut self, bytes: usize) -> bool {
        let counter = &self.context.buffered_body_bytes;
        let before = counter.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        let has_room = before + bytes <= self.context.settings.max_buffered_bytes;
        self.bytes <= USUAL_RESPONSE_BYTES || (has_room && self.bytes <= MAX_RESPONSE_BYTES)
    }
}

impl Drop for BodyCount<'_> {
    fn drop(&mut self) {
        let counter = &self.context.buffered_body_bytes;
        counter.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a response to its end.
///
/// # Errors
///
/// Returns [`AttemptOutcome::Garbled`] if the response is larger than there is room for, as one without
/// end is, and [`AttemptOutcome::Broken`] if it breaks off.
pub(crate) async fn read_counted(
    context: &GatewayContext,
    mut body: Incoming,
) -> Result<Bytes, AttemptOutcome> {
    let mut count = BodyCount { context, bytes: 0 };
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| AttemptOutcome::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !count.add(data.len()) {
            context.metrics.increment("responses_too_large_total");
            return Err(AttemptOutcome::Garbled);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}
