//! Only the lease holder advances a roll-out, and evidence or operators end it.

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

/// The state that a host observes; tests change it.
struct HostView {
    image: Mutex<Arc<ConfigImage>>,
    holds_lease: AtomicBool,
    braked: AtomicBool,
    capacity: AtomicBool,
    ratings: AtomicU64,
}

/// A platform with a configuration, and the view of one host.
struct Fixture {
    objects: FakeObjects,
    client: ObjectClient,
    writer: Arc<ConfigWriter>,
    clock: ManualClock,
    timers: TimerService,
    view: Arc<HostView>,
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

impl Fixture {
    async fn new() -> Self {
        let objects = FakeObjects::start().await;
        let client = ObjectClient::new(
            HttpClient::new(),
            objects.address(),
            Duration::from_millis(400),
        );
        let writer = Arc::new(ConfigWriter::new(&client, TimerService::system()));
        let (timers, clock) = TimerService::manual();
        let view = Arc::new(HostView {
            image: Mutex::default(),
            holds_lease: AtomicBool::new(true),
            braked: AtomicBool::new(false),
            capacity: AtomicBool::new(true),
            ratings: AtomicU64::new(0),
        });
        let fixture = Self {
            objects,
            client,
            writer,
            clock,
            timers,
            view,
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
        fixture.apply_as_operator("start", puts).await;
        fixture
    }

    /// Applies a change as an operator and refreshes the host's view.
    async fn apply_as_operator(&self, change_id: &str, puts: impl Into<Vec<ConfigObject>>) {
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

    /// Sets the host's view to the stored configuration.
    async fn refresh(&self) {
        *self
            .view
            .image
            .lock()
            .expect("no holder of the lock panics") = Arc::new(self.load().await);
    }

    fn runner(&self) -> RolloutRunner {
        let [image, lease, brake, ratings, capacity] = [(); 5].map(|()| self.view.clone());
        let writer = self.writer.clone();
        let sources = RolloutSources {
            image: Arc::new(move || {
                image
                    .image
                    .lock()
                    .expect("no holder of the lock panics")
                    .clone()
            }),
            holds_lease: Arc::new(move |_| lease.holds_lease.load(Ordering::SeqCst)),
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

    /// Runs one pass and returns its steps.
    async fn pass(&self, runner: &mut RolloutRunner) -> Vec<RolloutStep> {
        let steps = runner.pass().await;
        steps.into_iter().map(|(_, step)| step).collect()
    }

    /// Advances the clock and the ratings by what a step needs.
    fn meet_step_conditions(&self) {
        self.clock.advance(Duration::from_secs(60));
        self.view.ratings.fetch_add(5, Ordering::SeqCst);
    }

    /// Returns the step, the phase and the candidate's stage as stored on the platform.
    async fn stored(&self) -> (u32, RolloutPhase, VersionStage) {
        let image = self.load().await;
        let rollout = &image.rollouts[&"r".into()];
        let stage = image.models[&"fit".into()].versions[&"v2".into()].stage;
        (rollout.step, rollout.phase, stage)
    }
}

#[tokio::test]
async fn a_roll_out_waits_for_time_ratings_and_capacity_and_ends_established() {
    let fixture = Fixture::new().await;
    let mut runner = fixture.runner();
    assert_eq!(fixture.pass(&mut runner).await, []);
    fixture.clock.advance(Duration::from_secs(60));
    assert_eq!(fixture.pass(&mut runner).await, [], "without ratings");
    fixture.view.ratings.fetch_add(5, Ordering::SeqCst);
    fixture.view.capacity.store(false, Ordering::SeqCst);
    assert_eq!(fixture.pass(&mut runner).await, [], "without capacity");
    fixture.view.capacity.store(true, Ordering::SeqCst);
    assert_eq!(fixture.pass(&mut runner).await, [RolloutStep::Advance(1)]);
    fixture.refresh().await;
    fixture.view.ratings.fetch_add(5, Ordering::SeqCst);
    assert_eq!(
        fixture.pass(&mut runner).await,
        [],
        "before the time of the step"
    );
    fixture.meet_step_conditions();
    assert_eq!(fixture.pass(&mut runner).await, [RolloutStep::Advance(2)]);
    fixture.refresh().await;
    assert_eq!(fixture.pass(&mut runner).await, []);
    fixture.meet_step_conditions();
    assert_eq!(fixture.pass(&mut runner).await, [RolloutStep::Complete]);
    let end = (2, RolloutPhase::Completed, VersionStage::Established);
    assert_eq!(fixture.stored().await, end);
}

#[tokio::test]
async fn a_brake_withdraws_the_candidate() {
    let fixture = Fixture::new().await;
    let mut runner = fixture.runner();
    fixture.view.braked.store(true, Ordering::SeqCst);
    assert_eq!(fixture.pass(&mut runner).await, [RolloutStep::Brake]);
    let end = (0, RolloutPhase::Braked, VersionStage::Withdrawn);
    assert_eq!(fixture.stored().await, end);
    fixture.refresh().await;
    fixture.meet_step_conditions();
    assert_eq!(
        fixture.pass(&mut runner).await,
        [],
        "a braked roll-out stays braked"
    );
}

#[tokio::test]
async fn changes_of_operators_abort_or_pause_roll_outs() {
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
        let fixture = Fixture::new().await;
        fixture.apply_as_operator("change", [object]).await;
        let mut runner = fixture.runner();
        assert_eq!(fixture.pass(&mut runner).await, [step]);
        assert_eq!(fixture.stored().await.1, phase);
        fixture.refresh().await;
        fixture.meet_step_conditions();
        assert_eq!(fixture.pass(&mut runner).await, [], "after {step:?}");
    }
}

#[tokio::test]
async fn a_paused_roll_out_resumes_at_its_step() {
    let fixture = Fixture::new().await;
    let mut runner = fixture.runner();
    fixture.pass(&mut runner).await;
    fixture.meet_step_conditions();
    fixture.pass(&mut runner).await;
    let paused_rollout = RolloutSpec {
        step: 1,
        phase: RolloutPhase::Paused,
        ..rollout()
    };
    fixture
        .apply_as_operator("halt", [ConfigObject::Rollout(paused_rollout.clone())])
        .await;
    fixture.meet_step_conditions();
    assert_eq!(fixture.pass(&mut runner).await, []);
    let resumed = RolloutSpec {
        phase: RolloutPhase::Running,
        ..paused_rollout
    };
    fixture
        .apply_as_operator("resume", [ConfigObject::Rollout(resumed)])
        .await;
    assert_eq!(
        fixture.pass(&mut runner).await,
        [],
        "the time of the step starts anew"
    );
    fixture.meet_step_conditions();
    assert_eq!(fixture.pass(&mut runner).await, [RolloutStep::Advance(2)]);
}

#[tokio::test]
async fn without_the_lease_a_host_does_nothing_and_a_new_holder_restarts_the_step() {
    let fixture = Fixture::new().await;
    let mut runner = fixture.runner();
    fixture.pass(&mut runner).await;
    fixture.view.holds_lease.store(false, Ordering::SeqCst);
    fixture.view.braked.store(true, Ordering::SeqCst);
    fixture.meet_step_conditions();
    assert_eq!(fixture.pass(&mut runner).await, []);
    fixture.view.braked.store(false, Ordering::SeqCst);
    fixture.view.holds_lease.store(true, Ordering::SeqCst);
    assert_eq!(fixture.pass(&mut runner).await, []);
    fixture.meet_step_conditions();
    assert_eq!(fixture.pass(&mut runner).await, [RolloutStep::Advance(1)]);
}

#[tokio::test]
async fn without_the_platform_no_roll_out_advances() {
    let fixture = Fixture::new().await;
    let mut runner = fixture.runner();
    fixture.pass(&mut runner).await;
    fixture.meet_step_conditions();
    fixture.objects.faults().set(|plan| plan.refuse = true);
    assert_eq!(fixture.pass(&mut runner).await, []);
    fixture.objects.faults().set(|plan| plan.refuse = false);
    let advanced = async {
        while fixture.pass(&mut runner).await != [RolloutStep::Advance(1)] {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    advanced.await;
    assert_eq!(fixture.stored().await.0, 1);
}

#[tokio::test]
async fn a_step_whose_answer_is_lost_is_applied_once() {
    let fixture = Fixture::new().await;
    let mut runner = fixture.runner();
    fixture.pass(&mut runner).await;
    fixture.meet_step_conditions();
    let before = fixture.load().await.generation;
    fixture.objects.faults().set(|plan| plan.lose_answers = 4);
    fixture.pass(&mut runner).await;
    fixture.objects.faults().set(|plan| plan.lose_answers = 0);
    // The host has not seen the new generation, and repeats the step.
    fixture.pass(&mut runner).await;
    assert_eq!(fixture.load().await.generation, before.next());
    assert_eq!(fixture.stored().await.0, 1);
}

#[tokio::test]
async fn a_paused_holder_cannot_undo_a_change_of_the_new_holder() {
    let fixture = Fixture::new().await;
    let mut paused = fixture.runner();
    fixture.pass(&mut paused).await;
    fixture.meet_step_conditions();
    let stale = fixture.load().await;
    let braked = step_change(&stale, &"r".into(), RolloutStep::Brake, &"new".into());
    let braked = braked.expect("the roll-out exists");
    fixture
        .writer
        .apply(&braked, false)
        .await
        .expect("the new holder brakes");
    // The paused holder still sees the old configuration and believes that it holds the lease.
    assert_eq!(fixture.pass(&mut paused).await, []);
    let end = (0, RolloutPhase::Braked, VersionStage::Withdrawn);
    assert_eq!(fixture.stored().await, end);
    let late_change = step_change(
        &stale,
        &"r".into(),
        RolloutStep::Advance(1),
        &"paused".into(),
    );
    let mut late_change = late_change.expect("the roll-out exists");
    let refused = fixture.writer.apply(&late_change, false).await;
    assert!(
        matches!(refused, Err(ChangeRefusal::Overtaken { .. })),
        "{refused:?}"
    );
    // Without the condition the same change undoes the brake.
    late_change.based_on = None;
    fixture
        .writer
        .apply(&late_change, false)
        .await
        .expect("the unconditional change is accepted");
    assert_eq!(fixture.stored().await.1, RolloutPhase::Running);
}
