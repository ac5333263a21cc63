//! Objects of the store that were reported as unreadable.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::protocol::ObjectKind;

/// Largest number of objects that are remembered; further ones are not reported.
const MAX_REPORTED_OBJECTS: usize = 1_024;

/// Remembers which objects were reported as unreadable, so that each is reported once until it is
/// readable again.
#[derive(Debug, Default)]
pub(crate) struct ObjectDefects {
    reported: BTreeSet<(ObjectKind, Arc<str>)>,
}

impl ObjectDefects {
    /// Records that an object is unreadable; returns whether to report it.
    pub(crate) fn record(&mut self, kind: ObjectKind, name: &Arc<str>) -> bool {
        self.reported.len() < MAX_REPORTED_OBJECTS && self.reported.insert((kind, name.clone()))
    }

    /// Records that an object is readable or was removed.
    pub(crate) fn forget(&mut self, kind: ObjectKind, name: &Arc<str>) {
        // Usually no object is unreadable.
        if !self.reported.is_empty() {
            self.reported.remove(&(kind, name.clone()));
        }
    }
}
