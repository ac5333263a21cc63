//! A paused holder that acts does no harm, whether engines check fencing numbers or not.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use galenamast::coordination::VersionDemand;
use galenamast::state::{ConfigImage, PoolSpec, ServerRecord, VersionStage};
use galenamast::transport::{
    HttpClient, PassOutcome, PlacementRunner, PlacementRunnerSettings, PlacementSources,
    TimerService,
};
use galenamast_fakes::{
    EngineOrders, FakeOrders, FakeWeights, OrderOptions, OrderState, OrderedVersion, ReceivedOrder,
};

use crate::placement::image;

/// Passes after which a test gives up.
const MAX_PASSES: usize = 2_000;

/// Runs at one point of a pass of the old holder.
type PauseHook = Arc<dyn Fn() + Send + Sync>;

fn only(version: &str) -> ConfigImage {
    let stage = |name| {
        if name == version {
            VersionStage::Established
        } else {
            VersionStage::Withdrawn
        }
    };
    image(["v1", "v2", "v3"].map(stage), 1)
}

fn with_fencing(mut image: ConfigImage, checks_fencing: bool) -> ConfigImage {
    let pool = image.pools.values().next().expect("the image has a pool");
    let pool = PoolSpec {
        checks_fencing,
        ..PoolSpec::clone(pool)
    };
    image.pools.insert(pool.name.clone(), Arc::new(pool));
    image
}

fn record(name: &str, engine: &FakeOrders) -> ServerRecord {
    ServerRecord {
        name: name.into(),
        address: engine.address().to_string(),
        domain: "cumbre".into(),
        pool: "advice".into(),
        ..Default::default()
    }
}

/// Creates a holder of a term; the hooks run while it plans and after it has read its lease.
fn holder(
    term: u64,
    image: ConfigImage,
    records: Vec<ServerRecord>,
    while_planning: PauseHook,
    after_confirming: PauseHook,
) -> PlacementRunner {
    let settings = PlacementRunnerSettings {
        host: format!("holder-{term}").as_str().into(),
        domain: "cumbre".into(),
        ..Default::default()
    };
    let image = Arc::new(image);
    let sources = PlacementSources {
        image: Arc::new(move || image.clone()),
        servers: Arc::new(move || records.clone()),
        demand: Arc::new(move || {
            while_planning();
            VersionDemand::new()
        }),
        held_term: Arc::new(move || Some(term)),
        confirm_term: Arc::new(move |_| {
            after_confirming();
            Box::pin(async { Ok(true) })
        }),
    };
    PlacementRunner::new(HttpClient::new(), TimerService::system(), settings, sources)
}

fn no_pause() -> PauseHook {
    Arc::new(|| {})
}

/// A new holder takes over in this moment and orders `v2`.
fn takeover(orders: &Arc<EngineOrders>) -> PauseHook {
    let orders = orders.clone();
    Arc::new(move || {
        let versions = BTreeSet::from([OrderedVersion::new("fit", "v2")]);
        orders.take(ReceivedOrder {
            term: 2,
            holder: "holder-2".into(),
            versions,
        });
    })
}

fn served(state: &OrderState) -> Vec<&str> {
    state
        .loaded
        .iter()
        .map(|version| version.version.as_str())
        .collect()
}

fn ordered(orders: &EngineOrders) -> Vec<String> {
    orders
        .state()
        .ordered
        .into_iter()
        .map(|version| version.version)
        .collect()
}

/// Makes passes until an engine serves just these versions.
async fn pass_until(runner: &PlacementRunner, orders: &EngineOrders, versions: &[&str]) {
    for _ in 0..MAX_PASSES {
        runner.pass().await;
        if served(&orders.state()) == versions {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the engine serves {:?}, not {versions:?}", orders.state());
}

#[tokio::test]
async fn an_order_of_a_paused_holder_is_refused_by_a_checking_engine() {
    let engine = FakeOrders::start(OrderOptions::default()).await;
    let image = with_fencing(only("v1"), true);
    let hook = takeover(engine.orders());
    holder(1, image, vec![record("a", &engine)], hook, no_pause())
        .pass()
        .await;
    assert_eq!(ordered(engine.orders()), ["v2"]);
    assert_eq!(engine.orders().taken().len(), 1, "the late order was taken");
}

#[tokio::test]
async fn a_paused_holder_reads_again_before_it_orders_an_engine_that_ignores_fencing() {
    let options = OrderOptions {
        checks_fencing: false,
        ..Default::default()
    };
    let engine = FakeOrders::start(options).await;
    let image = with_fencing(only("v1"), false);
    let hook = takeover(engine.orders());
    holder(1, image, vec![record("a", &engine)], hook, no_pause())
        .pass()
        .await;
    assert_eq!(ordered(engine.orders()), ["v2"]);
    assert_eq!(engine.orders().taken().len(), 1, "the late order was given");
}

#[tokio::test]
async fn without_the_second_reading_the_late_order_is_taken() {
    let options = OrderOptions {
        checks_fencing: false,
        ..Default::default()
    };
    let engine = FakeOrders::start(options).await;
    // The configuration says wrongly that the engine checks, which switches the reading off.
    let image = with_fencing(only("v1"), true);
    let hook = takeover(engine.orders());
    holder(1, image, vec![record("a", &engine)], hook, no_pause())
        .pass()
        .await;
    assert_eq!(ordered(engine.orders()), ["v1"]);
}

#[tokio::test]
async fn an_order_that_slipped_through_is_corrected_by_the_new_holder() {
    let options = OrderOptions {
        checks_fencing: false,
        ..Default::default()
    };
    let engine = FakeOrders::start(options).await;
    let old_image = with_fencing(only("v1"), false);
    let records = vec![record("a", &engine)];
    // The old holder is paused between the reading of its lease and the order.
    let hook = takeover(engine.orders());
    holder(1, old_image, records.clone(), no_pause(), hook)
        .pass()
        .await;
    assert_eq!(
        ordered(engine.orders()),
        ["v1"],
        "the late order was to slip through"
    );
    let new_image = with_fencing(only("v2"), false);
    let new = holder(2, new_image, records, no_pause(), no_pause());
    pass_until(&new, engine.orders(), &["v2"]).await;
}

#[tokio::test]
async fn a_holder_that_meets_a_later_term_stops() {
    let engine = FakeOrders::start(OrderOptions::default()).await;
    takeover(engine.orders())();
    let image = with_fencing(only("v1"), true);
    let old = holder(1, image, vec![record("a", &engine)], no_pause(), no_pause());
    assert_eq!(old.pass().await, PassOutcome::Superseded);
}

#[tokio::test]
async fn engines_load_at_the_rate_of_the_weight_store_and_a_lost_one_is_replaced() {
    let weights = FakeWeights::start(1, Duration::from_millis(20)).await;
    let options = || OrderOptions {
        weights: Some(weights.limiter().clone()),
        ..Default::default()
    };
    let engines = [
        FakeOrders::start(options()).await,
        FakeOrders::start(options()).await,
    ];
    let mut records = vec![record("a", &engines[0]), record("b", &engines[1])];
    let image = with_fencing(only("v1"), true);
    let runner = holder(1, image.clone(), records.clone(), no_pause(), no_pause());
    let mut serving = Vec::new();
    for _ in 0..MAX_PASSES {
        runner.pass().await;
        serving = engines
            .iter()
            .filter(|engine| served(&engine.orders().state()) == ["v1"])
            .collect();
        if !serving.is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(serving.len(), 1);
    let lost = usize::from(serving[0].address() == engines[1].address());
    records[lost].lifecycle = galenamast::state::ServerLifecycle::Gone;
    let runner = holder(1, image, records, no_pause(), no_pause());
    pass_until(&runner, engines[1 - lost].orders(), &["v1"]).await;
}

#[tokio::test]
async fn a_lost_answer_of_an_engine_does_no_harm() {
    let engine = FakeOrders::start(OrderOptions::default()).await;
    engine.orders().faults().set(|plan| plan.lose_answers = 1);
    let image = with_fencing(only("v1"), true);
    let runner = holder(1, image, vec![record("a", &engine)], no_pause(), no_pause());
    let pass = tokio::time::timeout(Duration::from_millis(200), runner.pass());
    assert!(pass.await.is_err(), "the answer was to be lost");
    pass_until(&runner, engine.orders(), &["v1"]).await;
    assert_eq!(engine.orders().taken().len(), 1);
}
