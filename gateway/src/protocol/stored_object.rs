//! Objects of the platform's store, and the results of reading them.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::state::{FollowedKind, StorePosition};

/// Kinds of objects that an entry host uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectKind {
    /// The configuration.
    Configuration,
    /// Backend servers.
    Servers,
    /// Roll-outs.
    Rollouts,
    /// Addresses of hosts.
    Hosts,
    /// Evacuations of failure domains.
    Evacuations,
}

impl ObjectKind {
    /// Returns the name of the kind in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
            Self::Rollouts => "rollouts",
            Self::Hosts => "hosts",
            Self::Evacuations => "evacuations",
        }
    }
}

impl From<FollowedKind> for ObjectKind {
    fn from(kind: FollowedKind) -> Self {
        match kind {
            FollowedKind::Configuration => Self::Configuration,
            FollowedKind::Servers => Self::Servers,
            FollowedKind::Rollouts => Self::Rollouts,
            FollowedKind::Evacuations => Self::Evacuations,
        }
    }
}

/// A read of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectQuery {
    /// A page of the objects of a kind.
    List {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Name after which the page starts; `None` for the first page.
        after: Option<String>,
        /// Whether an answer that is seconds old is acceptable; such a read is cheaper.
        stale: bool,
    },
    /// The changes of a kind since a revision.
    Watch {
        /// Kind of the objects.
        kind: ObjectKind,
        /// Position up to which changes are known.
        revision: StorePosition,
        /// Longest time for which the store holds the call open.
        wait: Duration,
        /// Whether an answer that is seconds old is acceptable; such a watch is cheaper.
        stale: bool,
    },
}

/// An object of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredObject {
    /// Name within its kind.
    pub name: Arc<str>,
    /// Position of the object's last change.
    pub revision: StorePosition,
    /// Desired state, as its writer ordered it; null if it cannot be read.
    pub content: Value,
    /// Reported state; null if it cannot be read.
    pub status: Value,
    /// Why the content or the status cannot be read; `None` if both can.
    pub defect: Option<Arc<str>>,
}

/// A page of a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectPage {
    /// Objects in the order of their names.
    pub objects: Vec<StoredObject>,
    /// Why objects were left out whose names cannot be read.
    pub unnamed: Vec<String>,
    /// Whether more pages follow.
    pub has_more: bool,
    /// Position of the store when the page was read.
    pub revision: StorePosition,
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectChange {
    /// Whether the object was removed.
    pub removed: bool,
    /// The object after the change.
    pub object: StoredObject,
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectChanges {
    /// Changes in the order in which they were made.
    pub changes: Vec<ObjectChange>,
    /// Why changes were left out of objects whose names cannot be read.
    pub unnamed: Vec<String>,
    /// Position from which to continue.
    pub revision: StorePosition,
}
