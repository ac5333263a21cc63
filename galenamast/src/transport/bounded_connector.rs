//! Opens connections whose reads are bounded.

use std::pin::Pin;
use std::task::{Context, Poll};

use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::coordination::AllowanceSettings;
use crate::transport::bounded_socket::{BoundedSocket, SharedAllowance};

/// Connections with an allowance each, which is an extension of the responses that arrive on them.
#[derive(Clone, Debug)]
pub struct BoundedConnector {
    connector: HttpConnector,
}

impl BoundedConnector {
    /// Bounds the connections of a connector.
    pub fn new(connector: HttpConnector) -> Self {
        Self { connector }
    }
}

impl Service<Uri> for BoundedConnector {
    type Response = TokioIo<BoundedSocket<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, target: Uri) -> Self::Future {
        let connecting = self.connector.call(target);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            let allowance = SharedAllowance::new(AllowanceSettings::default());
            Ok(TokioIo::new(BoundedSocket::new(stream, allowance)))
        })
    }
}

impl Connection for BoundedSocket<TcpStream> {
    fn connected(&self) -> Connected {
        self.socket().connected().extra(self.allowance().clone())
    }
}
