//! An HTTP server on a free loopback port, which serves until dropped.

use std::net::{Ipv4Addr, SocketAddr};

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::crash_stream::CrashStream;

/// A running HTTP server; it stops when dropped or killed.
#[derive(Debug)]
pub struct FakeListener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl FakeListener {
    /// Starts to serve routes on a free port.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be opened.
    pub async fn start(routes: Router) -> Self {
        Self::start_until(routes, CancellationToken::new()).await
    }

    /// Starts to serve routes until a token is cancelled, which also breaks open connections.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be opened.
    pub async fn start_until(routes: Router, crashed: CancellationToken) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let task = tokio::spawn(async move {
            let crash_token = crashed.clone();
            let listener = CrashStream::listen(listener, crash_token);
            let serving = axum::serve(listener, routes);
            tokio::select! {
                _ = serving => {}
                () = crashed.cancelled() => {}
            }
        });
        Self { address, task }
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for FakeListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}
