//! Bodies whose data earns the allowance of their connection.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

use crate::transport::bounded_socket::SharedAllowance;

/// Why a body is not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
    /// Too many bytes arrived without any data.
    #[error("too many bytes arrived without data")]
    NoData,
}

/// A body that is read from a bounded socket.
#[derive(Debug)]
pub struct BoundedBody {
    body: Incoming,
    allowance: SharedAllowance,
}

impl BoundedBody {
    /// Wraps the body of a message on a connection with an allowance.
    pub fn new(body: Incoming, allowance: SharedAllowance) -> Self {
        Self { body, allowance }
    }

    /// Returns the next data; `None` at the end. Trailers are left out.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off or goes on without data.
    pub async fn data(&mut self) -> Option<Result<Bytes, BodyError>> {
        while let Some(frame) = self.body.frame().await {
            let data = match frame {
                Ok(frame) => frame.into_data().unwrap_or_default(),
                Err(_) if self.allowance.is_spent() => return Some(Err(BodyError::NoData)),
                Err(_) => return Some(Err(BodyError::Broken)),
            };
            if !data.is_empty() {
                self.allowance.lock().earn(data.len() as u64);
                return Some(Ok(data));
            }
        }
        None
    }

    /// Returns whether the body has no more data.
    pub fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Returns the least number of bytes that are left, if stated.
    pub fn stated_bytes(&self) -> u64 {
        self.body.size_hint().lower()
    }
}
