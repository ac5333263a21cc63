//! A caller's connection with a timeout on stalled writes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// A connection whose writes fail with `TimedOut` when they make no progress within a timeout.
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    timeout: Duration,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> CallerStream<S> {
    /// Wraps a connection; `timeout` is the longest time that a write may stall.
    pub fn new(stream: S, timeout: Duration) -> Self {
        Self {
            stream,
            timeout,
            stall_timer: None,
        }
    }

    /// Starts the stall timer when a write is pending, clears it on progress, and fails the write
    /// when it expires.
    fn check_progress<T>(
        &mut self,
        context: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.stall_timer = None;
            return progress;
        }
        let timeout = self.timeout;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(Instant::now() + timeout)));
        match stall_timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut))),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.check_progress(context, progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.check_progress(context, progress)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_flush(context);
        self.check_progress(context, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
