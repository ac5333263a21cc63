//! Records each answer in the quality table and in the sequential tests, and brakes bad versions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::brake_table::{BRAKE_DURATION, BrakeChoice, BrakeNotice, BrakeTable};
use crate::coordination::evidence_update::EvidenceUpdate;
use crate::coordination::version_test::{
    Observation, TestArm, TestDigest, TestSettings, TestVerdict, VersionTest,
};
use crate::state::{
    ConfigGeneration, ConfigImage, LengthBucket, QualityCell, QualityObservation, QualityOrigin,
    QualityTable, RolloutPhase, RolloutSpec, TaskName, TimePoint, VersionKey,
};

/// Largest accepted loss of mean rating of a version against its own past.
const TOLERATED_DRIFT: f64 = 0.05;
/// Probability that a version that did not change is ever found worse than its own past.
const DRIFT_ALARM_RATE: f64 = 0.0001;

/// An answer of a version, with what is known about it so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RatedAnswer {
    /// Version that answered.
    pub version: VersionKey,
    /// Task of the request.
    pub task: TaskName,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Rating, from 0 to 1; `None` until it is known.
    pub rating: Option<f64>,
    /// Whether the attempt failed; `None` until it ended.
    pub failed: Option<bool>,
    /// Time until the whole answer was delivered; `None` until it ended.
    pub latency: Option<Duration>,
}

/// Evidence of one host on one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// Version under test.
    pub version: VersionKey,
    /// Version that it is compared with; `None` if it is compared with its own past.
    pub baseline: Option<VersionKey>,
    /// Evidence of all kinds.
    pub digest: TestDigest,
}

/// Action to take on a version with sufficient evidence against it.
#[derive(Clone, Debug, PartialEq)]
pub enum MonitorAction {
    /// Route no new work to the version and send the notice to the other hosts.
    Brake(BrakeNotice),
    /// Raise an alarm only, because the version is the last one that some workspace can use.
    Alarm(VersionKey, TestVerdict),
}

/// Sequential tests of all versions in use, and the brakes that result from them.
#[derive(Clone, Debug, Default)]
pub struct VersionMonitor {
    origin: QualityOrigin,
    tests: BTreeMap<(VersionKey, Option<VersionKey>), VersionTest>,
    restarted: BTreeMap<VersionKey, ConfigGeneration>,
    /// Brakes known to this host.
    pub brake_table: BrakeTable,
}

impl VersionMonitor {
    /// Creates the monitor of an entry host, without any evidence.
    pub fn new(origin: QualityOrigin) -> Self {
        Self {
            origin,
            ..Default::default()
        }
    }

    /// Records an answer in the quality table and the tests; returns the action to take, if any.
    ///
    /// A candidate's answer counts only in the test of its roll-out. Any other answer counts in the
    /// test of its version against its own past, and a baseline's also in the test of the roll-out.
    pub fn observe_answer(
        &mut self,
        answer: &RatedAnswer,
        table: &mut QualityTable,
        image: &ConfigImage,
        now: TimePoint,
    ) -> Option<MonitorAction> {
        observe_quality(answer, table, now);
        let observation = Observation {
            task: answer.task.clone(),
            rating: answer.rating,
            failed: answer.failed,
            latency: answer.latency,
        };
        for rollout in image.rollouts.values().filter(|rollout| is_tested(rollout)) {
            let (candidate, baseline) = rollout_keys(rollout);
            if answer.version == candidate {
                let verdict = self.observe(rollout, TestArm::Candidate, &observation, now);
                return self.act_on(&candidate, verdict, image, now);
            }
            if answer.version == baseline {
                self.observe(rollout, TestArm::Baseline, &observation, now);
            }
        }
        let verdict = self.observe_past(&answer.version, &observation, now);
        self.act_on(&answer.version, verdict, image, now)
    }

    /// Records an answer in the test of a roll-out.
    fn observe(
        &mut self,
        rollout: &RolloutSpec,
        arm: TestArm,
        observation: &Observation,
        now: TimePoint,
    ) -> TestVerdict {
        self.test_of(rollout, now).observe(arm, observation, now)
    }

    /// Returns the test of a roll-out, and creates it if there is none.
    fn test_of(&mut self, rollout: &RolloutSpec, now: TimePoint) -> &mut VersionTest {
        let (candidate, baseline) = rollout_keys(rollout);
        let settings = TestSettings {
            origin: self.origin.clone(),
            tolerated_loss: rollout.tolerated_loss,
            false_alarm_rate: rollout.false_alarm_rate,
            against_past: false,
        };
        let test = self.tests.entry((candidate, Some(baseline)));
        test.or_insert_with(|| VersionTest::new(settings, now))
    }

    /// Records an answer in the test of a version against its own past.
    fn observe_past(
        &mut self,
        version: &VersionKey,
        observation: &Observation,
        now: TimePoint,
    ) -> TestVerdict {
        let settings = past_settings(&self.origin);
        let test = self.tests.entry((version.clone(), None));
        let test = test.or_insert_with(|| VersionTest::new(settings, now));
        test.observe(TestArm::Candidate, observation, now)
    }

    /// Brakes a version on sufficient evidence, or raises an alarm if it may not be braked.
    ///
    /// Either way its tests start again without evidence.
    fn act_on(
        &mut self,
        version: &VersionKey,
        verdict: TestVerdict,
        image: &ConfigImage,
        now: TimePoint,
    ) -> Option<MonitorAction> {
        if verdict == TestVerdict::Undecided || self.brake_table.active(now).contains_key(version) {
            return None;
        }
        self.tests.retain(|(tested, _), _| tested != version);
        if self.brake_table.choose(version, image, now) == BrakeChoice::AlarmOnly {
            return Some(MonitorAction::Alarm(version.clone(), verdict));
        }
        let notice = BrakeNotice {
            version: version.clone(),
            generation: image.generation,
            origin: self.origin.host.clone(),
            verdict,
            time_left: BRAKE_DURATION,
        };
        self.brake_table.apply(notice.clone(), now);
        Some(MonitorAction::Brake(notice))
    }

    /// Returns the candidates of roll-outs with some evidence against them.
    pub fn suspects(&self) -> BTreeSet<VersionKey> {
        let suspected = self.tests.iter().filter(|((_, baseline), test)| {
            let rolled_out = baseline.is_some();
            rolled_out && test.is_suspect()
        });
        suspected.map(|((version, _), _)| version.clone()).collect()
    }

    /// Returns this host's evidence, to send to other hosts.
    pub fn evidence(&self) -> Vec<VersionEvidence> {
        let tests = self.tests.iter();
        tests
            .map(|((version, baseline), test)| VersionEvidence {
                version: version.clone(),
                baseline: baseline.clone(),
                digest: test.digest(),
            })
            .collect()
    }

    /// Merges evidence from another host; returns the action to take, if any.
    ///
    /// Evidence gathered before the version's tests were restarted is ignored.
    pub fn merge_update(
        &mut self,
        update: &EvidenceUpdate,
        image: &ConfigImage,
        now: TimePoint,
    ) -> Option<MonitorAction> {
        let restarted = self.restarted.get(&update.version);
        if update.origin == self.origin || restarted.is_some_and(|since| update.generation < *since)
        {
            return None;
        }
        let tested = image.rollouts.values().filter(|rollout| is_tested(rollout));
        for rollout in tested {
            let (candidate, baseline) = rollout_keys(rollout);
            if update.version == candidate && update.baseline.as_ref() == Some(&baseline) {
                self.test_of(rollout, now);
            }
        }
        self.merge_evidence(&update.unpack(), image, now)
    }

    /// Merges evidence into the test it belongs to; returns the action to take, if any.
    ///
    /// Evidence is ignored if this host has no such test.
    pub fn merge_evidence(
        &mut self,
        evidence: &VersionEvidence,
        image: &ConfigImage,
        now: TimePoint,
    ) -> Option<MonitorAction> {
        let key = (evidence.version.clone(), evidence.baseline.clone());
        let test = self.tests.get_mut(&key)?;
        let verdict = test.merge(&evidence.digest, now);
        self.act_on(&evidence.version, verdict, image, now)
    }

    /// Restarts the tests of candidates whose roll-out started, resumed or got another candidate.
    pub fn adopt_image(&mut self, before: &ConfigImage, after: &ConfigImage) {
        // A host that starts has no tests yet and must accept brakes of earlier generations.
        if before.generation == ConfigGeneration::default() {
            return;
        }
        for (name, rollout) in &after.rollouts {
            let known = before.rollouts.get(name);
            let restarted = known.is_none_or(|known| {
                known.candidate != rollout.candidate || known.phase != rollout.phase
            });
            if restarted && rollout.phase == RolloutPhase::Running {
                self.restart(&rollout_keys(rollout).0, after.generation);
            }
        }
    }

    /// Restarts the tests of a version and releases its earlier brakes.
    fn restart(&mut self, version: &VersionKey, generation: ConfigGeneration) {
        self.tests.retain(|(tested, _), _| tested != version);
        self.restarted.insert(version.clone(), generation);
        self.brake_table.supersede(version, generation);
    }

    /// Returns the number of compared candidate ratings and the natural logarithm of the evidence
    /// on ratings, or `None` if the roll-out has no test yet.
    pub fn progress(&self, rollout: &RolloutSpec) -> Option<(u64, f64)> {
        let (candidate, baseline) = rollout_keys(rollout);
        let test = self.tests.get(&(candidate, Some(baseline)))?;
        Some((test.compared_ratings(), test.log_evidence()))
    }
}

/// Adds an answer to the quality table.
pub fn observe_quality(answer: &RatedAnswer, table: &mut QualityTable, now: TimePoint) {
    let observation = QualityObservation {
        cell: QualityCell {
            version: answer.version.clone(),
            task: answer.task.clone(),
            length: LengthBucket::of_tokens(answer.prompt_tokens),
        },
        rating: answer.rating,
        latency: answer.latency,
    };
    table.observe(&observation, now);
}

/// Returns the settings of the test of a version against its own past.
fn past_settings(origin: &QualityOrigin) -> TestSettings {
    TestSettings {
        origin: origin.clone(),
        tolerated_loss: TOLERATED_DRIFT,
        false_alarm_rate: DRIFT_ALARM_RATE,
        against_past: true,
    }
}

/// Returns whether evidence is gathered for a roll-out in its current phase.
fn is_tested(rollout: &RolloutSpec) -> bool {
    matches!(rollout.phase, RolloutPhase::Running | RolloutPhase::Paused)
}

/// Returns the keys of a roll-out's candidate and baseline.
fn rollout_keys(rollout: &RolloutSpec) -> (VersionKey, VersionKey) {
    let key = |version: &crate::state::VersionName| VersionKey {
        model: rollout.model.clone(),
        version: version.clone(),
    };
    (key(&rollout.candidate), key(&rollout.baseline))
}
