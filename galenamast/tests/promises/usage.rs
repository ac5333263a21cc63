//! Each request is billed once: the ledger over a peer and a platform that fail.

use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use galenamast::coordination::{BufferLimits, UsageBuffer, UsageCopy, UsageOrigin, UsageRecord};
use galenamast::state::{RequestId, TimePoint, VersionKey};
use galenamast::transport::{
    CopyCall, ExportRange, LedgerSettings, ManualClock, TimerService, UsageDurability, UsageLedger,
    export_usage,
};

use crate::memory_objects::{CallFault, MemoryObjects};

struct Bench {
    store: MemoryObjects,
    clock: ManualClock,
    timers: TimerService,
}

impl Bench {
    fn new() -> Self {
        let (timers, clock) = TimerService::manual();
        let store = MemoryObjects::default();
        Self {
            store,
            clock,
            timers,
        }
    }

    fn ledger(&self, host: &str, copy: CopyCall) -> UsageLedger {
        self.bounded_ledger(host, copy, BufferLimits::default())
    }

    fn bounded_ledger(&self, host: &str, copy: CopyCall, limits: BufferLimits) -> UsageLedger {
        let origin = UsageOrigin {
            host: host.into(),
            incarnation: 1,
        };
        let settings = LedgerSettings {
            origin,
            limits,
            ..Default::default()
        };
        UsageLedger::new(
            self.store.object_calls(),
            copy,
            self.timers.clone(),
            settings,
        )
    }

    /// Lets background work go on for a time.
    async fn pass(&self, seconds: u32) {
        for _ in 0..seconds {
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            self.clock.advance(Duration::from_secs(1));
        }
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
    }

    /// Records a request while time passes.
    async fn record(&self, ledger: &UsageLedger, number: u128) -> UsageDurability {
        let held = tokio::spawn({
            let ledger = ledger.clone();
            async move { ledger.record(record(number)).await }
        });
        self.pass(4).await;
        held.await.expect("the record is held")
    }

    async fn billed(&self) -> Vec<u128> {
        let range = ExportRange {
            page_batches: 2,
            ..Default::default()
        };
        let export = export_usage(&self.store.object_calls(), range).await;
        let records = export.expect("the platform answers").records;
        records
            .iter()
            .map(|record| record.request_id.0.as_u128())
            .collect()
    }
}

pub(crate) fn record(number: u128) -> UsageRecord {
    UsageRecord {
        request_id: RequestId(Uuid::from_u128(number)),
        workspace: "counter".into(),
        task: "fit".into(),
        version: Some(VersionKey::new("fit", "v1")),
        input_tokens: 10,
        output_tokens: 20,
        price: 30,
        ended_unix_ms: 1_000 + number as u64,
    }
}

fn no_peer() -> CopyCall {
    Arc::new(|_| Box::pin(async { Ok(false) }))
}

fn silent_peer() -> CopyCall {
    Arc::new(|_| Box::pin(std::future::pending()))
}

fn peer(ledger: &UsageLedger) -> CopyCall {
    let ledger = ledger.clone();
    Arc::new(move |copy| {
        let held = ledger.accept_copy(copy);
        Box::pin(async move { Ok(held) })
    })
}

#[tokio::test]
async fn a_host_killed_after_the_copy_is_billed_by_its_peer() {
    let bench = Bench::new();
    let second = bench.ledger("b", no_peer());
    let first = bench.ledger("a", peer(&second));
    assert_eq!(bench.record(&first, 1).await, UsageDurability::Copied);
    drop(first);
    assert_eq!(bench.billed().await, [0; 0]);
    let writer = tokio::spawn(second.clone().run());
    second.adopt_host(&"a".into());
    bench.pass(1).await;
    assert_eq!(bench.billed().await, [1]);
    writer.abort();
}

#[tokio::test]
async fn a_peer_taken_for_dead_is_not_billed_twice() {
    let bench = Bench::new();
    let second = bench.ledger("b", no_peer());
    let first = bench.ledger("a", peer(&second));
    let writers = [
        tokio::spawn(first.clone().run()),
        tokio::spawn(second.clone().run()),
    ];
    bench.record(&first, 1).await;
    second.adopt_host(&"a".into());
    bench.pass(20).await;
    assert_eq!(
        bench.store.of_kind("usage").len(),
        2,
        "both wrote the record"
    );
    assert_eq!(bench.billed().await, [1]);
    writers.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn copies_that_their_origin_forgot_are_written() {
    let bench = Bench::new();
    let second = bench.ledger("b", no_peer());
    let first = bench.ledger("a", peer(&second));
    let writer = tokio::spawn(second.clone().run());
    bench.record(&first, 1).await;
    bench.pass(320).await;
    assert_eq!(bench.billed().await, [1]);
    assert_eq!(second.status().held_bytes, 0);
    writer.abort();
}

#[tokio::test]
async fn without_a_peer_the_record_goes_straight_to_the_platform() {
    for copy in [no_peer(), silent_peer()] {
        let bench = Bench::new();
        let lone = bench.ledger("a", copy);
        let writer = tokio::spawn(lone.clone().run());
        bench.pass(1).await;
        assert_eq!(bench.record(&lone, 1).await, UsageDurability::Durable);
        assert_eq!(bench.billed().await, [1]);
        writer.abort();
    }
}

#[tokio::test]
async fn lost_answers_do_not_bill_twice() {
    let bench = Bench::new();
    let lone = bench.ledger("a", no_peer());
    let writer = tokio::spawn(lone.clone().run());
    bench.store.fail_next([
        CallFault::LoseAnswer,
        CallFault::LoseCall,
        CallFault::LoseAnswer,
    ]);
    bench.record(&lone, 1).await;
    bench.record(&lone, 2).await;
    bench.pass(10).await;
    assert_eq!(bench.billed().await, [1, 2]);
    assert!(lone.drain(Duration::ZERO).await);
    writer.abort();
}

#[tokio::test]
async fn a_long_outage_refuses_requests_before_it_loses_records() {
    let bench = Bench::new();
    let limits = BufferLimits {
        max_bytes: 8 * 1_024,
        batch_records: 4,
        ..Default::default()
    };
    let second = bench.ledger("b", no_peer());
    let first = bench.bounded_ledger("a", peer(&second), limits);
    let writer = tokio::spawn(first.clone().run());
    bench.store.set_down(true);
    let mut served = 0;
    while let Some(reservation) = first.reserve() {
        served += 1;
        first.record(record(served)).await;
        drop(reservation);
        assert!(first.status().held_bytes <= limits.max_bytes);
        assert!(served < 1_000, "the buffer is not bounded");
    }
    bench.pass(3_600).await;
    assert!(first.status().oldest_age >= Duration::from_secs(3_600));
    assert!(first.reserve().is_none());
    bench.store.set_down(false);
    bench.pass(30).await;
    assert_eq!(bench.billed().await, (1..=served).collect::<Vec<_>>());
    assert!(first.reserve().is_some());
    assert_eq!(first.status().oldest_age, Duration::ZERO);
    writer.abort();
}

#[tokio::test]
async fn cut_off_from_peers_and_platform_the_record_is_kept() {
    let bench = Bench::new();
    let lone = bench.ledger("a", silent_peer());
    let writer = tokio::spawn(lone.clone().run());
    bench.store.set_down(true);
    assert_eq!(bench.record(&lone, 1).await, UsageDurability::Local);
    bench.store.set_down(false);
    bench.pass(12).await;
    assert_eq!(bench.billed().await, [1]);
    writer.abort();
}

#[tokio::test]
async fn an_export_covers_its_period_and_fails_on_a_malformed_batch() {
    let bench = Bench::new();
    let lone = bench.ledger("a", no_peer());
    let writer = tokio::spawn(lone.clone().run());
    for number in 1..=5 {
        bench.record(&lone, number).await;
    }
    writer.abort();
    let calls = bench.store.object_calls();
    let range = ExportRange {
        from_unix_ms: 1_002,
        until_unix_ms: 1_004,
        page_batches: 1,
    };
    let export = export_usage(&calls, range)
        .await
        .expect("the platform answers");
    assert_eq!(export.records, [record(2), record(3)]);
    let mut batch = bench.store.of_kind("usage").remove(0);
    batch.value["records"] = "none".into();
    let key = galenamast::coordination::ObjectKey::new("usage", "z");
    let condition = galenamast::coordination::WriteCondition::Absent;
    bench.store.write(&key, condition, Some(batch.value));
    assert!(export_usage(&calls, range).await.is_err());
}

#[tokio::test]
async fn a_batch_under_a_name_in_use_is_stored_under_another() {
    let bench = Bench::new();
    for number in 1..=2 {
        // Both lives of the host have the same incarnation, as after a clock that was set back.
        let lone = bench.ledger("a", no_peer());
        let writer = tokio::spawn(lone.clone().run());
        bench.record(&lone, number).await;
        bench.pass(4).await;
        writer.abort();
    }
    assert_eq!(bench.billed().await, [1, 2]);
}

#[test]
fn batches_stay_within_their_size() {
    let limits = BufferLimits::default();
    let mut buffer = UsageBuffer::new(UsageOrigin::default(), limits);
    for number in 0..2_000 {
        let mut long = record(number);
        long.task = "t".repeat(700).as_str().into();
        (long.price, long.input_tokens, long.output_tokens) = (u64::MAX, u64::MAX, u64::MAX);
        long.ended_unix_ms = u64::MAX;
        buffer.push(long, TimePoint::ZERO);
    }
    let mut records = 0;
    while let Some(batch) = buffer.next_batch() {
        let length = serde_json::to_vec(&batch.records)
            .expect("the batch can be encoded")
            .len();
        assert!(length <= limits.batch_bytes, "{length} bytes");
        records += batch.records.len();
        buffer.batch_written(batch.sequence);
    }
    assert_eq!((records, buffer.used_bytes()), (2_000, 0));
}

#[tokio::test]
async fn a_new_life_of_a_host_makes_its_peer_write_the_copies_of_the_old_one() {
    let bench = Bench::new();
    let second = bench.ledger("b", no_peer());
    let writer = tokio::spawn(second.clone().run());
    for (incarnation, number) in [(1, 1), (2, 2)] {
        let origin = UsageOrigin {
            host: "a".into(),
            incarnation,
        };
        let copy = UsageCopy {
            origin,
            sequence: 0,
            durable_before: 0,
            record: record(number),
        };
        assert!(second.accept_copy(copy));
    }
    bench.pass(12).await;
    assert_eq!(bench.billed().await, [1]);
    writer.abort();
}
