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

/// Number of steps in an interleaving.
const STEPS: usize = 60;
/// Number of hosts in the failure domain.
const HOSTS: usize = 3;
/// Names of the hosts.
const NAMES: [&str; HOSTS] = ["a", "b", "c"];

/// Safety mechanisms that a test switches off.
#[derive(Clone, Copy, Default)]
struct DisabledMechanisms {
    no_copy: bool,
    no_merge: bool,
    unnamed_batches: bool,
}

/// The hosts of a failure domain, and the records that must be billed.
struct Simulation {
    store: MemoryObjects,
    hosts: Vec<UsageBuffer>,
    /// Last number given to an incarnation of a host or, without stable names, to a batch.
    last_serial: u64,
    next_record: u128,
    /// Hosts that hold each record that is not known to be on the platform.
    holders: BTreeMap<u128, BTreeSet<usize>>,
    /// Records of requests whose answer was sent.
    answered: BTreeSet<u128>,
    /// Records whose holders were all killed.
    lost: BTreeSet<u128>,
}

impl Simulation {
    fn new() -> Self {
        let hosts = (0..HOSTS).map(|index| new_buffer(index, 0)).collect();
        Self {
            store: MemoryObjects::default(),
            hosts,
            last_serial: 0,
            next_record: 1,
            holders: BTreeMap::new(),
            answered: BTreeSet::new(),
            lost: BTreeSet::new(),
        }
    }

    /// Answers a request on a host and copies its record to a peer; the choice determines whether
    /// the copy and its acknowledgement arrive.
    fn serve(&mut self, host: usize, choice: u8, disabled: DisabledMechanisms) {
        let number = self.next_record;
        self.next_record += 1;
        let copy = self.hosts[host].push(record(number), TimePoint::ZERO);
        let mut holders = BTreeSet::from([host]);
        let peer = (host + 1 + usize::from(choice / 4) % (HOSTS - 1)) % HOSTS;
        let arrives = !choice.is_multiple_of(4) && !disabled.no_copy;
        if arrives && self.hosts[peer].store_copy(copy, TimePoint::ZERO) {
            holders.insert(peer);
        }
        // The answer is sent if the peer's acknowledgement arrives.
        if choice % 4 >= 2 {
            self.answered.insert(number);
        }
        self.holders.insert(number, holders);
    }

    /// Writes a batch of a host; the choice determines whether the write and its answer arrive.
    fn flush(&mut self, host: usize, choice: u8, disabled: DisabledMechanisms) {
        let Some(batch) = self.hosts[host].next_batch() else {
            return;
        };
        let value = serde_json::to_value(&batch).expect("the batch can be encoded");
        let mut key = batch.object();
        if disabled.unnamed_batches {
            self.last_serial += 1;
            key.name = format!("{}-{}", key.name, self.last_serial);
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

    /// Kills a host and replaces it by a new incarnation of the same name.
    fn kill(&mut self, host: usize) {
        self.last_serial += 1;
        self.hosts[host] = new_buffer(host, self.last_serial);
        for (number, holders) in &mut self.holders {
            holders.remove(&host);
            if holders.is_empty() {
                self.lost.insert(*number);
            }
        }
    }

    /// Makes a host take another one for dead, correctly or not.
    fn adopt(&mut self, host: usize, choice: u8) {
        let dead_host = NAMES[usize::from(choice) % HOSTS];
        self.hosts[host].adopt_host(&dead_host.into());
    }

    /// Makes every live host write all records that it holds.
    fn finish(&mut self, disabled: DisabledMechanisms) {
        for host in 0..HOSTS {
            for dead_host in NAMES {
                self.hosts[host].adopt_host(&dead_host.into());
            }
            while !self.hosts[host].is_written() {
                self.flush(host, 3, disabled);
            }
        }
    }

    /// Returns how often each record is billed.
    fn billed(&self, disabled: DisabledMechanisms) -> BTreeMap<u128, u32> {
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
        if disabled.no_merge {
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

fn run_interleaving(
    steps: &[(u8, u8, u8)],
    disabled: DisabledMechanisms,
) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new();
    for (operation, host, choice) in steps {
        let host = usize::from(*host) % HOSTS;
        match operation % 10 {
            0..=3 => simulation.serve(host, *choice, disabled),
            4..=7 => simulation.flush(host, *choice, disabled),
            8 => simulation.adopt(host, *choice),
            _ => simulation.kill(host),
        }
    }
    simulation.finish(disabled);
    let billed = simulation.billed(disabled);
    for (number, count) in &billed {
        if *count != 1 || *number >= simulation.next_record {
            return Err(TestCaseError::fail(format!(
                "request {number} is billed {count} times"
            )));
        }
    }
    for number in &simulation.answered {
        if !billed.contains_key(number) && (disabled.no_copy || !simulation.lost.contains(number)) {
            return Err(TestCaseError::fail(format!(
                "request {number} is not billed"
            )));
        }
    }
    for (host, buffer) in simulation.hosts.iter().enumerate() {
        if buffer.used_bytes() != 0 {
            let bytes = buffer.used_bytes();
            return Err(TestCaseError::fail(format!(
                "host {host} still counts {bytes} bytes"
            )));
        }
    }
    Ok(())
}

fn check_interleavings(disabled: DisabledMechanisms) -> Result<(), String> {
    let strategy = vec((any::<u8>(), any::<u8>(), any::<u8>()), STEPS);
    property_runner(4_000)
        .run(&strategy, |steps| run_interleaving(&steps, disabled))
        .map_err(|error| error.to_string())
}

#[test]
fn each_request_is_billed_once() {
    check_interleavings(DisabledMechanisms::default()).unwrap();
}

#[test]
fn without_copies_a_killed_host_loses_records() {
    let disabled = DisabledMechanisms {
        no_copy: true,
        ..Default::default()
    };
    let found = check_interleavings(disabled).expect_err("the mechanism is switched off");
    assert!(found.contains("is not billed"), "{found}");
}

#[test]
fn without_the_merge_a_request_is_billed_twice() {
    let disabled = DisabledMechanisms {
        no_merge: true,
        ..Default::default()
    };
    let found = check_interleavings(disabled).expect_err("the mechanism is switched off");
    assert!(found.contains("billed 2 times"), "{found}");
}

#[test]
fn without_stable_batch_names_a_resent_batch_is_stored_twice() {
    let disabled = DisabledMechanisms {
        no_merge: true,
        unnamed_batches: true,
        ..Default::default()
    };
    let found = check_interleavings(disabled).expect_err("the mechanism is switched off");
    assert!(found.contains("times"), "{found}");
}
