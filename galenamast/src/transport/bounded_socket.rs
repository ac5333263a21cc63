//! Sockets from which only so many bytes are read without any data among them.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::coordination::{AllowanceSettings, ReadAllowance};

/// Largest number of bytes that are read before other tasks get the processor.
const MAX_TURN_BYTES: usize = 64 * 1_024;

/// An allowance that a socket spends and that the reader of its messages earns and renews.
#[derive(Clone, Debug)]
pub struct SharedAllowance(Arc<Mutex<ReadAllowance>>);

impl Default for SharedAllowance {
    fn default() -> Self {
        Self::new(AllowanceSettings::default())
    }
}

impl SharedAllowance {
    /// Creates a whole allowance.
    pub fn new(settings: AllowanceSettings) -> Self {
        Self(Arc::new(Mutex::new(ReadAllowance::new(settings))))
    }

    /// Locks the allowance.
    pub fn lock(&self) -> MutexGuard<'_, ReadAllowance> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no more bytes may arrive.
    pub fn is_spent(&self) -> bool {
        self.lock().is_spent()
    }
}

/// A socket that fails once its allowance is spent.
#[derive(Debug)]
pub struct BoundedSocket<S> {
    socket: S,
    allowance: SharedAllowance,
    // Bytes read since the socket had none.
    turn_bytes: usize,
}

impl<S> BoundedSocket<S> {
    /// Wraps a socket.
    pub fn new(socket: S, allowance: SharedAllowance) -> Self {
        Self {
            socket,
            allowance,
            turn_bytes: 0,
        }
    }

    /// Returns the socket.
    pub const fn socket(&self) -> &S {
        &self.socket
    }

    /// Returns the allowance of the socket.
    pub const fn allowance(&self) -> &SharedAllowance {
        &self.allowance
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_spent() {
            return Poll::Ready(Err(io::Error::other("too many bytes without data")));
        }
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(cx, buffer);
        let read = buffer.filled().len() - before;
        self.turn_bytes = if polled.is_pending() {
            0
        } else {
            self.turn_bytes + read
        };
        self.allowance.lock().spend(read as u64);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
