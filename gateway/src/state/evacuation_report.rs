//! Facts that hosts report to one another about evacuated failure domains.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::StorePosition;

/// What a host knows of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Name of the domain.
    pub domain: Arc<str>,
    /// Whether it is evacuated.
    pub evacuated: bool,
    /// Position of the change in the store.
    pub position: StorePosition,
}
