//! Generation number that orders accepted configurations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Generation of an accepted configuration; a higher one replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigGeneration(pub u64);

impl ConfigGeneration {
    /// Returns the generation that follows this one.
    ///
    /// ```
    /// use galenamast::state::ConfigGeneration;
    ///
    /// assert_eq!(ConfigGeneration(4).next(), ConfigGeneration(5));
    /// ```
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigGeneration {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
