//! A caller's connection that breaks when the caller does not read.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// A connection whose writes fail when they make no progress for too long.
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    timeout: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl<S> CallerStream<S> {
    /// Wraps a connection.
    pub fn new(stream: S, timeout: Duration) -> Self {
        Self {
            stream,
            timeout,
            stalled: None,
        }
    }

    /// Fails a write that has made no progress for too long.
    fn check<T>(
        &mut self,
        context: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.stalled = None;
            return progress;
        }
        let timeout = self.timeout;
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(Instant::now() + timeout)));
        match stalled.as_mut().poll(context) {
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
        self.check(context, progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.check(context, progress)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_flush(context);
        self.check(context, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
