//! Positions in the history of the platform's store.

use serde::{Deserialize, Serialize};

/// A position in the store's history. When the store returns from an older copy, its era rises and
/// it gives out revisions again, so that a revision alone names no position.
///
/// ```
/// use galenamast_gateway::state::StorePosition;
///
/// let before = StorePosition { era: 1, revision: 500 };
/// let after = StorePosition { era: 2, revision: 400 };
/// assert!(before < after);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Era of the store; 0 also if it states none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl StorePosition {
    /// Returns whether `next` is the revision after this one in the same era.
    pub const fn is_followed_by(self, next: Self) -> bool {
        self.era == next.era && self.revision.saturating_add(1) == next.revision
    }
}
