//! Messages of the platform's object API.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Kind and name of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object, such as `config`.
    pub kind: String,
    /// Name of the object within its kind.
    pub name: String,
}

impl ObjectKey {
    /// Creates a key from a kind and a name.
    ///
    /// ```
    /// use galenamast::coordination::ObjectKey;
    ///
    /// assert_eq!(ObjectKey::new("head", "config").to_string(), "head/config");
    /// ```
    pub fn new(kind: &str, name: &str) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

/// Version of an object, which increases with each write.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

/// An object as the platform returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectRecord {
    /// Name of the object within its kind.
    pub name: String,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Content of the object, as JSON.
    pub value: Value,
}
