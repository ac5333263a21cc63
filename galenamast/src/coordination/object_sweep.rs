//! Finds configuration objects that no head names any more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::coordination::object_record::ObjectVersion;
use crate::state::TimePoint;

/// Time for which an object must be unreferenced at one version before it is deleted.
///
/// A change that is being made writes its objects before the head, far faster than this.
const UNREFERENCED_TIME: Duration = Duration::from_secs(1_800);
/// Objects that are deleted in one pass.
const MAX_DELETED: usize = 100;

/// Remembers since when objects have been unreferenced, by the host's own clock.
#[derive(Clone, Debug, Default)]
pub struct ObjectSweep {
    unreferenced: BTreeMap<String, (ObjectVersion, TimePoint)>,
}

impl ObjectSweep {
    /// Takes in all objects and the names that the head refers to; returns what can be deleted.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use galenamast::coordination::{ObjectSweep, ObjectVersion};
    /// use galenamast::state::TimePoint;
    ///
    /// let listed = vec![("aa".to_owned(), ObjectVersion(1))];
    /// let mut sweep = ObjectSweep::default();
    /// assert!(sweep.pass(&listed, &BTreeSet::new(), TimePoint::ZERO).is_empty());
    /// let later = TimePoint::from_millis(1_800_000);
    /// assert_eq!(sweep.pass(&listed, &BTreeSet::new(), later), listed);
    /// ```
    pub fn pass(
        &mut self,
        listed: &[(String, ObjectVersion)],
        referenced: &BTreeSet<String>,
        now: TimePoint,
    ) -> Vec<(String, ObjectVersion)> {
        let mut current = BTreeMap::new();
        let mut deletable = Vec::new();
        for (name, version) in listed {
            if referenced.contains(name) {
                continue;
            }
            let known = self.unreferenced.get(name);
            let known = known.filter(|(seen, _)| seen == version);
            let since = known.map_or(now, |(_, since)| *since);
            current.insert(name.clone(), (*version, since));
            if now.since(since) >= UNREFERENCED_TIME && deletable.len() < MAX_DELETED {
                deletable.push((name.clone(), *version));
            }
        }
        self.unreferenced = current;
        deletable
    }
}
