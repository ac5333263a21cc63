//! Feeds each answer to the quality table and to the sequential tests.

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

/// Loss of mean rating against its own past that is accepted of an established version.
const TOLERATED_DRIFT: f64 = 0.05;
/// Chance that an established version that didn't change is ever found worse.
const DRIFT_ALARM_RATE: f64 = 0.0001;

/// An answer of a version with what is known of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RatedAnswer {
    /// Version that answered.
    pub version: VersionKey,
    /// Task of the request.
    pub task: TaskName,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Rating from 0 to 1, once it is known.
    pub rating: Option<f64>,
    /// Whether the attempt failed, once it ended.
    pub failed: Option<bool>,
    /// Latency of the whole answer, once it ended.
    pub latency: Option<Duration>,
}

/// Evidence of one host on one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// Version under test.
    pub version: VersionKey,
    /// Version that it is compared with; `None` for its own past.
    pub baseline: Option<VersionKey>,
    /// Evidence.
    pub digest: TestDigest,
}

/// What an entry host is to do about a version.
#[derive(Clone, Debug, PartialEq)]
pub enum MonitorAction {
    /// The version takes no new work; peers are told.
    Brake(BrakeNotice),
    /// The version is bad, but the last one that some workspace can use.
    Alarm(VersionKey, TestVerdict),
}

/// Sequential tests of all versions in use, and the brakes that follow from them.
#[derive(Clone, Debug, Default)]
pub struct VersionMonitor {
    origin: QualityOrigin,
    tests: BTreeMap<(VersionKey, Option<VersionKey>), VersionTest>,
    restarted: BTreeMap<VersionKey, ConfigGeneration>,
    /// Brakes known to this host.
    pub brake_table: BrakeTable,
}

impl VersionMonitor {
    /// Creates the tests of an entry host.
    pub fn new(origin: QualityOrigin) -> Self {
        Self {
            origin,
            ..Default::default()
        }
    }

    /// Feeds an answer to the quality table and the tests; returns what follows.
    pub fn observe_answer(
        &mut self,
        answer: &RatedAnswer,
        table: &mut QualityTable,
        image: &ConfigImage,
        now: TimePoint,
    ) -> Option<MonitorAction> {
        observe_quality(answer, table, now);
        let seen = Observation {
            task: answer.task.clone(),
            rating: answer.rating,
            failed: answer.failed,
            latency: answer.latency,
        };
        for rollout in image.rollouts.values().filter(|rollout| is_tested(rollout)) {
            let (candidate, baseline) = rollout_keys(rollout);
            if answer.version == candidate {
                let verdict = self.observe(rollout, TestArm::Candidate, &seen, now);
                return self.act_on(&candidate, verdict, image, now);
            }
            if answer.version == baseline {
                self.observe(rollout, TestArm::Baseline, &seen, now);
            }
        }
        let verdict = self.observe_past(&answer.version, &seen, now);
        self.act_on(&answer.version, verdict, image, now)
    }

    /// Feeds an answer to the test of a roll-out.
    fn observe(
        &mut self,
        rollout: &RolloutSpec,
        arm: TestArm,
        seen: &Observation,
        now: TimePoint,
    ) -> TestVerdict {
        self.test_of(rollout, now).observe(arm, seen, now)
    }

    /// Returns the test of a roll-out, a new one if there is none.
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

    /// Feeds an answer to the test of a version against its own past.
    fn observe_past(
        &mut self,
        version: &VersionKey,
        seen: &Observation,
        now: TimePoint,
    ) -> TestVerdict {
        let settings = past_settings(&self.origin);
        let test = self.tests.entry((version.clone(), None));
        let test = test.or_insert_with(|| VersionTest::new(settings, now));
        test.observe(TestArm::Candidate, seen, now)
    }

    /// Brakes a version on sufficient evidence, unless it is the last one.
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
        let note = BrakeNotice {
            version: version.clone(),
            generation: image.generation,
            origin: self.origin.host.clone(),
            verdict,
            time_left: BRAKE_DURATION,
        };
        self.brake_table.apply(note.clone(), now);
        Some(MonitorAction::Brake(note))
    }

    /// Returns the versions under roll-out that there is some evidence against.
    pub fn suspects(&self) -> BTreeSet<VersionKey> {
        let suspected = self.tests.iter().filter(|((_, baseline), test)| {
            let rolled_out = baseline.is_some();
            rolled_out && test.is_suspect()
        });
        suspected.map(|((version, _), _)| version.clone()).collect()
    }

    /// Returns this host's evidence, to tell other hosts.
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

    /// Merges the evidence of another host, unless it was gathered before the tests started anew.
    pub fn merge_update(
        &mut self,
        news: &EvidenceUpdate,
        image: &ConfigImage,
        now: TimePoint,
    ) -> Option<MonitorAction> {
        let restarted = self.restarted.get(&news.version);
        if news.origin == self.origin || restarted.is_some_and(|since| news.generation < *since) {
            return None;
        }
        let tested = image.rollouts.values().filter(|rollout| is_tested(rollout));
        for rollout in tested {
            let (candidate, baseline) = rollout_keys(rollout);
            if news.version == candidate && news.baseline.as_ref() == Some(&baseline) {
                self.test_of(rollout, now);
            }
        }
        self.merge_evidence(&news.unpack(), image, now)
    }

    /// Merges another host's evidence; returns what follows.
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

    /// Forgets tests and brakes that a new configuration superseded.
    pub fn adopt_image(&mut self, before: &ConfigImage, after: &ConfigImage) {
        // A host that starts has nothing to forget, and takes in brakes of earlier generations.
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

    /// Starts the tests of a version anew and releases its earlier brakes.
    fn restart(&mut self, version: &VersionKey, generation: ConfigGeneration) {
        self.tests.retain(|(tested, _), _| tested != version);
        self.restarted.insert(version.clone(), generation);
        self.brake_table.supersede(version, generation);
    }

    /// Returns the number of judged ratings and the logarithm of the evidence on ratings.
    pub fn progress(&self, rollout: &RolloutSpec) -> Option<(u64, f64)> {
        let (candidate, baseline) = rollout_keys(rollout);
        let test = self.tests.get(&(candidate, Some(baseline)))?;
        Some((test.judged_ratings(), test.log_evidence()))
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

/// Returns whether the evidence on a roll-out is gathered.
fn is_tested(rollout: &RolloutSpec) -> bool {
    matches!(rollout.phase, RolloutPhase::Running | RolloutPhase::Paused)
}

/// Returns the candidate and the baseline of a roll-out.
fn rollout_keys(rollout: &RolloutSpec) -> (VersionKey, VersionKey) {
    let key = |version: &crate::state::VersionName| VersionKey {
        model: rollout.model.clone(),
        version: version.clone(),
    };
    (key(&rollout.candidate), key(&rollout.baseline))
}
