//! The configuration held by a host, in the form in which other hosts can request it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::coordination::config_documents::{EncodedObject, ObjectDigest};
use crate::coordination::config_notice::ConfigEntries;
use crate::state::ConfigGeneration;

/// Number of earlier generations that a difference can start from.
const MAX_HISTORY: usize = 16;

/// Digests by entry name.
type Entries = BTreeMap<String, ObjectDigest>;

/// Entries and objects of the configuration in force, and the entries of earlier ones.
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    /// Generation in force.
    pub generation: ConfigGeneration,
    entries: Entries,
    objects: BTreeMap<ObjectDigest, EncodedObject>,
    history: VecDeque<(ConfigGeneration, Entries)>,
}

impl ConfigStore {
    /// Returns the entries in force.
    pub fn entries(&self) -> &BTreeMap<String, ObjectDigest> {
        &self.entries
    }

    /// Returns the digests in `entries` whose objects are not held.
    pub fn missing(&self, entries: &BTreeMap<String, ObjectDigest>) -> BTreeSet<ObjectDigest> {
        let digests = entries.values();
        let absent = digests.filter(|digest| !self.objects.contains_key(digest));
        absent.cloned().collect()
    }

    /// Stores the objects that match their digests; returns whether any of them is new.
    pub fn insert(&mut self, objects: Vec<EncodedObject>) -> bool {
        let before = self.objects.len();
        for object in objects {
            if object.decode().is_ok() {
                self.objects.insert(object.digest.clone(), object);
            }
        }
        self.objects.len() > before
    }

    /// Returns the held objects with these digests, as many as fit into `max_bytes`.
    pub fn find(&self, digests: &[ObjectDigest], max_bytes: usize) -> Vec<EncodedObject> {
        let mut bytes = 0;
        let held = digests.iter().filter_map(|digest| self.objects.get(digest));
        let fits = |object: &&EncodedObject| {
            bytes += object.content.len() + object.digest.0.len();
            bytes <= max_bytes
        };
        held.take_while(fits).cloned().collect()
    }

    /// Puts entries into force, and drops the objects that they don't refer to.
    ///
    /// All objects of the entries must be held.
    pub fn adopt(&mut self, generation: ConfigGeneration, entries: BTreeMap<String, ObjectDigest>) {
        let previous = std::mem::replace(&mut self.entries, entries);
        self.history.push_back((self.generation, previous));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        self.generation = generation;
        let kept: BTreeSet<&ObjectDigest> = self.entries.values().collect();
        self.objects.retain(|digest, _| kept.contains(digest));
    }

    /// Returns the entries as the difference from a generation, or complete if it is not in the
    /// history.
    pub fn entries_since(&self, since: ConfigGeneration) -> ConfigEntries {
        let mut history = self.history.iter();
        let base = history.find(|(generation, _)| *generation == since);
        let Some((_, base)) = base else {
            return ConfigEntries {
                generation: self.generation,
                base: None,
                changed: self.entries.clone(),
                removed: Vec::new(),
            };
        };
        let changed = self.entries.iter();
        let changed = changed.filter(|(name, digest)| base.get(*name) != Some(*digest));
        let removed = base.keys().filter(|name| !self.entries.contains_key(*name));
        ConfigEntries {
            generation: self.generation,
            base: Some(since),
            changed: changed
                .map(|(name, digest)| (name.clone(), digest.clone()))
                .collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Applies a difference to the entries in force.
    ///
    /// Returns `None` if it starts from a generation other than the one in force.
    pub fn apply(&self, difference: &ConfigEntries) -> Option<BTreeMap<String, ObjectDigest>> {
        let mut entries = match difference.base {
            Some(base) if base != self.generation => return None,
            Some(_) => self.entries.clone(),
            None => BTreeMap::new(),
        };
        entries.retain(|name, _| !difference.removed.contains(name));
        entries.extend(difference.changed.clone());
        Some(entries)
    }

    /// Returns the held objects that `entries` refer to.
    pub fn objects_of(&self, entries: &BTreeMap<String, ObjectDigest>) -> Vec<EncodedObject> {
        let digests = entries.values();
        let objects = digests.filter_map(|digest| self.objects.get(digest));
        objects.cloned().collect()
    }
}
