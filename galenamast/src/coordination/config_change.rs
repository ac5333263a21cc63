//! Configuration changes, and how they are applied to the head.

use std::collections::BTreeSet;

use crate::coordination::change_refusal::ChangeRefusal;
use crate::coordination::config_documents::{
    AcceptedChange, ConfigObject, EncodedObject, HeadDocument,
};
use crate::state::ConfigGeneration;

/// Number of most recent changes that a head records.
pub const MAX_RECORDED_CHANGES: usize = 64;
/// Largest value that is written to the platform, in bytes. The platform's limit is higher, which
/// leaves space for the envelope of the value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A change requested by an operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigChange {
    /// Identifier chosen by the operator. A change repeated with the same identifier is made once.
    pub change_id: String,
    /// Operator who makes the change.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// Generation that the change was prepared against; `None` for the first generation that is
    /// read.
    pub based_on: Option<ConfigGeneration>,
    /// Objects to create or replace.
    pub puts: Vec<ConfigObject>,
    /// Entries to remove, as `kind/name`.
    pub removals: Vec<String>,
}

/// Receipt of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeReceipt {
    /// Identifier of the change.
    pub change_id: String,
    /// Generation that the change created, or would create in a dry run.
    pub generation: ConfigGeneration,
    /// Whether an earlier call with the same identifier already made the change.
    pub repeated: bool,
    /// Entries that the change put or removed.
    pub entries: Vec<String>,
}

/// A change applied to a head, ready to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChange {
    /// The new head. Writing it makes the change.
    pub head: HeadDocument,
    /// Objects that must be written before the head.
    pub objects: Vec<EncodedObject>,
    /// Entries that the change puts or removes.
    pub entries: Vec<String>,
}

impl ConfigChange {
    /// Returns the entries that the change puts or removes, sorted and without duplicates.
    pub fn entries(&self) -> Vec<String> {
        let puts = self.puts.iter().map(ConfigObject::entry_name);
        let touched: BTreeSet<String> = puts.chain(self.removals.iter().cloned()).collect();
        touched.into_iter().collect()
    }

    /// Returns the receipt of an earlier call with the same identifier, if the head records one.
    pub fn find_receipt(&self, head: &HeadDocument) -> Option<ChangeReceipt> {
        let mut changes = head.changes.iter();
        let earlier = changes.find(|change| change.change_id == self.change_id)?;
        Some(ChangeReceipt {
            change_id: self.change_id.clone(),
            generation: earlier.generation,
            repeated: true,
            entries: earlier.entries.clone(),
        })
    }

    /// Applies the change, which is based on generation `base`, to a head.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is malformed, too large or removes an unknown entry, or if a
    /// change after `base` may have changed the same entries.
    pub fn plan(
        &self,
        head: &HeadDocument,
        base: ConfigGeneration,
    ) -> Result<PlannedChange, ChangeRefusal> {
        let entries = self.entries();
        if self.change_id.is_empty() || entries.is_empty() {
            return Err(ChangeRefusal::Empty);
        }
        check_base(head, base, &entries)?;
        let mut next = head.clone();
        next.generation = head.generation.next();
        for entry in &self.removals {
            if next.entries.remove(entry).is_none() {
                return Err(ChangeRefusal::UnknownEntry(entry.clone()));
            }
        }
        let mut objects = Vec::with_capacity(self.puts.len());
        for object in &self.puts {
            let encoded = object.encode()?;
            check_size(&object.entry_name(), encoded_len(&encoded))?;
            next.entries
                .insert(object.entry_name(), encoded.digest.clone());
            objects.push(encoded);
        }
        next.changes.push(AcceptedChange {
            change_id: self.change_id.clone(),
            generation: next.generation,
            author: self.author.clone(),
            reason: self.reason.clone(),
            entries: entries.clone(),
        });
        let excess = next.changes.len().saturating_sub(MAX_RECORDED_CHANGES);
        next.changes.drain(..excess);
        check_size("head", encoded_len(&next))?;
        Ok(PlannedChange {
            head: next,
            objects,
            entries,
        })
    }
}

/// Returns an error if a change after `base` changed the same entries, or if the head does not
/// record all changes since `base`.
fn check_base(
    head: &HeadDocument,
    base: ConfigGeneration,
    entries: &[String],
) -> Result<(), ChangeRefusal> {
    if base == head.generation {
        return Ok(());
    }
    let current = head.generation;
    let oldest = head.changes.first().map(|change| change.generation);
    let is_recorded = oldest.is_some_and(|oldest| oldest <= base.next());
    if base > current || !is_recorded {
        return Err(ChangeRefusal::UnknownBase { base, current });
    }
    let later = head
        .changes
        .iter()
        .filter(|change| change.generation > base);
    let overlaps =
        |change: &&AcceptedChange| change.entries.iter().any(|entry| entries.contains(entry));
    let notes: Vec<AcceptedChange> = later.filter(overlaps).cloned().collect();
    if notes.is_empty() {
        return Ok(());
    }
    Err(ChangeRefusal::Overtaken { notes })
}

/// Returns an error if a value is larger than [`MAX_VALUE_BYTES`].
fn check_size(entry: &str, bytes: usize) -> Result<(), ChangeRefusal> {
    if bytes <= MAX_VALUE_BYTES {
        return Ok(());
    }
    let entry = entry.to_owned();
    Err(ChangeRefusal::TooLarge { entry, bytes })
}

/// Returns the length of a value as JSON text.
fn encoded_len(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len())
}
