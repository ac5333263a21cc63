//! Configuration changes: races, lost answers, repeated changes and refusals.

use std::sync::Arc;
use std::time::Duration;

use galenamast::coordination::{
    ChangeRefusal, ConfigChange, ConfigObject, HeadDocument, ObjectSweep,
};
use galenamast::state::{ConfigGeneration, StateError, TimePoint, WorkspaceSpec};
use galenamast::transport::config_cleaner::clean_pass;
use galenamast_fakes::FakeObjects;

use crate::support::{client_at, pool_change, writer_at};

/// Reads the stored configuration head.
fn head_of(objects: &FakeObjects) -> HeadDocument {
    let value = objects.get("head", "config").expect("a head was written");
    serde_json::from_value(value).expect("the head is well formed")
}

#[tokio::test]
async fn a_repeated_change_is_applied_once() {
    let objects = FakeObjects::start().await;
    let writer = writer_at(objects.address());
    let change = pool_change("c1", "advice", 8);
    let first = writer.apply(&change, false).await.expect("accepted");
    let second = writer.apply(&change, false).await.expect("accepted");
    assert!(!first.repeated && second.repeated);
    assert_eq!(first.generation, second.generation);
    assert_eq!(head_of(&objects).generation, ConfigGeneration(1));
}

#[tokio::test]
async fn a_lost_answer_is_resolved_by_the_change_id() {
    let objects = FakeObjects::start().await;
    let writer = writer_at(objects.address());
    writer
        .apply(&pool_change("c0", "other", 8), false)
        .await
        .expect("accepted");
    objects.faults().set(|faults| {
        faults.lose_answers = 1;
        faults.lose_only = Some("head".into());
    });
    let receipt = writer.apply(&pool_change("c1", "advice", 8), false).await;
    let receipt = receipt.expect("accepted");
    assert!(receipt.repeated, "the change was found by its identifier");
    assert_eq!(receipt.generation, ConfigGeneration(2));
    assert_eq!(head_of(&objects).changes.len(), 2);
}

#[tokio::test]
async fn concurrent_changes_of_different_entries_all_succeed() {
    let objects = FakeObjects::start().await;
    let address = objects.address();
    let race = (0..6).map(|index| async move {
        let name = format!("pool-{index}");
        writer_at(address)
            .apply(&pool_change(&name, &name, 8), false)
            .await
    });
    for result in futures_util::future::join_all(race).await {
        result.expect("every change is accepted");
    }
    let head = head_of(&objects);
    assert_eq!(head.generation, ConfigGeneration(6));
    assert_eq!(head.entries.len(), 6);
}

#[tokio::test]
async fn a_change_of_an_entry_changed_since_its_base_names_the_winning_change() {
    let objects = FakeObjects::start().await;
    let writer = Arc::new(writer_at(objects.address()));
    let base = writer.apply(&pool_change("c1", "advice", 8), false).await;
    let base = Some(base.expect("accepted").generation);
    let second = ConfigChange {
        based_on: base,
        ..pool_change("c2", "advice", 16)
    };
    let third = ConfigChange {
        based_on: base,
        ..pool_change("c3", "advice", 32)
    };
    writer.apply(&second, false).await.expect("accepted");
    let refusal = writer.apply(&third, false).await.expect_err("overtaken");
    let text = refusal.to_string();
    assert_eq!(
        text,
        "overtaken by change c2 by author of c2 of pool/advice"
    );
    assert_eq!(head_of(&objects).generation, ConfigGeneration(2));
}

#[tokio::test]
async fn refused_changes_and_dry_runs_write_nothing() {
    let objects = FakeObjects::start().await;
    let writer = writer_at(objects.address());
    let workspace = WorkspaceSpec {
        name: "w".into(),
        allowed: [("fit".into(), ["v1".into()].into())].into(),
        ..Default::default()
    };
    let dangling = ConfigChange {
        change_id: "c1".into(),
        puts: vec![ConfigObject::Workspace(workspace)],
        ..Default::default()
    };
    let refusal = writer.apply(&dangling, false).await.expect_err("dangling");
    let ChangeRefusal::Invalid(errors) = refusal else {
        panic!("{refusal}");
    };
    assert!(matches!(errors[0], StateError::DanglingReference { .. }));
    let removal = ConfigChange {
        change_id: "c2".into(),
        removals: vec!["pool/none".into()],
        ..Default::default()
    };
    let refusal = writer.apply(&removal, false).await.expect_err("unknown");
    assert!(matches!(refusal, ChangeRefusal::UnknownEntry(_)));
    let mut large = WorkspaceSpec {
        name: "w".into(),
        ..Default::default()
    };
    for index in 0..40_000 {
        large
            .task_targets
            .insert(format!("task-{index:020}").as_str().into(), 0.5);
    }
    let large = ConfigChange {
        change_id: "c3".into(),
        puts: vec![ConfigObject::Workspace(large)],
        ..Default::default()
    };
    let refusal = writer.apply(&large, false).await.expect_err("too large");
    assert!(matches!(refusal, ChangeRefusal::TooLarge { .. }));
    let dry = writer.apply(&pool_change("c4", "advice", 8), true).await;
    assert_eq!(dry.expect("valid").generation, ConfigGeneration(1));
    assert!(objects.get("head", "config").is_none());
    assert!(objects.values("config").is_empty());
}

#[tokio::test]
async fn a_change_is_refused_while_the_platform_is_down() {
    let objects = FakeObjects::start().await;
    let writer = writer_at(objects.address());
    writer
        .apply(&pool_change("c0", "other", 8), false)
        .await
        .expect("accepted");
    objects.faults().set(|faults| faults.refuse = true);
    let refusal = writer.apply(&pool_change("c1", "advice", 8), false).await;
    let refusal = refusal.expect_err("the platform is down");
    assert!(
        matches!(refusal, ChangeRefusal::Unavailable { .. }),
        "{refusal}"
    );
    objects.faults().set(|faults| faults.refuse = false);
    assert_eq!(head_of(&objects).generation, ConfigGeneration(1));
}

#[tokio::test]
async fn only_objects_that_stay_unreferenced_are_deleted() {
    let objects = FakeObjects::start().await;
    let client = client_at(objects.address());
    let writer = writer_at(objects.address());
    for (id, slots) in [("c1", 1), ("c2", 2), ("c3", 3)] {
        let result = writer.apply(&pool_change(id, "advice", slots), false).await;
        result.expect("accepted");
    }
    let mut sweep = ObjectSweep::default();
    let later = TimePoint::ZERO + Duration::from_secs(1_800);
    let none = clean_pass(&client, &mut sweep, TimePoint::ZERO).await;
    assert_eq!(none.expect("the platform answers"), 0);
    // Restoring the first content rewrites its object and so raises the object's version.
    let back = pool_change("c4", "advice", 1);
    writer.apply(&back, false).await.expect("accepted");
    let forward = pool_change("c5", "advice", 3);
    writer.apply(&forward, false).await.expect("accepted");
    let one = clean_pass(&client, &mut sweep, later).await;
    assert_eq!(one.expect("the platform answers"), 1);
    assert_eq!(objects.values("config").len(), 2);
    let rest = clean_pass(&client, &mut sweep, later + Duration::from_secs(1_800)).await;
    assert_eq!(rest.expect("the platform answers"), 1);
    assert_eq!(objects.values("config").len(), 1);
}

#[test]
fn a_head_keeps_its_newest_changes_and_refuses_a_base_beyond_them() {
    let mut head = HeadDocument::default();
    for index in 0..70 {
        let change = pool_change(&format!("c{index}"), "advice", index + 1);
        let planned = change.plan(&head, head.generation).expect("valid");
        head = planned.head;
    }
    assert_eq!(head.changes.len(), 64);
    assert_eq!(head.changes[0].change_id, "c6");
    let change = pool_change("late", "other", 1);
    assert!(change.plan(&head, ConfigGeneration(6)).is_ok());
    let refusal = change
        .plan(&head, ConfigGeneration(5))
        .expect_err("the base is older than the kept changes");
    assert!(matches!(refusal, ChangeRefusal::UnknownBase { .. }));
}
