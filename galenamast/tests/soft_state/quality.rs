//! Brakes, evidence and counts of rated answers reach every host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::config::Settings;
use galenamast::coordination::{
    ChangeReceipt, MonitorAction, QualityExchange, QualityUpdate, RatedAnswer, RatingCounter,
    RolloutStep, VersionMonitor,
};
use galenamast::event_loop::EntryHost;
use galenamast::state::{
    ConfigGeneration, ConfigImage, ModelSpec, QualityOrigin, QualityTable, RolloutPhase,
    RolloutSpec, TimePoint, VersionKey, VersionSpec, VersionStage,
};
use galenamast::transport::quality_monitor::QualityEvent;
use galenamast::transport::{RolloutRunner, RolloutSources};

/// Number of ratings that each step of the roll-out needs.
const MIN_RATINGS: u32 = 30;

fn image(generation: u64) -> ConfigImage {
    let version = |stage| VersionSpec {
        pool: "advice".into(),
        stage,
        ..Default::default()
    };
    let model = ModelSpec {
        name: "fit".into(),
        versions: [
            ("v1".into(), version(VersionStage::Established)),
            ("v2".into(), version(VersionStage::RollingOut)),
        ]
        .into(),
    };
    let rollout = RolloutSpec {
        name: "r".into(),
        model: "fit".into(),
        candidate: "v2".into(),
        baseline: "v1".into(),
        step_shares: vec![10, 100, 1_000],
        phase: RolloutPhase::Running,
        min_ratings: MIN_RATINGS,
        min_step_time: Duration::ZERO,
        ..Default::default()
    };
    ConfigImage {
        generation: ConfigGeneration(generation),
        models: [("fit".into(), Arc::new(model))].into(),
        rollouts: [("r".into(), Arc::new(rollout))].into(),
        ..Default::default()
    }
}

pub(crate) fn answer(version: &str, rating: f64) -> RatedAnswer {
    RatedAnswer {
        version: VersionKey::new("fit", version),
        task: "boots".into(),
        prompt_tokens: 100,
        rating: Some(rating),
        ..Default::default()
    }
}

/// The quality state of one host.
pub(crate) struct QualityHost {
    monitor: VersionMonitor,
    table: QualityTable,
    counter: RatingCounter,
    exchange: QualityExchange,
}

impl QualityHost {
    pub(crate) fn new(index: usize) -> Self {
        let origin = QualityOrigin {
            host: format!("host-{index}").as_str().into(),
            incarnation: 1,
        };
        Self {
            monitor: VersionMonitor::new(origin.clone()),
            table: QualityTable::new(origin.clone()),
            counter: RatingCounter::new(origin),
            exchange: QualityExchange::default(),
        }
    }

    pub(crate) fn observe(
        &mut self,
        answer: &RatedAnswer,
        now: TimePoint,
    ) -> Option<MonitorAction> {
        self.counter.count(&answer.version);
        self.monitor
            .observe_answer(answer, &mut self.table, &image(1), now)
    }

    fn publish(&mut self, generation: u64, now: TimePoint) -> Vec<QualityUpdate> {
        let generation = ConfigGeneration(generation);
        let (table, monitor, counter) = (&self.table, &self.monitor, &self.counter);
        self.exchange
            .round(table, monitor, counter, generation, 3, now)
    }

    /// Returns the updates that the host publishes in a fleet of `hosts` hosts.
    pub(crate) fn publish_in_fleet(&mut self, hosts: usize, now: TimePoint) -> Vec<QualityUpdate> {
        let (table, monitor, counter) = (&self.table, &self.monitor, &self.counter);
        let generation = ConfigGeneration(1);
        self.exchange
            .round(table, monitor, counter, generation, hosts, now)
    }

    fn receive(&mut self, updates: &[QualityUpdate], now: TimePoint) -> Vec<MonitorAction> {
        let mut actions = Vec::new();
        for update in updates {
            match update {
                QualityUpdate::Cells(digest) => self.table.merge(digest, now),
                QualityUpdate::Counts(counts) => self.counter.merge(counts),
                QualityUpdate::Evidence(evidence) => {
                    actions.extend(self.monitor.merge_update(evidence, &image(1), now));
                }
            }
        }
        actions
    }
}

/// Creates three hosts with a few bad answers each, too few for any of them to brake the version.
fn three_hosts_with_bad_answers() -> Vec<QualityHost> {
    let mut hosts: Vec<QualityHost> = (0..3).map(QualityHost::new).collect();
    for host in &mut hosts {
        for _ in 0..12 {
            let good = host.observe(&answer("v1", 0.9), TimePoint::ZERO);
            let bad = host.observe(&answer("v2", 0.2), TimePoint::ZERO);
            assert_eq!(
                (good, bad),
                (None, None),
                "no host has enough evidence alone"
            );
        }
    }
    hosts
}

#[test]
fn evidence_of_several_hosts_brakes_a_version_that_no_host_would_alone() {
    let now = TimePoint::from_millis(5_000);
    let mut hosts = three_hosts_with_bad_answers();
    let updates: Vec<_> = hosts.iter_mut().map(|host| host.publish(1, now)).collect();
    let mut last = hosts.pop().expect("three");
    let first = last.receive(&updates[0], now);
    assert!(first.is_empty(), "{first:?}");
    assert!(
        last.receive(&updates[0], now).is_empty(),
        "repeats add nothing"
    );
    let second = last.receive(&updates[1], now);
    assert!(
        matches!(&second[..], [MonitorAction::Brake(note)] if note.version.version == "v2".into())
    );
    // A host without answers of its own reaches the same verdict.
    let mut idle_host = QualityHost::new(7);
    let actions: Vec<_> = updates
        .iter()
        .flat_map(|updates| idle_host.receive(updates, now))
        .collect();
    assert!(
        matches!(&actions[..], [MonitorAction::Brake(_)]),
        "{actions:?}"
    );
}

#[test]
fn evidence_from_before_a_restart_of_the_tests_is_ignored() {
    let now = TimePoint::from_millis(5_000);
    let mut hosts = three_hosts_with_bad_answers();
    let updates: Vec<_> = hosts.iter_mut().map(|host| host.publish(1, now)).collect();
    let mut resumed = QualityHost::new(7);
    let mut paused = image(4);
    for rollout in paused.rollouts.values_mut() {
        Arc::make_mut(rollout).phase = RolloutPhase::Paused;
    }
    resumed.monitor.adopt_image(&paused, &image(5));
    for update in &updates {
        assert!(resumed.receive(update, now).is_empty());
    }
}

#[test]
fn only_changes_are_published_and_less_often_in_a_large_fleet() {
    let mut host = QualityHost::new(0);
    let mut now = TimePoint::from_millis(1_000);
    host.observe(&answer("v2", 0.5), now);
    assert!(!host.publish(1, now).is_empty());
    now = now + Duration::from_secs(60);
    assert!(host.publish(1, now).is_empty(), "nothing changed");
    let rounds = |hosts: usize| {
        let mut host = QualityHost::new(0);
        let mut rounds = 0;
        for second in 0..600 {
            let now = TimePoint::from_millis(second * 1_000);
            host.observe(&answer("v2", 0.5), now);
            let (table, monitor, counter) = (&host.table, &host.monitor, &host.counter);
            let updates =
                host.exchange
                    .round(table, monitor, counter, ConfigGeneration(1), hosts, now);
            rounds += usize::from(!updates.is_empty());
        }
        rounds
    };
    let (in_small_fleet, in_large_fleet) = (rounds(4), rounds(400));
    assert!(
        in_small_fleet > 20 * in_large_fleet && in_large_fleet > 0,
        "{in_small_fleet} and {in_large_fleet} rounds"
    );
}

#[test]
fn counts_from_before_the_start_of_a_host_do_not_advance_a_rollout() {
    let now = TimePoint::from_millis(1_000);
    let version = VersionKey::new("fit", "v2");
    let mut host = QualityHost::new(0);
    (0..500).for_each(|_| host.counter.count(&version));
    let mut new_host = QualityHost::new(1);
    new_host.receive(&host.publish(1, now), now);
    assert_eq!(new_host.counter.total(&version), 0);
    host.counter.count(&version);
    let later = now + Duration::from_secs(60);
    let updates = host.publish(1, later);
    new_host.receive(&updates, later);
    new_host.receive(&updates, later);
    assert_eq!(new_host.counter.total(&version), 1);
}

/// Starts hosts that know each other and use the configuration image.
async fn start_hosts(names: &[(&str, &str)]) -> Vec<EntryHost> {
    let mut hosts: Vec<EntryHost> = Vec::new();
    for (name, domain) in names {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut settings = Settings::default();
        settings.host.name = (*name).into();
        settings.host.domain = (*domain).into();
        settings.callers.listen = any_port;
        settings.operators.listen = any_port;
        settings.peers.listen = any_port;
        settings.peers.probe_period = Duration::from_millis(200);
        settings.shutdown.balancer_lag = Duration::ZERO;
        if let Some(first) = hosts.first() {
            let mesh = first.context().peers.get().expect("started");
            settings.peers.seeds = vec![mesh.address()];
        }
        let host = EntryHost::start(settings).await.expect("the host starts");
        host.context().image.store(Arc::new(image(1)));
        hosts.push(host);
    }
    wait_until("all hosts know each other", || {
        hosts.iter().all(|host| {
            let mesh = host.context().peers.get().expect("started");
            mesh.members().live_known() == names.len()
        })
    })
    .await;
    hosts
}

/// Waits until a condition holds; fails the test after 60 s.
async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(60), waiting).await;
    assert!(waited.is_ok(), "timed out waiting until {what}");
}

/// Feeds a rated answer to the quality monitor of a host.
async fn feed(host: &EntryHost, answer: RatedAnswer) {
    let sent = host
        .context()
        .quality_events
        .send(QualityEvent::Answer(answer))
        .await;
    sent.expect("the quality monitor runs");
}

const THREE_HOSTS: [(&str, &str); 3] = [
    ("cumbre-1", "cumbre"),
    ("cumbre-2", "cumbre"),
    ("bosque-1", "bosque"),
];

#[tokio::test]
async fn a_bad_version_seen_by_one_host_is_braked_on_all() {
    let hosts = start_hosts(&THREE_HOSTS).await;
    for _ in 0..100 {
        feed(&hosts[0], answer("v1", 0.9)).await;
        feed(&hosts[0], answer("v2", 0.2)).await;
    }
    let version = VersionKey::new("fit", "v2");
    wait_until("the brake is in force on all hosts", || {
        let braked = |host: &EntryHost| host.context().tables.load().brakes.contains_key(&version);
        hosts.iter().all(braked)
    })
    .await;
    let now = hosts[2].context().timers.now();
    wait_until("the quality is known in the other domain", || {
        let tables = hosts[2].context().tables.load();
        tables
            .quality
            .task_sums(&version, &"boots".into(), now)
            .is_some()
    })
    .await;
    // A host that starts after the brake was shared learns of it too.
    let mut settings = hosts[1].context().settings.clone();
    settings.host.name = "cumbre-3".into();
    let mesh = hosts[0].context().peers.get().expect("started");
    settings.peers.seeds = vec![mesh.address()];
    let late = EntryHost::start(settings).await.expect("the host starts");
    late.context().image.store(Arc::new(image(3)));
    wait_until("the brake is in force on the late host", || {
        let tables = late.context().tables.load();
        tables.brakes.contains_key(&version)
    })
    .await;
    late.stop().await;
    for host in hosts {
        host.stop().await;
    }
}

#[tokio::test]
async fn a_rollout_advances_on_the_ratings_of_all_hosts() {
    let hosts = start_hosts(&THREE_HOSTS).await;
    let holder = hosts[0].context().clone();
    let counted = holder.clone();
    let sources = RolloutSources {
        image: Arc::new(|| Arc::new(image(1))),
        holds_lease: Arc::new(|_| true),
        is_braked: Arc::new(|_| false),
        ratings: Arc::new(move |version| {
            let call = counted.rated_answers.load_full();
            call.map_or(0, |call| call(version))
        }),
        has_capacity: Arc::new(|_| true),
        apply: Arc::new(|change| {
            let receipt = ChangeReceipt {
                change_id: change.change_id,
                generation: ConfigGeneration(2),
                repeated: false,
                entries: Vec::new(),
            };
            Box::pin(std::future::ready(Ok(receipt)))
        }),
    };
    let mut runner = RolloutRunner::new("cumbre-1".into(), holder.timers.clone(), sources);
    // The holder of the lease sees far fewer answers than a step needs.
    for _ in 0..MIN_RATINGS / 5 {
        feed(&hosts[0], answer("v2", 0.9)).await;
    }
    let mut advanced = Vec::new();
    let advancing = async {
        while advanced.is_empty() {
            for host in &hosts[1..] {
                feed(host, answer("v2", 0.9)).await;
            }
            advanced = runner.pass().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let advancing = tokio::time::timeout(Duration::from_secs(60), advancing).await;
    assert!(advancing.is_ok(), "the roll-out never advanced");
    assert_eq!(advanced, [("r".into(), RolloutStep::Advance(1))]);
    for host in hosts {
        host.stop().await;
    }
}
