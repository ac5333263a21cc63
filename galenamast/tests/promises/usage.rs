//! Each request is billed once: the usage ledger with a peer and a platform that fail.

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

struct Fixture {
    store: MemoryObjects,
    clock: ManualClock,
    timers: TimerService,
}

impl Fixture {
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

    /// Runs background work for a number of seconds of virtual time.
    async fn run_for(&self, seconds: u32) {
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
        self.run_for(4).await;
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
async fn a_peer_writes_the_records_of_a_host_killed_after_the_copy() {
    let fixture = Fixture::new();
    let second = fixture.ledger("b", no_peer());
    let first = fixture.ledger("a", peer(&second));
    assert_eq!(fixture.record(&first, 1).await, UsageDurability::Copied);
    drop(first);
    assert_eq!(fixture.billed().await, [0; 0]);
    let writer = tokio::spawn(second.clone().run());
    second.adopt_host(&"a".into());
    fixture.run_for(1).await;
    assert_eq!(fixture.billed().await, [1]);
    writer.abort();
}

#[tokio::test]
async fn records_of_a_live_host_taken_for_dead_are_billed_once() {
    let fixture = Fixture::new();
    let second = fixture.ledger("b", no_peer());
    let first = fixture.ledger("a", peer(&second));
    let writers = [
        tokio::spawn(first.clone().run()),
        tokio::spawn(second.clone().run()),
    ];
    fixture.record(&first, 1).await;
    second.adopt_host(&"a".into());
    fixture.run_for(20).await;
    assert_eq!(
        fixture.store.of_kind("usage").len(),
        2,
        "both wrote the record"
    );
    assert_eq!(fixture.billed().await, [1]);
    writers.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn a_peer_writes_copies_that_their_origin_never_wrote() {
    let fixture = Fixture::new();
    let second = fixture.ledger("b", no_peer());
    let first = fixture.ledger("a", peer(&second));
    let writer = tokio::spawn(second.clone().run());
    fixture.record(&first, 1).await;
    fixture.run_for(320).await;
    assert_eq!(fixture.billed().await, [1]);
    assert_eq!(second.status().held_bytes, 0);
    writer.abort();
}

#[tokio::test]
async fn without_a_peer_the_record_is_written_to_the_platform_directly() {
    for copy in [no_peer(), silent_peer()] {
        let fixture = Fixture::new();
        let ledger = fixture.ledger("a", copy);
        let writer = tokio::spawn(ledger.clone().run());
        fixture.run_for(1).await;
        assert_eq!(fixture.record(&ledger, 1).await, UsageDurability::Durable);
        assert_eq!(fixture.billed().await, [1]);
        writer.abort();
    }
}

#[tokio::test]
async fn records_are_billed_once_despite_lost_answers() {
    let fixture = Fixture::new();
    let ledger = fixture.ledger("a", no_peer());
    let writer = tokio::spawn(ledger.clone().run());
    fixture.store.fail_next([
        CallFault::LoseAnswer,
        CallFault::LoseCall,
        CallFault::LoseAnswer,
    ]);
    fixture.record(&ledger, 1).await;
    fixture.record(&ledger, 2).await;
    fixture.run_for(10).await;
    assert_eq!(fixture.billed().await, [1, 2]);
    assert!(ledger.drain(Duration::ZERO).await);
    writer.abort();
}

#[tokio::test]
async fn during_a_long_outage_requests_are_refused_before_records_are_lost() {
    let fixture = Fixture::new();
    let limits = BufferLimits {
        max_bytes: 8 * 1_024,
        batch_records: 4,
        ..Default::default()
    };
    let second = fixture.ledger("b", no_peer());
    let first = fixture.bounded_ledger("a", peer(&second), limits);
    let writer = tokio::spawn(first.clone().run());
    fixture.store.set_down(true);
    let mut served = 0;
    while let Some(reservation) = first.reserve() {
        served += 1;
        first.record(record(served)).await;
        drop(reservation);
        assert!(first.status().held_bytes <= limits.max_bytes);
        assert!(served < 1_000, "the buffer must be bounded");
    }
    fixture.run_for(3_600).await;
    assert!(first.status().oldest_age >= Duration::from_secs(3_600));
    assert!(first.reserve().is_none());
    fixture.store.set_down(false);
    fixture.run_for(30).await;
    assert_eq!(fixture.billed().await, (1..=served).collect::<Vec<_>>());
    assert!(first.reserve().is_some());
    assert_eq!(first.status().oldest_age, Duration::ZERO);
    writer.abort();
}

#[tokio::test]
async fn a_host_cut_off_from_peers_and_platform_keeps_the_record() {
    let fixture = Fixture::new();
    let ledger = fixture.ledger("a", silent_peer());
    let writer = tokio::spawn(ledger.clone().run());
    fixture.store.set_down(true);
    assert_eq!(fixture.record(&ledger, 1).await, UsageDurability::Local);
    fixture.store.set_down(false);
    fixture.run_for(12).await;
    assert_eq!(fixture.billed().await, [1]);
    writer.abort();
}

#[tokio::test]
async fn an_export_covers_its_period_and_fails_on_a_malformed_batch() {
    let fixture = Fixture::new();
    let ledger = fixture.ledger("a", no_peer());
    let writer = tokio::spawn(ledger.clone().run());
    for number in 1..=5 {
        fixture.record(&ledger, number).await;
    }
    writer.abort();
    let calls = fixture.store.object_calls();
    let range = ExportRange {
        from_unix_ms: 1_002,
        until_unix_ms: 1_004,
        page_batches: 1,
    };
    let export = export_usage(&calls, range)
        .await
        .expect("the platform answers");
    assert_eq!(export.records, [record(2), record(3)]);
    let mut batch = fixture.store.of_kind("usage").remove(0);
    batch.value["records"] = "none".into();
    let key = galenamast::coordination::ObjectKey::new("usage", "z");
    let condition = galenamast::coordination::WriteCondition::Absent;
    fixture.store.write(&key, condition, Some(batch.value));
    assert!(export_usage(&calls, range).await.is_err());
}

#[tokio::test]
async fn a_batch_whose_name_is_in_use_is_stored_under_another() {
    let fixture = Fixture::new();
    for number in 1..=2 {
        // Both runs of the host have the same incarnation, as after its clock was set back.
        let ledger = fixture.ledger("a", no_peer());
        let writer = tokio::spawn(ledger.clone().run());
        fixture.record(&ledger, number).await;
        fixture.run_for(4).await;
        writer.abort();
    }
    assert_eq!(fixture.billed().await, [1, 2]);
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
async fn a_peer_writes_the_copies_of_the_previous_incarnation_of_a_restarted_host() {
    let fixture = Fixture::new();
    let second = fixture.ledger("b", no_peer());
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
    fixture.run_for(12).await;
    assert_eq!(fixture.billed().await, [1]);
    writer.abort();
}
