//! Hosts perform placement and roll-outs under leases, and take over from a host that stopped.

use std::net::SocketAddr;
use std::time::Duration;

use galenamast::config::Settings;
use galenamast::coordination::{ConfigChange, ConfigObject};
use galenamast::event_loop::EntryHost;
use galenamast::state::{
    ModelSpec, PoolSpec, RolloutPhase, RolloutSpec, VersionSpec, VersionStage,
};
use galenamast::transport::{ConfigWriter, HttpClient, ObjectClient, TimerService};
use galenamast_fakes::{FakeHosts, FakeObjects, FakeOrders, ListedHost, OrderOptions};

/// Greatest time that a test waits for a condition.
const MAX_WAIT: Duration = Duration::from_secs(120);

/// A platform, a host list and two engines.
struct Fixture {
    objects: FakeObjects,
    host_list: FakeHosts,
    engines: [FakeOrders; 2],
}

impl Fixture {
    async fn start() -> Self {
        let objects = FakeObjects::start().await;
        let host_list = FakeHosts::start().await;
        let engines = [
            FakeOrders::start(OrderOptions::default()).await,
            FakeOrders::start(OrderOptions::default()).await,
        ];
        host_list.publish(|hosts| {
            let listed = engines
                .iter()
                .enumerate()
                .map(|(index, engine)| ListedHost {
                    name: format!("engine-{index}"),
                    address: engine.address().to_string(),
                    domain: "cumbre".into(),
                    pool: "advice".into(),
                    incarnation: 0,
                    state: "live".into(),
                });
            hosts.extend(listed);
        });
        Self {
            objects,
            host_list,
            engines,
        }
    }

    async fn apply(&self, change_id: &str, puts: Vec<ConfigObject>) {
        let client = ObjectClient::new(
            HttpClient::new(),
            self.objects.address(),
            Duration::from_secs(20),
        );
        let writer = ConfigWriter::new(&client, TimerService::system());
        let change = ConfigChange {
            change_id: change_id.into(),
            puts,
            ..Default::default()
        };
        writer
            .apply(&change, false)
            .await
            .expect("the change is accepted");
    }

    async fn host(&self, name: &str) -> EntryHost {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut settings = Settings::default();
        settings.host.name = name.into();
        settings.host.domain = "cumbre".into();
        settings.callers.listen = any_port;
        settings.operators.listen = any_port;
        settings.peers.listen = any_port;
        settings.platform.objects = Some(self.objects.address());
        settings.platform.host_list = Some(self.host_list.address());
        settings.shutdown.balancer_lag = Duration::ZERO;
        EntryHost::start(settings).await.expect("the host starts")
    }

    /// Waits until some engine serves a version.
    async fn wait_until_served(&self, version: &str) {
        let served = || {
            let states = self.engines.iter().map(|engine| engine.orders().state());
            states
                .flat_map(|state| state.loaded)
                .any(|loaded| loaded.version == version)
        };
        eventually(version, served).await;
    }
}

async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, wait).await.expect(what);
}

fn model(candidate: Option<VersionStage>) -> ConfigObject {
    let version = |stage| VersionSpec {
        pool: "advice".into(),
        stage,
        ..Default::default()
    };
    let mut model = ModelSpec {
        name: "fit".into(),
        ..Default::default()
    };
    model
        .versions
        .insert("v1".into(), version(VersionStage::Established));
    if let Some(stage) = candidate {
        model.versions.insert("v2".into(), version(stage));
    }
    ConfigObject::Model(model)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_holder_continues_placement_and_roll_outs() {
    let fixture = Fixture::start().await;
    let pool = PoolSpec {
        name: "advice".into(),
        checks_fencing: true,
        ..Default::default()
    };
    fixture
        .apply("start", vec![ConfigObject::Pool(pool), model(None)])
        .await;
    let first = fixture.host("first").await;
    fixture.wait_until_served("v1").await;
    let second = fixture.host("second").await;
    first.stop().await;
    let rollout = RolloutSpec {
        name: "r".into(),
        model: "fit".into(),
        candidate: "v2".into(),
        baseline: "v1".into(),
        step_shares: vec![10, 1_000],
        min_ratings: 0,
        min_step_time: Duration::ZERO,
        ..Default::default()
    };
    let puts = vec![
        model(Some(VersionStage::RollingOut)),
        ConfigObject::Rollout(rollout),
    ];
    fixture.apply("roll-out", puts).await;
    fixture.wait_until_served("v2").await;
    let phase = || {
        let image = second.context().image.load();
        image.rollouts.get(&"r".into()).map(|rollout| rollout.phase)
    };
    eventually("the roll-out completes", || {
        phase() == Some(RolloutPhase::Completed)
    })
    .await;
    let terms: Vec<u64> = fixture
        .engines
        .iter()
        .flat_map(|engine| engine.orders().taken())
        .map(|order| order.term)
        .collect();
    let last = terms.iter().max().copied();
    assert!(
        last > terms.iter().min().copied(),
        "the new holder ordered in a later term: {terms:?}"
    );
    second.stop().await;
}
