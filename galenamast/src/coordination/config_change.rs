//! Changes of the configuration and how they apply to a head.

use std::collections::BTreeSet;

use crate::coordination::change_refusal::ChangeRefusal;
use crate::coordination::config_documents::{
    AcceptedChange, ConfigObject, EncodedObject, HeadDocument,
};
use crate::state::ConfigGeneration;

/// Changes that a head remembers.
pub const MAX_RECORDED_CHANGES: usize = 64;
/// Greatest size of a value that the platform holds, less room for its envelope, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A change that an operator asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigChange {
    /// Identifier that the operator chose; repeating it is harmless.
    pub change_id: String,
    /// Operator who makes the change.
    pub author: String,
    /// Why the change is made.
    pub reason: String,
    /// Generation that the operator looked at; `None` takes the one that is read first.
    pub based_on: Option<ConfigGeneration>,
    /// Objects to create or replace.
    pub puts: Vec<ConfigObject>,
    /// Entry names of objects to remove, `kind/name`.
    pub removals: Vec<String>,
}

/// What became of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeReceipt {
    /// Identifier of the change.
    pub change_id: String,
    /// Generation that the change made, or would make in a dry run.
    pub generation: ConfigGeneration,
    /// Whether an earlier call with the same identifier made the change.
    pub repeated: bool,
    /// Entries that the change touched.
    pub entries: Vec<String>,
}

/// A change applied to a head that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChange {
    /// The head that accepts the change.
    pub head: HeadDocument,
    /// Objects to write before the head.
    pub objects: Vec<EncodedObject>,
    /// Entries that the change touches.
    pub entries: Vec<String>,
}

impl ConfigChange {
    /// Returns the entries that the change touches, in order and without repetition.
    pub fn entries(&self) -> Vec<String> {
        let puts = self.puts.iter().map(ConfigObject::entry_name);
        let touched: BTreeSet<String> = puts.chain(self.removals.iter().cloned()).collect();
        touched.into_iter().collect()
    }

    /// Finds the receipt of an earlier call with the same identifier.
    pub fn find_receipt(&self, head: &HeadDocument) -> Option<ChangeReceipt> {
        let mut notes = head.changes.iter();
        let note = notes.find(|note| note.change_id == self.change_id)?;
        Some(ChangeReceipt {
            change_id: self.change_id.clone(),
            generation: note.generation,
            repeated: true,
            entries: note.entries.clone(),
        })
    }

    /// Applies the change to a head, given the generation that the change is based on.
    ///
    /// # Errors
    ///
    /// Refuses a change that is malformed or that a later change of the same entries overtook.
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

/// Refuses a change if a later one touched the same entries, or if that cannot be told.
fn check_base(
    head: &HeadDocument,
    base: ConfigGeneration,
    entries: &[String],
) -> Result<(), ChangeRefusal> {
    if base == head.generation {
        return Ok(());
    }
    let current = head.generation;
    let oldest = head.changes.first().map(|note| note.generation);
    let covered = oldest.is_some_and(|oldest| oldest <= base.next());
    if base > current || !covered {
        return Err(ChangeRefusal::UnknownBase { base, current });
    }
    let later = head.changes.iter().filter(|note| note.generation > base);
    let overlaps =
        |note: &&AcceptedChange| note.entries.iter().any(|entry| entries.contains(entry));
    let notes: Vec<AcceptedChange> = later.filter(overlaps).cloned().collect();
    if notes.is_empty() {
        return Ok(());
    }
    Err(ChangeRefusal::Overtaken { notes })
}

/// Refuses a value that the platform would not hold.
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
