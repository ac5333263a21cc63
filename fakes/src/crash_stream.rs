//! Connections that break when the server of a stand-in crashes.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use axum::serve::Listener;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// A connection whose reads and writes fail once its server has crashed.
#[derive(Debug)]
pub struct CrashStream {
    stream: TcpStream,
    crashed: CancellationToken,
    crash: Pin<Box<WaitForCancellationFutureOwned>>,
}

/// Accepts connections as [`CrashStream`].
#[derive(Debug)]
pub struct CrashListener {
    listener: TcpListener,
    crashed: CancellationToken,
}

impl CrashStream {
    /// Wraps a listener; its connections break when `crashed` is cancelled.
    pub fn listen(listener: TcpListener, crashed: CancellationToken) -> CrashListener {
        CrashListener { listener, crashed }
    }

    /// Returns the error that reads and writes give after a crash.
    fn connection_reset() -> io::Error {
        io::Error::from(io::ErrorKind::ConnectionReset)
    }
}

impl Listener for CrashListener {
    type Io = CrashStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        let (stream, address) = Listener::accept(&mut self.listener).await;
        let crashed = self.crashed.clone();
        let crash = Box::pin(crashed.clone().cancelled_owned());
        let stream = CrashStream {
            stream,
            crashed,
            crash,
        };
        (stream, address)
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        self.listener.local_addr()
    }
}

impl AsyncRead for CrashStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.crash.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(Self::connection_reset()));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CrashStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.crashed.is_cancelled() {
            return Poll::Ready(Err(Self::connection_reset()));
        }
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
