//! Sockets of callers. When the host stops, one ends once it is idle, but never with unread bytes.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

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
}

impl ConnectionActivity {
    /// Counts a request as being served until the guard is dropped.
    pub(crate) fn serve(self: &Arc<Self>) -> ServingGuard {
        self.serving.fetch_add(1, Ordering::SeqCst);
        ServingGuard {
            activity: self.clone(),
        }
    }

    /// Returns whether no request is being read or served.
    fn is_idle(&self) -> bool {
        let load = |count: &AtomicUsize| count.load(Ordering::SeqCst);
        load(&self.serving) == 0
            && load(&self.reads) == load(&self.answered_reads)
            && !self.is_blocked.load(Ordering::SeqCst)
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

/// Socket of a caller.
#[derive(Debug)]
pub(crate) struct CallerSocket {
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
    // Completes when idle connections are to be closed.
    closing: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl CallerSocket {
    /// Wraps the socket of a caller; `close_idle` is cancelled when it is to be closed once idle.
    pub(crate) fn new(
        stream: TcpStream,
        activity: Arc<ConnectionActivity>,
        close_idle: CancellationToken,
    ) -> Self {
        Self {
            stream,
            activity,
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
        let is_closing = self.activity.is_idle() && self.closing.as_mut().poll(cx).is_ready();
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
        let is_blocked = &self.activity.is_blocked;
        is_blocked.store(polled.is_pending(), Ordering::SeqCst);
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
