//! Workspace limits and the fair queue.

use std::time::Duration;

use galenamast::coordination::{
    AdmissionControl, AdmissionQueue, ConfigObject, QueueEntry, QueueTicket, QueueVerdict,
};
use galenamast::state::{ConfigGeneration, RequestPriority, TimePoint, WorkspaceLimits};
use galenamast_testbed::publish_config;

use crate::support::{chat, eventually, start};

/// Returns a queue entry.
fn entry(ticket: u64, workspace: &str, priority: RequestPriority) -> QueueEntry {
    QueueEntry {
        ticket: QueueTicket(ticket),
        pool: "consejero".into(),
        workspace: workspace.into(),
        weight: 1.0,
        priority,
        deadline: TimePoint::from_millis(1_000 + ticket),
    }
}

/// Pops the next request and returns its workspace.
fn pop(queue: &mut AdmissionQueue) -> Option<String> {
    let entry = queue.pop(&"consejero".into(), TimePoint::ZERO)?;
    Some(entry.workspace.to_string())
}

#[test]
fn a_small_workspace_is_not_starved_by_a_large_one() {
    let mut queue = AdmissionQueue::new(200);
    for ticket in 0..100 {
        queue.push(entry(ticket, "large", RequestPriority::High));
    }
    for ticket in 100..105 {
        queue.push(entry(ticket, "small", RequestPriority::Normal));
    }
    let first: Vec<String> = (0..10).filter_map(|_| pop(&mut queue)).collect();
    let small = first.iter().filter(|name| *name == "small").count();
    assert_eq!(small, 5, "{first:?}");
}

#[test]
fn shares_follow_the_weights() {
    let mut queue = AdmissionQueue::new(200);
    for ticket in 0..100 {
        let (workspace, weight) = if ticket % 2 == 0 {
            ("a", 3.0)
        } else {
            ("b", 1.0)
        };
        let waiting = entry(ticket, workspace, RequestPriority::Normal);
        queue.push(QueueEntry { weight, ..waiting });
    }
    let first: Vec<String> = (0..40).filter_map(|_| pop(&mut queue)).collect();
    let heavy = first.iter().filter(|name| *name == "a").count();
    assert_eq!(heavy, 30);
}

#[test]
fn the_request_of_lowest_priority_is_shed_first() {
    let mut queue = AdmissionQueue::new(3);
    queue.push(entry(1, "a", RequestPriority::Normal));
    queue.push(entry(2, "a", RequestPriority::Low));
    queue.push(entry(3, "a", RequestPriority::High));
    let shed = queue.push(entry(4, "b", RequestPriority::Normal));
    assert_eq!(shed, QueueVerdict::Displaced(QueueTicket(2)));
    let rejected = queue.push(entry(5, "b", RequestPriority::Low));
    assert_eq!(rejected, QueueVerdict::Rejected);
}

#[test]
fn a_request_past_its_deadline_is_not_dequeued() {
    let mut queue = AdmissionQueue::new(3);
    queue.push(entry(1, "a", RequestPriority::Normal));
    let past_deadline = TimePoint::from_millis(5_000);
    assert!(queue.pop(&"consejero".into(), past_deadline).is_none());
}

#[test]
fn a_refusal_by_the_rate_limit_states_when_to_retry() {
    let limits = WorkspaceLimits {
        requests_per_second: 2.0,
        ..Default::default()
    };
    let mut control = AdmissionControl::default();
    let name = "alta".into();
    assert!(control.admit(&name, &limits, TimePoint::ZERO).is_ok());
    assert!(control.admit(&name, &limits, TimePoint::ZERO).is_ok());
    let refusal = control
        .admit(&name, &limits, TimePoint::ZERO)
        .expect_err("over the rate");
    assert_eq!(refusal.retry_after, Duration::from_millis(500));
    let later = TimePoint::ZERO + refusal.retry_after;
    assert!(control.admit(&name, &limits, later).is_ok());
}

#[tokio::test]
async fn a_workspace_over_its_limit_is_refused_and_not_run() {
    let deployment = start(1).await;
    let mut documents = deployment.default_documents();
    for document in &mut documents {
        if let ConfigObject::Workspace(workspace) = document {
            workspace.limits.requests_per_second = 0.01;
        }
    }
    publish_config(&deployment.objects, ConfigGeneration(2), &documents).expect("encodes");
    let context = deployment.hosts["host"].context().clone();
    eventually("the change is adopted", || {
        context.image.load().generation.0 == 2
    })
    .await;
    assert_eq!(chat(&deployment, "boots", &[]).await.status, 200);
    let refused = chat(&deployment, "boots", &[]).await;
    assert_eq!(refused.status, 429);
    assert_eq!(refused.json()["run"], "not_run");
    assert!(refused.header("retry-after").is_some());
    eventually("nothing is left in flight", || {
        context.request_registry.is_empty()
    })
    .await;
}

#[test]
fn a_full_queue_keeps_the_share_of_each_workspace() {
    let mut queue = AdmissionQueue::new(4);
    for ticket in 0..4 {
        queue.push(entry(ticket, "large", RequestPriority::High));
    }
    let shed: Vec<QueueVerdict> = (4..7)
        .map(|ticket| queue.push(entry(ticket, "small", RequestPriority::Low)))
        .collect();
    assert_eq!(shed[0], QueueVerdict::Displaced(QueueTicket(3)));
    assert_eq!(shed[1], QueueVerdict::Displaced(QueueTicket(2)));
    assert_eq!(shed[2], QueueVerdict::Rejected);
}

#[test]
fn a_request_that_found_no_server_is_refunded() {
    let mut queue = AdmissionQueue::new(10);
    queue.push(entry(1, "a", RequestPriority::Normal));
    queue.push(entry(2, "b", RequestPriority::Normal));
    let popped = queue.pop(&"consejero".into(), TimePoint::ZERO);
    let popped = popped.expect("a request waits");
    assert_eq!(popped.workspace.as_str(), "a");
    queue.refund(&popped);
    queue.push(popped);
    assert_eq!(pop(&mut queue).as_deref(), Some("a"));
}
