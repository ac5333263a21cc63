//! Streamed answers: whole, truncated, repeated, crossed and abandoned.

use std::time::Duration;

use galenamast_testbed::Deployment;

use crate::support::{chat, engine_runs, eventually, open_stream, read_stream, start};

/// Text of a whole answer of the fake engines, without the stated quality.
const WHOLE_ANSWER: &str = "w0 w1 w2 w3 w4 w5 w6 w7 quality=";

/// Makes every engine truncate its next stream after some events.
fn truncate_all(deployment: &Deployment, events: u64, ignores_resume: bool) {
    for engine in deployment.engines.values() {
        engine.set_faults(|faults| {
            faults.truncate_after = Some(events);
            faults.truncations = 1;
            faults.ignores_resume = ignores_resume;
        });
    }
}

#[tokio::test]
async fn a_stream_arrives_whole() {
    let deployment = start(2).await;
    let response = open_stream(&deployment, "boots").await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    assert!(response.headers().contains_key("x-request-id"));
    assert_eq!(response.headers()["x-model"], "advice");
    let read = read_stream(response).await;
    assert!(read.ended && read.error.is_none(), "{read:?}");
    assert!(read.text.starts_with(WHOLE_ANSWER), "{read:?}");
    assert_eq!(read.indices, (0..=8).collect::<Vec<u64>>());
}

#[tokio::test]
async fn a_truncated_stream_is_resumed_after_its_last_event() {
    let deployment = start(1).await;
    truncate_all(&deployment, 3, false);
    let read = read_stream(open_stream(&deployment, "boots").await).await;
    assert!(
        read.ended && read.text.starts_with(WHOLE_ANSWER),
        "{read:?}"
    );
    let engine = deployment.engines.values().next().expect("one engine");
    let offsets: Vec<u64> = engine.runs().iter().map(|run| run.resume_from).collect();
    assert_eq!(offsets, [0, 3]);
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_ends_in_an_error() {
    let deployment = start(1).await;
    truncate_all(&deployment, 3, true);
    let read = read_stream(open_stream(&deployment, "boots").await).await;
    assert!(!read.ended, "{read:?}");
    let error = read.error.expect("an explicit error");
    assert_eq!(error["code"], "backend_failed");
    assert_eq!(error["run"], "run");
}

#[tokio::test]
async fn a_stream_truncated_before_its_first_event_is_retried_on_another_server() {
    let deployment = start(2).await;
    let first = deployment.engines.values().next().expect("two engines");
    first.set_faults(|faults| {
        faults.truncate_after = Some(0);
        faults.truncations = 1_000;
    });
    // A new workspace has retry tokens for this many requests.
    for _ in 0..5 {
        let read = read_stream(open_stream(&deployment, "boots").await).await;
        assert!(
            read.ended && read.text.starts_with(WHOLE_ANSWER),
            "{read:?}"
        );
    }
}

#[tokio::test]
async fn repeated_events_reach_the_caller_once() {
    let deployment = start(1).await;
    for engine in deployment.engines.values() {
        engine.set_faults(|faults| faults.repeat_events = true);
    }
    let read = read_stream(open_stream(&deployment, "boots").await).await;
    assert_eq!(read.indices, (0..=8).collect::<Vec<u64>>());
    assert!(read.ended, "{read:?}");
}

#[tokio::test]
async fn a_crossed_answer_is_never_delivered() {
    let deployment = start(2).await;
    for engine in deployment.engines.values() {
        engine.set_faults(|faults| faults.crossed_answers = 1_000);
    }
    let reply = chat(&deployment, "boots", &[]).await;
    assert_eq!(reply.status, 502);
    assert_eq!(reply.json()["run"], "outcome_unknown");
    let response = open_stream(&deployment, "boots").await;
    assert_eq!(response.status(), 502);
}

#[tokio::test]
async fn a_request_with_a_crossed_answer_is_retried() {
    let deployment = start(2).await;
    let first = deployment.engines.values().next().expect("two engines");
    first.set_faults(|faults| faults.crossed_answers = 1);
    for _ in 0..8 {
        let reply = chat(&deployment, "boots", &[]).await;
        assert_eq!(reply.status, 200);
        let id = reply.header("x-request-id").map(str::to_owned);
        assert_eq!(reply.json()["id"].as_str().map(str::to_owned), id);
    }
}

#[tokio::test]
async fn a_disconnecting_caller_frees_the_engine() {
    let deployment = start(1).await;
    let engine = deployment.engines.values().next().expect("one engine");
    engine.change(|options| {
        options.token_gap = Duration::from_millis(20);
        options.answer_tokens = 100_000;
    });
    let mut response = open_stream(&deployment, "boots").await;
    let data = response.body_mut().data().await;
    assert!(data.is_some_and(|data| data.is_ok()));
    drop(response);
    eventually("the engine stops the request", || engine.running() == 0).await;
    assert_eq!(engine.cancelled().len(), 1);
    assert_eq!(engine_runs(&deployment), 1);
}

#[tokio::test]
async fn a_stream_whose_server_crashes_ends_in_an_error() {
    let deployment = start(1).await;
    let engine = deployment.engines.values().next().expect("one engine");
    engine.change(|options| {
        options.token_gap = Duration::from_millis(5);
        options.answer_tokens = 100_000;
    });
    let mut response = open_stream(&deployment, "boots").await;
    let data = response.body_mut().data().await;
    assert!(data.is_some_and(|data| data.is_ok()));
    engine.kill();
    let read = read_stream(response).await;
    assert!(!read.ended);
    let error = read.error.expect("an explicit error");
    assert_eq!(error["run"], "run", "{error}");
}
