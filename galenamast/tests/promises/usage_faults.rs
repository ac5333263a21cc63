//! Each request is billed once: interleavings of copies, writes and killed hosts.

use std::collections::{BTreeMap, BTreeSet};

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::TestCaseError;

use galenamast::coordination::{
    BufferLimits, UsageBatch, UsageBuffer, UsageMerge, UsageOrigin, WriteCondition, WriteOutcome,
};
use galenamast::state::TimePoint;

use crate::memory_objects::MemoryObjects;
use crate::support::property_runner;
use crate::usage::record;

/// Steps of one interleaving.
const STEPS: usize = 60;
/// Hosts of the failure domain.
const HOSTS: usize = 3;
/// Names of the hosts.
const NAMES: [&str; HOSTS] = ["a", "b", "c"];

/// Mechanisms that a test can switch off.
#[derive(Clone, Copy, Default)]
struct Sabotage {
    no_copy: bool,
    no_merge: bool,
    unnamed_batches: bool,
}

/// The hosts of a failure domain, and what was promised.
struct World {
    store: MemoryObjects,
    hosts: Vec<UsageBuffer>,
    lives: u64,
    next_record: u128,
    /// Hosts that hold each record that is not known to be on the platform.
    holders: BTreeMap<u128, BTreeSet<usize>>,
    /// Records whose answer went out.
    answered: BTreeSet<u128>,
    /// Records whose holders were all killed.
    lost: BTreeSet<u128>,
}

impl World {
    fn new() -> Self {
        let hosts = (0..HOSTS).map(|index| new_buffer(index, 0)).collect();
        Self {
            store: MemoryObjects::default(),
            hosts,
            lives: 0,
            next_record: 1,
            holders: BTreeMap::new(),
            answered: BTreeSet::new(),
            lost: BTreeSet::new(),
        }
    }

    /// A host answers a request and copies its record; the choice says what becomes of the copy.
    fn serve(&mut self, host: usize, choice: u8, sabotage: Sabotage) {
        let number = self.next_record;
        self.next_record += 1;
        let copy = self.hosts[host].push(record(number), TimePoint::ZERO);
        let mut holders = BTreeSet::from([host]);
        let peer = (host + 1 + usize::from(choice / 4) % (HOSTS - 1)) % HOSTS;
        let arrives = !choice.is_multiple_of(4) && !sabotage.no_copy;
        if arrives && self.hosts[peer].store_copy(copy, TimePoint::ZERO) {
            holders.insert(peer);
        }
        // The answer goes out if the peer's acknowledgement arrives.
        if choice % 4 >= 2 {
            self.answered.insert(number);
        }
        self.holders.insert(number, holders);
    }

    /// A host writes a batch; the choice says what becomes of the write.
    fn flush(&mut self, host: usize, choice: u8, sabotage: Sabotage) {
        let Some(batch) = self.hosts[host].next_batch() else {
            return;
        };
        let value = serde_json::to_value(&batch).expect("the batch can be encoded");
        let mut key = batch.object();
        if sabotage.unnamed_batches {
            self.lives += 1;
            key.name = format!("{}-{}", key.name, self.lives);
        }
        let applied = !choice.is_multiple_of(4) && {
            let outcome = self.store.apply(&key, WriteCondition::Absent, Some(value));
            outcome != WriteOutcome::Rejected
        };
        if applied && choice % 4 >= 2 {
            self.hosts[host].batch_written(batch.sequence);
        }
        if applied {
            for record in &batch.records {
                self.holders.remove(&record.request_id.0.as_u128());
            }
        }
    }

    /// A host is killed and replaced by a new life of the same name.
    fn kill(&mut self, host: usize) {
        self.lives += 1;
        self.hosts[host] = new_buffer(host, self.lives);
        for (number, holders) in &mut self.holders {
            holders.remove(&host);
            if holders.is_empty() {
                self.lost.insert(*number);
            }
        }
    }

    /// A host takes another one for dead, rightly or not.
    fn adopt(&mut self, host: usize, choice: u8) {
        let gone = NAMES[usize::from(choice) % HOSTS];
        self.hosts[host].adopt_host(&gone.into());
    }

    /// Lets every living host write what it holds.
    fn finish(&mut self, sabotage: Sabotage) {
        for host in 0..HOSTS {
            for gone in NAMES {
                self.hosts[host].adopt_host(&gone.into());
            }
            while !self.hosts[host].is_written() {
                self.flush(host, 3, sabotage);
            }
        }
    }

    /// Returns how often each record is billed.
    fn billed(&self, sabotage: Sabotage) -> BTreeMap<u128, u32> {
        let mut merge = UsageMerge::default();
        let mut counts = BTreeMap::new();
        for stored in self.store.of_kind("usage") {
            let batch: UsageBatch =
                serde_json::from_value(stored.value).expect("the batch is well-formed");
            for record in &batch.records {
                *counts.entry(record.request_id.0.as_u128()).or_default() += 1;
            }
            merge.add_batch(batch, 0, u64::MAX);
        }
        if sabotage.no_merge {
            return counts;
        }
        let records = merge.into_records().into_iter();
        records
            .map(|record| (record.request_id.0.as_u128(), 1))
            .collect()
    }
}

fn new_buffer(host: usize, incarnation: u64) -> UsageBuffer {
    let origin = UsageOrigin {
        host: NAMES[host].into(),
        incarnation,
    };
    let limits = BufferLimits {
        batch_records: 3,
        ..Default::default()
    };
    UsageBuffer::new(origin, limits)
}

fn play(steps: &[(u8, u8, u8)], sabotage: Sabotage) -> Result<(), TestCaseError> {
    let mut world = World::new();
    for (operation, host, choice) in steps {
        let host = usize::from(*host) % HOSTS;
        match operation % 10 {
            0..=3 => world.serve(host, *choice, sabotage),
            4..=7 => world.flush(host, *choice, sabotage),
            8 => world.adopt(host, *choice),
            _ => world.kill(host),
        }
    }
    world.finish(sabotage);
    let billed = world.billed(sabotage);
    for (number, count) in &billed {
        if *count != 1 || *number >= world.next_record {
            return Err(TestCaseError::fail(format!(
                "request {number} is billed {count} times"
            )));
        }
    }
    for number in &world.answered {
        if !billed.contains_key(number) && (sabotage.no_copy || !world.lost.contains(number)) {
            return Err(TestCaseError::fail(format!(
                "request {number} is not billed"
            )));
        }
    }
    for (host, buffer) in world.hosts.iter().enumerate() {
        if buffer.used_bytes() != 0 {
            let bytes = buffer.used_bytes();
            return Err(TestCaseError::fail(format!(
                "host {host} still counts {bytes} bytes"
            )));
        }
    }
    Ok(())
}

fn explore(sabotage: Sabotage) -> Result<(), String> {
    let strategy = vec((any::<u8>(), any::<u8>(), any::<u8>()), STEPS);
    property_runner(4_000)
        .run(&strategy, |steps| play(&steps, sabotage))
        .map_err(|error| error.to_string())
}

#[test]
fn each_request_is_billed_once() {
    explore(Sabotage::default()).unwrap();
}

#[test]
fn without_copies_a_killed_host_loses_records() {
    let sabotage = Sabotage {
        no_copy: true,
        ..Default::default()
    };
    let found = explore(sabotage).expect_err("the mechanism is switched off");
    assert!(found.contains("is not billed"), "{found}");
}

#[test]
fn without_the_merge_a_request_is_billed_twice() {
    let sabotage = Sabotage {
        no_merge: true,
        ..Default::default()
    };
    let found = explore(sabotage).expect_err("the mechanism is switched off");
    assert!(found.contains("billed 2 times"), "{found}");
}

#[test]
fn without_batch_names_a_resent_batch_is_stored_twice() {
    let sabotage = Sabotage {
        no_merge: true,
        unnamed_batches: true,
        ..Default::default()
    };
    let found = explore(sabotage).expect_err("the mechanism is switched off");
    assert!(found.contains("times"), "{found}");
}
