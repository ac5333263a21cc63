//! Roll-outs advance by their lease holder alone, and end as the evidence or operators say.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use galenamast::coordination::rollout_step::step_change;
use galenamast::coordination::{ChangeRefusal, ConfigChange, ConfigObject, RolloutStep};
use galenamast::state::{
    ConfigImage, ModelSpec, PoolSpec, RolloutPhase, RolloutSpec, VersionSpec, VersionStage,
};

use galenamast::transport::{
    ConfigWriter, HttpClient, ManualClock, ObjectClient, RolloutRunner, RolloutSources,
    TimerService,
};
use galenamast_fakes::FakeObjects;
use galenamast_testbed::load_config;

/// What a host sees, which tests change.
struct Sight {
    image: Mutex<Arc<ConfigImage>>,
    holds: AtomicBool,
    braked: AtomicBool,
    capacity: AtomicBool,
    ratings: AtomicU64,
}

/// A platform with a configuration, and one host.
struct Bench {
    objects: FakeObjects,
    client: ObjectClient,
    writer: Arc<ConfigWriter>,
    clock: ManualClock,
    timers: TimerService,
    sight: Arc<Sight>,
}

fn rollout() -> RolloutSpec {
    RolloutSpec {
        name: "r".into(),
        model: "fit".into(),
        candidate: "v2".into(),
        baseline: "v1".into(),
        step_shares: vec![10, 100, 1_000],
        min_ratings: 5,
        min_step_time: Duration::from_secs(60),
        ..Default::default()
    }
}

fn model(baseline: VersionStage, candidate: VersionStage) -> ModelSpec {
    let version = |stage| VersionSpec {
        pool: "advice".into(),
        stage,
        ..Default::default()
    };
    ModelSpec {
        name: "fit".into(),
        versions: [
            ("v1".into(), version(baseline)),
            ("v2".into(), version(candidate)),
            ("v3".into(), version(VersionStage::RollingOut)),
        ]
        .into(),
    }
}

impl Bench {
    async fn new() -> Self {
        let objects = FakeObjects::start().await;
        let client = ObjectClient::new(
            HttpClient::new(),
            objects.address(),
            Duration::from_millis(400),
        );
        let writer = Arc::new(ConfigWriter::new(&client, TimerService::system()));
        let (timers, clock) = TimerService::manual();
        let sight = Arc::new(Sight {
            image: Mutex::default(),
            holds: AtomicBool::new(true),
            braked: AtomicBool::new(false),
            capacity: AtomicBool::new(true),
            ratings: AtomicU64::new(0),
        });
        let bench = Self {
            objects,
            client,
            writer,
            clock,
            timers,
            sight,
        };
        let pool = PoolSpec {
            name: "advice".into(),
            ..Default::default()
        };
        let model = model(VersionStage::Established, VersionStage::RollingOut);
        let puts = [
            ConfigObject::Pool(pool),
            ConfigObject::Model(model),
            ConfigObject::Rollout(rollout()),
        ];
        bench.operator("start", puts).await;
        bench
    }

    /// Makes a change as an operator, and lets the host see it.
    async fn operator(&self, change_id: &str, puts: impl Into<Vec<ConfigObject>>) {
        let change = ConfigChange {
            change_id: change_id.into(),
            puts: puts.into(),
            ..Default::default()
        };
        self.writer
            .apply(&change, false)
            .await
            .expect("the change is accepted");
        self.refresh().await;
    }

    async fn load(&self) -> ConfigImage {
        let image = load_config(&self.client)
            .await
            .expect("the platform answers");
        image.expect("there is a configuration")
    }

    /// Lets the host see the configuration in force.
    async fn refresh(&self) {
        *self.sight.image.lock().expect("no holder panics") = Arc::new(self.load().await);
    }

    fn runner(&self) -> RolloutRunner {
        let [image, lease, brake, ratings, capacity] = [(); 5].map(|()| self.sight.clone());
        let writer = self.writer.clone();
        let sources = RolloutSources {
            image: Arc::new(move || image.image.lock().expect("no holder panics").clone()),
            holds_lease: Arc::new(move |_| lease.holds.load(Ordering::SeqCst)),
            is_braked: Arc::new(move |_| brake.braked.load(Ordering::SeqCst)),
            ratings: Arc::new(move |_| ratings.ratings.load(Ordering::SeqCst)),
            has_capacity: Arc::new(move |_| capacity.capacity.load(Ordering::SeqCst)),
            apply: Arc::new(move |change| {
                let writer = writer.clone();
                Box::pin(async move { writer.apply(&change, false).await })
            }),
        };
        RolloutRunner::new("entry-1".into(), self.timers.clone(), sources)
    }

    /// Makes one pass and returns its steps.
    async fn pass(&self, runner: &mut RolloutRunner) -> Vec<RolloutStep> {
        let steps = runner.pass().await;
        steps.into_iter().map(|(_, step)| step).collect()
    }

    /// Lets the time and the ratings of a step pass.
    fn fulfil(&self) {
        self.clock.advance(Duration::from_secs(60));
        self.sight.ratings.fetch_add(5, Ordering::SeqCst);
    }

    /// Returns step, phase and the candidate's stage as the platform has them.
    async fn stored(&self) -> (u32, RolloutPhase, VersionStage) {
        let image = self.load().await;
        let rollout = &image.rollouts[&"r".into()];
        let stage = image.models[&"fit".into()].versions[&"v2".into()].stage;
        (rollout.step, rollout.phase, stage)
    }
}

#[tokio::test]
async fn steps_wait_for_time_ratings_and_capacity_and_end_established() {
    let bench = Bench::new().await;
    let mut runner = bench.runner();
    assert_eq!(bench.pass(&mut runner).await, []);
    bench.clock.advance(Duration::from_secs(60));
    assert_eq!(bench.pass(&mut runner).await, [], "without ratings");
    bench.sight.ratings.fetch_add(5, Ordering::SeqCst);
    bench.sight.capacity.store(false, Ordering::SeqCst);
    assert_eq!(bench.pass(&mut runner).await, [], "without capacity");
    bench.sight.capacity.store(true, Ordering::SeqCst);
    assert_eq!(bench.pass(&mut runner).await, [RolloutStep::Advance(1)]);
    bench.refresh().await;
    bench.sight.ratings.fetch_add(5, Ordering::SeqCst);
    assert_eq!(
        bench.pass(&mut runner).await,
        [],
        "before the time of the step"
    );
    bench.fulfil();
    assert_eq!(bench.pass(&mut runner).await, [RolloutStep::Advance(2)]);
    bench.refresh().await;
    assert_eq!(bench.pass(&mut runner).await, []);
    bench.fulfil();
    assert_eq!(bench.pass(&mut runner).await, [RolloutStep::Complete]);
    let end = (2, RolloutPhase::Completed, VersionStage::Established);
    assert_eq!(bench.stored().await, end);
}

#[tokio::test]
async fn a_brake_withdraws_the_candidate() {
    let bench = Bench::new().await;
    let mut runner = bench.runner();
    bench.sight.braked.store(true, Ordering::SeqCst);
    assert_eq!(bench.pass(&mut runner).await, [RolloutStep::Brake]);
    let end = (0, RolloutPhase::Braked, VersionStage::Withdrawn);
    assert_eq!(bench.stored().await, end);
    bench.refresh().await;
    bench.fulfil();
    assert_eq!(
        bench.pass(&mut runner).await,
        [],
        "a braked roll-out stays so"
    );
}

#[tokio::test]
async fn operators_end_and_halt_roll_outs() {
    let withdrawn = VersionStage::Withdrawn;
    let newer = RolloutSpec {
        name: "s".into(),
        candidate: "v3".into(),
        supersedes: Some("r".into()),
        phase: RolloutPhase::Paused,
        ..rollout()
    };
    let cases = [
        (
            ConfigObject::Model(model(withdrawn, VersionStage::RollingOut)),
            RolloutStep::PauseWithoutBaseline,
            RolloutPhase::Paused,
        ),
        (
            ConfigObject::Model(model(VersionStage::Established, withdrawn)),
            RolloutStep::AbortWithdrawn,
            RolloutPhase::Aborted,
        ),
        (
            ConfigObject::Rollout(newer),
            RolloutStep::AbortSuperseded,
            RolloutPhase::Aborted,
        ),
    ];
    for (object, step, phase) in cases {
        let bench = Bench::new().await;
        bench.operator("change", [object]).await;
        let mut runner = bench.runner();
        assert_eq!(bench.pass(&mut runner).await, [step]);
        assert_eq!(bench.stored().await.1, phase);
        bench.refresh().await;
        bench.fulfil();
        assert_eq!(bench.pass(&mut runner).await, [], "after {step:?}");
    }
}

#[tokio::test]
async fn a_halted_roll_out_resumes_where_it_was() {
    let bench = Bench::new().await;
    let mut runner = bench.runner();
    bench.pass(&mut runner).await;
    bench.fulfil();
    bench.pass(&mut runner).await;
    let halted = RolloutSpec {
        step: 1,
        phase: RolloutPhase::Paused,
        ..rollout()
    };
    bench
        .operator("halt", [ConfigObject::Rollout(halted.clone())])
        .await;
    bench.fulfil();
    assert_eq!(bench.pass(&mut runner).await, []);
    let resumed = RolloutSpec {
        phase: RolloutPhase::Running,
        ..halted
    };
    bench
        .operator("resume", [ConfigObject::Rollout(resumed)])
        .await;
    assert_eq!(
        bench.pass(&mut runner).await,
        [],
        "the time of the step starts again"
    );
    bench.fulfil();
    assert_eq!(bench.pass(&mut runner).await, [RolloutStep::Advance(2)]);
}

#[tokio::test]
async fn without_the_lease_nothing_is_done_and_a_new_holder_counts_anew() {
    let bench = Bench::new().await;
    let mut runner = bench.runner();
    bench.pass(&mut runner).await;
    bench.sight.holds.store(false, Ordering::SeqCst);
    bench.sight.braked.store(true, Ordering::SeqCst);
    bench.fulfil();
    assert_eq!(bench.pass(&mut runner).await, []);
    bench.sight.braked.store(false, Ordering::SeqCst);
    bench.sight.holds.store(true, Ordering::SeqCst);
    assert_eq!(bench.pass(&mut runner).await, []);
    bench.fulfil();
    assert_eq!(bench.pass(&mut runner).await, [RolloutStep::Advance(1)]);
}

#[tokio::test]
async fn without_the_platform_nothing_advances() {
    let bench = Bench::new().await;
    let mut runner = bench.runner();
    bench.pass(&mut runner).await;
    bench.fulfil();
    bench.objects.faults().set(|plan| plan.refuse = true);
    assert_eq!(bench.pass(&mut runner).await, []);
    bench.objects.faults().set(|plan| plan.refuse = false);
    let advanced = async {
        while bench.pass(&mut runner).await != [RolloutStep::Advance(1)] {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    advanced.await;
    assert_eq!(bench.stored().await.0, 1);
}

#[tokio::test]
async fn a_lost_answer_advances_once() {
    let bench = Bench::new().await;
    let mut runner = bench.runner();
    bench.pass(&mut runner).await;
    bench.fulfil();
    let before = bench.load().await.generation;
    bench.objects.faults().set(|plan| plan.lose_answers = 4);
    bench.pass(&mut runner).await;
    bench.objects.faults().set(|plan| plan.lose_answers = 0);
    // The host has not seen the new generation, and repeats the step.
    bench.pass(&mut runner).await;
    assert_eq!(bench.load().await.generation, before.next());
    assert_eq!(bench.stored().await.0, 1);
}

#[tokio::test]
async fn a_paused_holder_cannot_undo_what_the_new_holder_did() {
    let bench = Bench::new().await;
    let mut paused = bench.runner();
    bench.pass(&mut paused).await;
    bench.fulfil();
    let stale = bench.load().await;
    let braked = step_change(&stale, &"r".into(), RolloutStep::Brake, &"new".into());
    let braked = braked.expect("the roll-out exists");
    bench
        .writer
        .apply(&braked, false)
        .await
        .expect("the new holder brakes");
    // The paused holder still sees the old configuration and believes that it holds the lease.
    assert_eq!(bench.pass(&mut paused).await, []);
    let end = (0, RolloutPhase::Braked, VersionStage::Withdrawn);
    assert_eq!(bench.stored().await, end);
    let late = step_change(
        &stale,
        &"r".into(),
        RolloutStep::Advance(1),
        &"paused".into(),
    );
    let mut late = late.expect("the roll-out exists");
    let refused = bench.writer.apply(&late, false).await;
    assert!(
        matches!(refused, Err(ChangeRefusal::Overtaken { .. })),
        "{refused:?}"
    );
    // Without the condition the same change undoes the brake.
    late.based_on = None;
    bench
        .writer
        .apply(&late, false)
        .await
        .expect("nothing holds it back");
    assert_eq!(bench.stored().await.1, RolloutPhase::Running);
}
