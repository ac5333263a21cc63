//! Bodies that are held as a whole and count against the memory for bodies until they are passed on.

use std::collections::VecDeque;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use galenamast::transport::BoundedBody;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};

use crate::coordination::memory::ResponseBound;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::host_memory::{MemoryKind, MemoryShare};
use crate::transport::response_body::{ResponseBody, TruncatedResponse};
use crate::transport::response_fault::ResponseFault;

/// Largest response that is not streamed, in bytes; less on a host with less memory for bodies.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;
/// Size of the blocks that a response is kept in, in bytes. The caller's connection takes one at a time, so
/// that the rest stays counted.
const BLOCK_BYTES: usize = 16 * 1_024;
/// Size of the first block in bytes, unless the response states to be larger.
const FIRST_BLOCK_BYTES: usize = 2 * 1_024;
/// Interval at which a wait for memory is reported.
const WAIT_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// A whole body, counted until the last of its clones is dropped.
#[derive(Clone, Debug)]
pub(crate) struct CountedBytes {
    blocks: VecDeque<Bytes>,
    _share: Arc<MemoryShare>,
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
        let block = self.blocks.pop_front();
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let bytes: usize = self.blocks.iter().map(Bytes::len).sum();
        SizeHint::with_exact(u64::try_from(bytes).unwrap_or(u64::MAX))
    }
}

/// Reads a response to its end, as far as the memory has room. Calls `on_bytes` for each part that arrives,
/// and at intervals while the host itself has no room for the next one.
///
/// # Errors
///
/// Returns an error if the response breaks off or exceeds a bound.
pub(crate) async fn read_counted(
    context: &GatewayContext,
    mut body: BoundedBody,
    on_bytes: impl Fn(),
) -> Result<CountedBytes, ResponseFault> {
    let max_bytes = MAX_RESPONSE_BYTES.min(context.memory.limit());
    let mut share = MemoryShare::new(&context.memory, MemoryKind::Responses);
    let (mut blocks, mut length) = (VecDeque::new(), 0);
    let mut block = BytesMut::new();
    while let Some(data) = body.data().await {
        let mut data = data?;
        on_bytes();
        length += data.len();
        if length > max_bytes {
            return Err(ResponseFault::Bounded(ResponseBound::Size));
        }
        while !data.is_empty() {
            if block.len() == block.capacity() {
                blocks.extend(Some(block.freeze()).filter(|block| !block.is_empty()));
                let left = usize::try_from(body.stated_bytes()).unwrap_or(usize::MAX);
                let size = block_size(blocks.is_empty(), data.len().saturating_add(left));
                add_reported(&mut share, size, &on_bytes).await;
                block = BytesMut::with_capacity(size);
            }
            let room = block.capacity() - block.len();
            block.extend_from_slice(&data.split_to(room.min(data.len())));
        }
    }
    if block.len() == block.capacity() {
        blocks.extend(Some(block.freeze()).filter(|block| !block.is_empty()));
    } else {
        blocks.push_back(Bytes::copy_from_slice(&block));
    }
    share.set(length);
    Ok(CountedBytes {
        blocks,
        _share: Arc::new(share),
    })
}

/// Returns the size of a block for at least `known` further bytes of a response.
fn block_size(is_first: bool, known: usize) -> usize {
    let least = if is_first {
        FIRST_BLOCK_BYTES
    } else {
        BLOCK_BYTES
    };
    known.clamp(least, BLOCK_BYTES)
}

/// Counts further bytes once there is room for them; calls `on_wait` at intervals until then.
pub(crate) async fn add_reported(share: &mut MemoryShare, bytes: usize, on_wait: impl Fn()) {
    let mut adding = pin!(share.add(bytes));
    while tokio::time::timeout(WAIT_REPORT_INTERVAL, &mut adding)
        .await
        .is_err()
    {
        on_wait();
    }
}
