//! Brakes on versions: who takes no new work, until when, and why.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::version_test::TestVerdict;
use crate::state::{ConfigGeneration, ConfigImage, HostName, TimePoint, VersionKey, VersionStage};

/// Time for which a brake holds.
pub const BRAKE_DURATION: Duration = Duration::from_secs(1_800);

/// News that a version takes no new work, as entry hosts tell it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BrakeNotice {
    /// Version that is braked.
    pub version: VersionKey,
    /// Generation of the configuration that the evidence was gathered under.
    pub generation: ConfigGeneration,
    /// Entry host that found the evidence.
    pub origin: HostName,
    /// What the evidence says.
    pub verdict: TestVerdict,
    /// Time for which the brake still holds.
    pub time_left: Duration,
}

/// A brake with its expiry on this host.
#[derive(Clone, Debug, PartialEq)]
struct HeldBrake {
    note: BrakeNotice,
    expires_at: TimePoint,
}

/// Whether a version may be braked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrakeChoice {
    /// The version is braked.
    Brake,
    /// It is the last version that some workspace can use, so that only an alarm is raised.
    AlarmOnly,
}

/// Brakes that are known to an entry host.
#[derive(Clone, Debug, Default)]
pub struct BrakeTable {
    brakes: BTreeMap<VersionKey, HeldBrake>,
    released: BTreeMap<VersionKey, ConfigGeneration>,
}

impl BrakeTable {
    /// Takes in a note and returns whether it changed anything.
    ///
    /// A note from a newer generation supersedes an older one; of one generation the brake that
    /// holds longest counts. Notes from generations that were superseded do nothing.
    ///
    /// ```
    /// use galenamast::coordination::{BRAKE_TIME, BrakeBoard, BrakeNote, TestVerdict};
    /// use galenamast::state::{ConfigGeneration, TimePoint, VersionKey};
    ///
    /// let mut board = BrakeBoard::default();
    /// let note = BrakeNote {
    ///     version: VersionKey::new("fit", "v2"),
    ///     generation: ConfigGeneration(3),
    ///     origin: "host-1".into(),
    ///     verdict: TestVerdict::WorseRatings,
    ///     time_left: BRAKE_TIME,
    /// };
    /// assert!(board.apply(note.clone(), TimePoint::ZERO));
    /// assert!(!board.apply(note, TimePoint::ZERO));
    /// assert!(board.active(TimePoint::ZERO).contains_key(&VersionKey::new("fit", "v2")));
    /// assert!(board.active(TimePoint::ZERO + BRAKE_TIME).is_empty());
    /// ```
    pub fn apply(&mut self, note: BrakeNotice, now: TimePoint) -> bool {
        let released = self.released.get(&note.version);
        if released.is_some_and(|generation| note.generation < *generation) {
            return false;
        }
        let offered = HeldBrake {
            expires_at: now + note.time_left.min(BRAKE_DURATION),
            note,
        };
        let rank = |held: &HeldBrake| (held.note.generation, held.expires_at);
        let known = self.brakes.get(&offered.note.version);
        if known.is_some_and(|known| rank(known) >= rank(&offered)) {
            return false;
        }
        self.brakes.insert(offered.note.version.clone(), offered);
        true
    }

    /// Releases brakes on a version that rest on evidence from before a generation.
    pub fn supersede(&mut self, version: &VersionKey, generation: ConfigGeneration) {
        let released = self.released.entry(version.clone()).or_default();
        *released = generation.max(*released);
        let known = self.brakes.get(version);
        if known.is_some_and(|known| known.note.generation < generation) {
            self.brakes.remove(version);
        }
    }

    /// Returns the braked versions with the expiry of each, as routing tables hold them.
    pub fn active(&self, now: TimePoint) -> BTreeMap<VersionKey, TimePoint> {
        let held = self.brakes.iter().filter(|(_, held)| held.expires_at > now);
        held.map(|(version, held)| (version.clone(), held.expires_at))
            .collect()
    }

    /// Returns the notes to tell other hosts.
    pub fn notes(&self, now: TimePoint) -> Vec<BrakeNotice> {
        let held = self.brakes.values().filter(|held| held.expires_at > now);
        held.map(|held| BrakeNotice {
            time_left: held.expires_at.since(now),
            ..held.note.clone()
        })
        .collect()
    }

    /// Forgets brakes that have expired.
    pub fn expire(&mut self, now: TimePoint) {
        self.brakes.retain(|_, held| held.expires_at > now);
    }

    /// Decides whether a version may be braked; the last one of a workspace may not.
    pub fn choose(&self, version: &VersionKey, image: &ConfigImage, now: TimePoint) -> BrakeChoice {
        let takes_work = |key: &VersionKey| {
            let spec = image.version(key);
            let established = spec.is_some_and(|spec| spec.stage == VersionStage::Established);
            let braked = self.brakes.get(key);
            established && braked.is_none_or(|held| held.expires_at <= now)
        };
        let users = image
            .workspaces
            .values()
            .filter(|workspace| workspace.allows(version));
        for workspace in users {
            let others = workspace.allowed.iter().any(|(model, versions)| {
                versions.iter().any(|name| {
                    let key = VersionKey {
                        model: model.clone(),
                        version: name.clone(),
                    };
                    key != *version && takes_work(&key)
                })
            });
            if !others {
                return BrakeChoice::AlarmOnly;
            }
        }
        BrakeChoice::Brake
    }
}
