//! Finds configuration objects that the head no longer refers to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::coordination::object_record::ObjectVersion;
use crate::state::TimePoint;

/// Time for which an object must be unreferenced at one version before it is deleted.
///
/// A change writes its objects before the head, so they are unreferenced for a time that is much
/// shorter.
const UNREFERENCED_TIME: Duration = Duration::from_secs(1_800);
/// Largest number of objects that are deleted in one pass.
const MAX_DELETED: usize = 100;

/// Unreferenced objects, with the time since when each has been so by the host's own clock.
#[derive(Clone, Debug, Default)]
pub struct ObjectSweep {
    unreferenced: BTreeMap<String, (ObjectVersion, TimePoint)>,
}

impl ObjectSweep {
    /// Compares all objects with the names that the head refers to; returns those that can be
    /// deleted.
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
