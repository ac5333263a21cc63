//! Sockets of callers. One ends when it has waited too long for a request, and when the host stops once it
//! is idle, but never with unread bytes.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use crate::coordination::callers::{CallerWait, WaitStage};
use crate::state::CallerLimits;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::response_body::{ResponseBody, TruncatedResponse};

/// What is in progress on a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionActivity {
    // Number of reads that returned bytes.
    reads: AtomicUsize,
    // The same when the response to the last request was begun.
    answered_reads: AtomicUsize,
    // Number of requests whose response is not complete.
    serving: AtomicUsize,
    // Whether bytes of a response wait until the caller reads.
    is_blocked: AtomicBool,
    // Wakes the connection when the last response is complete, as hyper may not read again by itself then.
    reader: Mutex<Option<Waker>>,
}

impl ConnectionActivity {
    /// Counts a request as being served until the guard is dropped.
    pub(crate) fn serve(self: &Arc<Self>) -> ServingGuard {
        self.serving.fetch_add(1, Ordering::SeqCst);
        ServingGuard {
            activity: self.clone(),
        }
    }

    /// Has the connection woken when the last response is complete.
    fn wake_when_served(&self, waker: &Waker) {
        let mut reader = self.reader.lock().unwrap_or_else(PoisonError::into_inner);
        reader
            .get_or_insert_with(|| waker.clone())
            .clone_from(waker);
    }

    /// Wakes the connection, which may wait for the next request now.
    fn wake(&self) {
        let mut reader = self.reader.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(waker) = reader.take() {
            waker.wake();
        }
    }

    /// Returns what the connection waits for; `None` while a request is being served.
    fn stage(&self) -> Option<WaitStage> {
        let load = |count: &AtomicUsize| count.load(Ordering::SeqCst);
        if load(&self.serving) > 0 || self.is_blocked.load(Ordering::SeqCst) {
            return None;
        }
        let is_idle = load(&self.reads) == load(&self.answered_reads);
        Some(if is_idle {
            WaitStage::Idle
        } else {
            WaitStage::Head
        })
    }
}

/// Counts a request as being served.
#[derive(Debug)]
pub(crate) struct ServingGuard {
    activity: Arc<ConnectionActivity>,
}

impl ServingGuard {
    /// Keeps the guard until the body of the response is complete. The request was read whole.
    pub(crate) fn attach(self, body: ResponseBody) -> ServedBody {
        let reads = self.activity.reads.load(Ordering::SeqCst);
        self.activity.answered_reads.store(reads, Ordering::SeqCst);
        ServedBody { body, _guard: self }
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.activity.serving.fetch_sub(1, Ordering::SeqCst);
        self.activity.wake();
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

/// Returns the limits in force for the callers of a connection.
pub(crate) type LimitSource = fn(&GatewayContext) -> CallerLimits;

/// Socket of a caller.
#[derive(Debug)]
pub(crate) struct CallerSocket {
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
    context: Arc<GatewayContext>,
    limits: LimitSource,
    wait: Option<CallerWait>,
    timer: Pin<Box<Sleep>>,
    // Completes when idle connections are to be closed.
    closing: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl CallerSocket {
    /// Wraps the socket of a caller; `close_idle` is cancelled when it is to be closed once idle.
    pub(crate) fn new(
        stream: TcpStream,
        activity: Arc<ConnectionActivity>,
        context: Arc<GatewayContext>,
        limits: LimitSource,
        close_idle: CancellationToken,
    ) -> Self {
        Self {
            stream,
            activity,
            context,
            limits,
            wait: None,
            timer: Box::pin(tokio::time::sleep_until(Instant::now())),
            closing: Box::pin(close_idle.cancelled_owned()),
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
            self.activity.wake_when_served(cx.waker());
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
            let has_read = buffer.filled().len() > before;
            let reads = &self.activity.reads;
            reads.fetch_add(usize::from(has_read), Ordering::SeqCst);
            return polled;
        }
        let stage = self.activity.stage();
        let is_stopping =
            stage == Some(WaitStage::Idle) && self.closing.as_mut().poll(cx).is_ready();
        let is_closing = self.is_overdue(stage, cx) || is_stopping;
        if is_closing && !self.has_unread_bytes() {
            // Reads as the end of the caller's requests, upon which the connection is closed.
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}

impl CallerSocket {
    /// Remembers whether bytes wait until the caller reads.
    fn note_written<T>(&self, polled: Poll<T>) -> Poll<T> {
        let is_pending = polled.is_pending();
        let was_blocked = self.activity.is_blocked.swap(is_pending, Ordering::SeqCst);
        if was_blocked && !is_pending {
            self.activity.wake();
        }
        polled
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
