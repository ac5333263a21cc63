//! Delivered answers are rated, and a braked version gets no new work.

use galenamast::coordination::{BRAKE_DURATION, BrakeNotice, TestVerdict};
use galenamast::state::{ConfigGeneration, VersionKey};
use galenamast::transport::quality_monitor::QualityEvent;

use crate::support::{chat, eventually, open_stream, read_stream, start};

#[tokio::test]
async fn whole_and_streamed_answers_are_rated() {
    let deployment = start(1).await;
    let context = deployment.hosts["host"].context().clone();
    let rated = || {
        let tables = context.tables.load();
        let digest = tables.quality.digest(context.timers.now());
        let counts = digest.entries.iter().map(|entry| entry.sums.rated);
        counts.sum::<u64>()
    };
    assert_eq!(chat(&deployment, "boots", &[]).await.status, 200);
    eventually("the whole answer is rated", || rated() >= 1).await;
    let before = rated();
    assert!(
        read_stream(open_stream(&deployment, "boots").await)
            .await
            .ended
    );
    eventually("the streamed answer is rated", || rated() > before).await;
}

#[tokio::test]
async fn a_braked_version_gets_no_new_work() {
    let deployment = start(1).await;
    let context = deployment.hosts["host"].context().clone();
    let version = VersionKey::new("advice", "large");
    let notice = BrakeNotice {
        version: version.clone(),
        generation: ConfigGeneration(1),
        origin: "other".into(),
        verdict: TestVerdict::WorseRatings,
        time_left: BRAKE_DURATION,
    };
    let sent = context
        .quality_events
        .send(QualityEvent::Brake(notice))
        .await;
    sent.expect("the quality monitor runs");
    eventually("the brake is in force", || {
        context.tables.load().brakes.contains_key(&version)
    })
    .await;
    let engine = deployment.engines.values().next().expect("one engine");
    let before = engine.runs().len();
    for _ in 0..10 {
        chat(&deployment, "boots", &[]).await;
    }
    let later = engine.runs().split_off(before);
    assert!(later.iter().all(|run| run.version == "advice@small"));
}
