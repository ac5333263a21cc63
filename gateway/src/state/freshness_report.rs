//! How current a host's knowledge of the store is.

use serde::{Deserialize, Serialize};

use crate::state::StorePosition;

/// Kinds of objects whose changes a host must apply within a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FollowedKind {
    /// The configuration.
    Configuration,
    /// Backend servers.
    Servers,
    /// Roll-outs.
    Rollouts,
    /// Evacuations of failure domains.
    Evacuations,
}

impl FollowedKind {
    /// Kinds that every host follows, in the order of [`FreshnessReport::changed`].
    pub const ALWAYS: [Self; 3] = [Self::Configuration, Self::Servers, Self::Rollouts];
}

/// A host's statement that it knew all changes of the store a short time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessReport {
    /// Position up to which the host knew all changes.
    pub revision: StorePosition,
    /// Position of the latest change of each kind, in the order of the kinds that the host follows.
    pub changed: Vec<StorePosition>,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}
