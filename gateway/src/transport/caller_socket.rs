//! Sockets of callers. One ends when it has waited too long for a request, and when the host stops once it
//! is idle, but never with unread bytes.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use crate::coordination::callers::{CallerWait, WaitStage};
use crate::state::CallerLimits;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::open_connections::CallerSlot;

/// Returns the limits in force for the callers of a connection.
pub(crate) type LimitSource = fn(&GatewayContext) -> CallerLimits;

/// Bytes of a request that the first read buffer holds; the buffer grows for more.
const FIRST_BUFFER_BYTES: u64 = 4 * 1_024;

/// Socket of a caller.
#[derive(Debug)]
pub(crate) struct CallerSocket {
    stream: TcpStream,
    slot: CallerSlot,
    context: Arc<GatewayContext>,
    limits: LimitSource,
    wait: Option<CallerWait>,
    timer: Pin<Box<Sleep>>,
    // Completes when idle connections are to be closed.
    closing: Pin<Box<WaitForCancellationFutureOwned>>,
    // Completes when the connection is to give way to others.
    evicted: Pin<Box<WaitForCancellationFutureOwned>>,
    // Whether the read buffer has grown, and whether the write buffer has.
    is_reading: bool,
    is_blocked: bool,
}

impl CallerSocket {
    /// Wraps the socket of a caller; `close_idle` is cancelled when it is to be closed once idle.
    pub(crate) fn new(
        stream: TcpStream,
        slot: CallerSlot,
        context: Arc<GatewayContext>,
        limits: LimitSource,
        close_idle: CancellationToken,
    ) -> Self {
        let evicted = slot.activity.evicted.clone();
        Self {
            stream,
            slot,
            context,
            limits,
            wait: None,
            timer: Box::pin(tokio::time::sleep_until(Instant::now())),
            closing: Box::pin(close_idle.cancelled_owned()),
            evicted: Box::pin(evicted.cancelled_owned()),
            is_reading: false,
            is_blocked: false,
        }
    }

    /// Returns whether the caller has sent bytes that are not read yet. The system is asked, since a
    /// busy host may not have been told of them.
    fn has_unread_bytes(&self) -> bool {
        let socket = socket2::SockRef::from(&self.stream);
        let read = socket.peek(&mut [MaybeUninit::uninit()]);
        matches!(read, Ok(length) if length > 0)
    }

    /// Returns whether the connection has waited for the next request for too long. The task is woken
    /// when this may change.
    fn is_overdue(&mut self, stage: Option<WaitStage>, cx: &mut Context<'_>) -> bool {
        let Some(stage) = stage else {
            self.wait = None;
            self.slot.activity.wake_when_served(cx.waker());
            return false;
        };
        let now = self.context.now();
        let mut wait = match self.wait {
            Some(wait) if wait.stage() == stage => wait,
            _ => CallerWait::new(stage, now),
        };
        let ends_at = wait.ends_at(&(self.limits)(&self.context));
        self.wait = Some(wait);
        if ends_at <= now {
            return true;
        }
        self.timer
            .as_mut()
            .reset(Instant::now() + ends_at.since(now));
        self.timer.as_mut().poll(cx).is_ready()
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if polled.is_ready() {
            self.note_read(buffer.filled().len() - before);
            return polled;
        }
        let stage = self.slot.activity.stage();
        let is_idle = stage == Some(WaitStage::Idle);
        if is_idle && self.is_reading {
            self.is_reading = false;
            self.set_buffers();
        }
        let is_stopping = is_idle && self.closing.as_mut().poll(cx).is_ready();
        let is_evicted = is_idle && self.evicted.as_mut().poll(cx).is_ready();
        let is_closing = self.is_overdue(stage, cx) || is_stopping || is_evicted;
        if is_closing && !self.has_unread_bytes() {
            // Reads as the end of the caller's requests, upon which the connection is closed.
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}

impl CallerSocket {
    /// Counts bytes that arrived, and the buffer that they may fill.
    fn note_read(&mut self, length: usize) {
        if length == 0 {
            return;
        }
        let bytes = self.slot.activity.note_read(length, self.context.now());
        if bytes > FIRST_BUFFER_BYTES && !self.is_reading {
            self.is_reading = true;
            self.set_buffers();
        }
    }

    /// Counts whether bytes wait until the caller reads.
    fn note_written<T>(&mut self, polled: Poll<T>) -> Poll<T> {
        let is_blocked = polled.is_pending();
        let now = self.context.now();
        if self.slot.activity.note_blocked(is_blocked, now) {
            self.is_blocked = is_blocked;
            self.set_buffers();
        }
        polled
    }

    /// Counts the memory of the buffers.
    fn set_buffers(&mut self) {
        self.slot.set_buffers(self.is_reading, self.is_blocked);
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note_written(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.note_written(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
