//! Objects of the platform's store and what is read from and written to them.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

/// Kinds of objects that an entry host uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectKind {
    /// The configuration.
    Configuration,
    /// Backend servers.
    Servers,
    /// Roll-outs.
    Rollouts,
    /// Where hosts are reached.
    Hosts,
}

/// A read of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectQuery {
    /// The objects of a kind behind a name.
    List {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Name after which the page starts.
        after: Option<String>,
        /// Whether an answer that is seconds old will do, which is cheaper.
        stale: bool,
    },
    /// The changes of a kind since a revision.
    Watch {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Revision that is known.
        revision: u64,
        /// Longest time that the store holds the call.
        wait: Duration,
    },
}

/// An object of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredObject {
    /// Name within its kind.
    pub name: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// What its writer asks for.
    pub content: Value,
    /// What became of it.
    pub status: Value,
}

/// A page of a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectPage {
    /// Objects in the order of their names.
    pub objects: Vec<StoredObject>,
    /// Whether more pages follow.
    pub has_more: bool,
    /// Revision of the store when the page was read.
    pub revision: u64,
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectChange {
    /// Whether the object is gone.
    pub removed: bool,
    /// The object after the change.
    pub object: StoredObject,
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectChanges {
    /// Changes in the order in which they were made.
    pub changes: Vec<ObjectChange>,
    /// Revision to go on from.
    pub revision: u64,
}
