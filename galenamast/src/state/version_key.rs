//! The pair of model and version names that identifies what a request runs on.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::state::names::{ModelName, VersionName};

/// A version of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionKey {
    /// Model that the version belongs to.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
}

impl VersionKey {
    /// Creates a key from the names of a model and a version.
    ///
    /// ```
    /// use galenamast::state::VersionKey;
    ///
    /// assert_eq!(VersionKey::new("fit", "v2").to_string(), "fit@v2");
    /// ```
    pub fn new(model: &str, version: &str) -> Self {
        Self {
            model: model.into(),
            version: version.into(),
        }
    }
}

impl fmt::Display for VersionKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.model, self.version)
    }
}
