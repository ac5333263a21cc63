//! An in-memory object store that implements the object calls.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

use serde_json::Value;

use galenamast::coordination::{
    ObjectKey, ObjectRecord, ObjectVersion, WriteCondition, WriteOutcome,
};
use galenamast::transport::{ObjectCalls, PageRequest, TransportError};

/// A fault that a test injects into a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CallFault {
    /// The call succeeds.
    #[default]
    None,
    /// The call takes effect, and its answer is lost.
    LoseAnswer,
    /// The call has no effect, and its answer is lost.
    LoseCall,
    /// The platform cannot be reached.
    Unreachable,
}

/// An in-memory object store with injected faults.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryObjects {
    state: Arc<Mutex<StoreState>>,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<ObjectKey, ObjectRecord>,
    faults: VecDeque<CallFault>,
    down: bool,
    calls: u64,
    last_version: u64,
    unconditional: bool,
}

impl MemoryObjects {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Injects faults into the next calls, in this order.
    pub(crate) fn fail_next(&self, faults: impl IntoIterator<Item = CallFault>) {
        self.lock().faults.extend(faults);
    }

    /// Sets whether the platform is down.
    pub(crate) fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Makes the store ignore the conditions of writes.
    pub(crate) fn ignore_conditions(&self) {
        self.lock().unconditional = true;
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the objects of a kind.
    pub(crate) fn of_kind(&self, kind: &str) -> Vec<ObjectRecord> {
        let state = self.lock();
        let found = state.objects.iter().filter(|(key, _)| key.kind == kind);
        found.map(|(_, record)| record.clone()).collect()
    }

    /// Returns object calls that use this store.
    pub(crate) fn object_calls(&self) -> ObjectCalls {
        let (reader, writer, deleter, lister) =
            (self.clone(), self.clone(), self.clone(), self.clone());
        ObjectCalls {
            read: Arc::new(move |key| {
                let result = reader.read(&key);
                Box::pin(async move { result })
            }),
            write: Arc::new(move |key, condition, value| {
                let result = writer.write(&key, condition, Some(value));
                Box::pin(async move { Ok(result) })
            }),
            delete: Arc::new(move |key, version| {
                let result = deleter.write(&key, WriteCondition::At(version), None);
                Box::pin(async move { Ok(result) })
            }),
            list: Arc::new(move |page| {
                let result = lister.list(&page);
                Box::pin(async move { result })
            }),
        }
    }

    /// Counts a call and returns its fault.
    fn next_fault(&self) -> CallFault {
        let mut state = self.lock();
        state.calls += 1;
        if state.down {
            return CallFault::Unreachable;
        }
        state.faults.pop_front().unwrap_or_default()
    }

    fn read(&self, key: &ObjectKey) -> Result<Option<ObjectRecord>, TransportError> {
        match self.next_fault() {
            CallFault::None => Ok(self.lock().objects.get(key).cloned()),
            _ => Err(unreachable_store()),
        }
    }

    fn list(&self, page: &PageRequest) -> Result<Vec<ObjectRecord>, TransportError> {
        if self.next_fault() != CallFault::None {
            return Err(unreachable_store());
        }
        let state = self.lock();
        let found = state
            .objects
            .iter()
            .filter(|(key, _)| key.kind == page.kind && key.name > page.after);
        Ok(found
            .take(page.limit)
            .map(|(_, record)| record.clone())
            .collect())
    }

    /// Performs a write, or a deletion if there is no value.
    pub(crate) fn write(
        &self,
        key: &ObjectKey,
        condition: WriteCondition,
        value: Option<Value>,
    ) -> WriteOutcome {
        match self.next_fault() {
            CallFault::None => self.apply(key, condition, value),
            CallFault::LoseAnswer => {
                self.apply(key, condition, value);
                WriteOutcome::Indeterminate
            }
            CallFault::LoseCall => WriteOutcome::Indeterminate,
            CallFault::Unreachable => WriteOutcome::Rejected,
        }
    }

    /// Applies a write, or a deletion if there is no value, without faults.
    pub(crate) fn apply(
        &self,
        key: &ObjectKey,
        condition: WriteCondition,
        value: Option<Value>,
    ) -> WriteOutcome {
        let mut state = self.lock();
        let current = state.objects.get(key).map(|record| record.version);
        let condition_holds = match condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::At(version) => current == Some(version),
        };
        if !condition_holds && !state.unconditional {
            return WriteOutcome::Conflict;
        }
        state.last_version += 1;
        let version = ObjectVersion(state.last_version);
        let name = key.name.clone();
        match value {
            Some(value) => state.objects.insert(
                key.clone(),
                ObjectRecord {
                    name,
                    version,
                    value,
                },
            ),
            None => state.objects.remove(key),
        };
        WriteOutcome::Applied(version)
    }
}

fn unreachable_store() -> TransportError {
    TransportError::Connect {
        address: "platform".into(),
        reason: "down".into(),
    }
}
