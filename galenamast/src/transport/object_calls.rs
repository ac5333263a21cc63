//! The calls of the object API as closures, so that tests can replace them with their own store.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

use serde_json::Value;

use crate::coordination::{
    ObjectKey, ObjectQuery, ObjectRecord, ObjectVersion, WriteCondition, WriteOutcome,
};
use crate::transport::object_client::ObjectClient;
use crate::transport::transport_error::TransportError;

/// Future of a call of the object API.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T, TransportError>> + Send>>;
/// Reads an object.
pub type ReadCall = Arc<dyn Fn(ObjectKey) -> CallFuture<Option<ObjectRecord>> + Send + Sync>;
/// Writes an object if a condition holds.
pub type WriteCall =
    Arc<dyn Fn(ObjectKey, WriteCondition, Value) -> CallFuture<WriteOutcome> + Send + Sync>;
/// Deletes an object if it is at a version.
pub type DeleteCall =
    Arc<dyn Fn(ObjectKey, ObjectVersion) -> CallFuture<WriteOutcome> + Send + Sync>;
/// Lists a page of objects of a kind.
pub type ListCall = Arc<dyn Fn(PageRequest) -> CallFuture<Vec<ObjectRecord>> + Send + Sync>;

/// Selects one page of a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageRequest {
    /// Kind of the objects.
    pub kind: &'static str,
    /// Name after which the page starts; empty for the first page.
    pub after: String,
    /// Maximum number of objects on the page.
    pub limit: usize,
}

/// The calls of the object API.
#[derive(Clone)]
pub struct ObjectCalls {
    /// Reads an object.
    pub read: ReadCall,
    /// Writes an object if a condition holds.
    pub write: WriteCall,
    /// Deletes an object if it is at a version.
    pub delete: DeleteCall,
    /// Lists a page of objects of a kind.
    pub list: ListCall,
}

impl ObjectCalls {
    /// Returns the calls of a client, with the client's priority.
    pub fn from_client(client: &ObjectClient) -> Self {
        let (reader, writer) = (client.clone(), client.clone());
        let (deleter, lister) = (client.clone(), client.clone());
        Self {
            read: Arc::new(move |key| {
                let client = reader.clone();
                Box::pin(async move { client.read(&key).await })
            }),
            write: Arc::new(move |key, condition, value| {
                let client = writer.clone();
                Box::pin(async move { client.write(&key, condition, &value).await })
            }),
            delete: Arc::new(move |key, version| {
                let client = deleter.clone();
                Box::pin(async move { client.delete(&key, version).await })
            }),
            list: Arc::new(move |page| {
                let client = lister.clone();
                Box::pin(async move { client.list(&query_of(page)).await })
            }),
        }
    }
}

/// Converts a page request to a query of the object API.
fn query_of(page: PageRequest) -> ObjectQuery {
    ObjectQuery {
        kind: page.kind.into(),
        after: page.after,
        limit: Some(page.limit),
        ..Default::default()
    }
}

impl fmt::Debug for ObjectCalls {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ObjectCalls(..)")
    }
}
