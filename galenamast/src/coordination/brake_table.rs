//! Brakes on versions: which versions get no new work, until when, and why.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::version_test::TestVerdict;
use crate::state::{ConfigGeneration, ConfigImage, HostName, TimePoint, VersionKey, VersionStage};

/// Duration of a brake. Notices that state more time are capped to it.
pub const BRAKE_DURATION: Duration = Duration::from_secs(1_800);

/// Notice that a version gets no new work, as entry hosts send it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BrakeNotice {
    /// The braked version.
    pub version: VersionKey,
    /// Configuration generation under which the evidence was gathered.
    pub generation: ConfigGeneration,
    /// Entry host that found the evidence.
    pub origin: HostName,
    /// Why the version is braked.
    pub verdict: TestVerdict,
    /// Time until the brake expires.
    pub time_left: Duration,
}

/// A brake with its expiry on this host's clock.
#[derive(Clone, Debug, PartialEq)]
struct HeldBrake {
    notice: BrakeNotice,
    expires_at: TimePoint,
}

/// Whether a version may be braked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrakeChoice {
    /// The version may be braked.
    Brake,
    /// It is the last version that some workspace can use, so only an alarm is raised.
    AlarmOnly,
}

/// Brakes known to an entry host, and the generations before which they were released.
#[derive(Clone, Debug, Default)]
pub struct BrakeTable {
    brakes: BTreeMap<VersionKey, HeldBrake>,
    released: BTreeMap<VersionKey, ConfigGeneration>,
}

impl BrakeTable {
    /// Applies a notice and returns whether it changed anything.
    ///
    /// A notice from a newer generation replaces an older one. Within a generation, the brake that
    /// expires last wins. Notices from superseded generations are ignored.
    ///
    /// ```
    /// use galenamast::coordination::{BRAKE_DURATION, BrakeNotice, BrakeTable, TestVerdict};
    /// use galenamast::state::{ConfigGeneration, TimePoint, VersionKey};
    ///
    /// let mut brakes = BrakeTable::default();
    /// let notice = BrakeNotice {
    ///     version: VersionKey::new("fit", "v2"),
    ///     generation: ConfigGeneration(3),
    ///     origin: "host-1".into(),
    ///     verdict: TestVerdict::WorseRatings,
    ///     time_left: BRAKE_DURATION,
    /// };
    /// assert!(brakes.apply(notice.clone(), TimePoint::ZERO));
    /// assert!(!brakes.apply(notice, TimePoint::ZERO));
    /// assert!(brakes.active(TimePoint::ZERO).contains_key(&VersionKey::new("fit", "v2")));
    /// assert!(brakes.active(TimePoint::ZERO + BRAKE_DURATION).is_empty());
    /// ```
    pub fn apply(&mut self, notice: BrakeNotice, now: TimePoint) -> bool {
        let released = self.released.get(&notice.version);
        if released.is_some_and(|generation| notice.generation < *generation) {
            return false;
        }
        let offered = HeldBrake {
            expires_at: now + notice.time_left.min(BRAKE_DURATION),
            notice,
        };
        let rank = |held: &HeldBrake| (held.notice.generation, held.expires_at);
        let known = self.brakes.get(&offered.notice.version);
        if known.is_some_and(|known| rank(known) >= rank(&offered)) {
            return false;
        }
        self.brakes.insert(offered.notice.version.clone(), offered);
        true
    }

    /// Releases the brake on a version if its evidence predates a generation, and ignores such
    /// brakes from then on.
    pub fn supersede(&mut self, version: &VersionKey, generation: ConfigGeneration) {
        let released = self.released.entry(version.clone()).or_default();
        *released = generation.max(*released);
        let known = self.brakes.get(version);
        if known.is_some_and(|known| known.notice.generation < generation) {
            self.brakes.remove(version);
        }
    }

    /// Returns the braked versions with their expiry, in the form that routing tables hold.
    pub fn active(&self, now: TimePoint) -> BTreeMap<VersionKey, TimePoint> {
        let held = self.brakes.iter().filter(|(_, held)| held.expires_at > now);
        held.map(|(version, held)| (version.clone(), held.expires_at))
            .collect()
    }

    /// Returns the notices to send to other hosts.
    pub fn notes(&self, now: TimePoint) -> Vec<BrakeNotice> {
        let held = self.brakes.values().filter(|held| held.expires_at > now);
        held.map(|held| BrakeNotice {
            time_left: held.expires_at.since(now),
            ..held.notice.clone()
        })
        .collect()
    }

    /// Removes expired brakes.
    pub fn expire(&mut self, now: TimePoint) {
        self.brakes.retain(|_, held| held.expires_at > now);
    }

    /// Decides whether a version may be braked.
    ///
    /// Every workspace that may use the version must keep another established version without a
    /// brake.
    pub fn choose(&self, version: &VersionKey, image: &ConfigImage, now: TimePoint) -> BrakeChoice {
        let is_usable = |key: &VersionKey| {
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
                    key != *version && is_usable(&key)
                })
            });
            if !others {
                return BrakeChoice::AlarmOnly;
            }
        }
        BrakeChoice::Brake
    }
}
