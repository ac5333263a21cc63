//! Tracks up to which revision of the store a host knows all changes, and how long ago that was
//! confirmed.
//!
//! Load pattern: hundreds of hosts follow the same objects of a store that charges for each call.
//! Watches that may return stale data are cheap, but prove nothing. One host of each failure domain
//! therefore confirms its knowledge by a call that may not return stale data, and reports to the
//! others up to which revision it knows all changes; a host that knows as much is confirmed too. A
//! host that hears no report, or one that is ahead of it, calls the store itself, so that the bounds
//! hold without any report.
//!
//! After the store returned from an older copy nothing counts as known until each kind was listed in
//! the new era; a report of an earlier era confirms nothing, and one of a later era is only a reason
//! to ask the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::state::{FollowedKind, FreshnessReport, StorePosition};

/// Largest number of known revisions above a gap; beyond it, the lowest are dropped, and the next
/// confirmation reads each kind.
const MAX_REVISIONS_ABOVE_GAP: usize = 4_096;

/// Parts of a bound on applying changes between which the hosts of a failure domain confirm their
/// knowledge; the remainder is for reading what changed.
const CONFIRM_AGE_PARTS: (f64, f64) = (0.55, 0.8);
/// Part of the bound that separates two reads of a kind that reports of other hosts cause.
const READ_PAUSE_PART: f64 = 0.2;

/// Settings of confirmations.
#[derive(Clone, Debug, PartialEq)]
pub struct FreshnessSettings {
    /// Age of the last confirmation from which this host confirms its knowledge itself. It differs
    /// between hosts, so that usually one host of a failure domain calls the store.
    pub confirm_age: Duration,
    /// Shortest pause between two reads of a kind that reports of other hosts cause.
    pub min_read_pause: Duration,
    /// Kinds that the host follows, in the order in which hosts report them.
    pub kinds: Vec<FollowedKind>,
}

impl FreshnessSettings {
    /// Returns the settings of a host that must apply changes within `bound`. `rank` is from 0 to 1
    /// and differs between hosts; the host of the lowest rank usually confirms for all.
    pub fn new(bound: Duration, rank: f64) -> Self {
        let (first, last) = CONFIRM_AGE_PARTS;
        Self {
            confirm_age: bound.mul_f64(first + (last - first) * rank.clamp(0.0, 1.0)),
            min_read_pause: bound.mul_f64(READ_PAUSE_PART),
            kinds: FollowedKind::ALWAYS.to_vec(),
        }
    }
}

/// What a host knows of one kind of objects.
#[derive(Clone, Copy, Debug, Default)]
struct KindProgress {
    /// Revision of the store up to which all changes of the kind are applied.
    complete: StorePosition,
    /// Revision after which the kind has not changed, up to `complete`.
    changed: StorePosition,
    /// Latest change that another host reported and this one does not know.
    reported: Option<StorePosition>,
    /// When that host's knowledge was confirmed.
    reported_at: TimePoint,
    confirmed_at: Option<TimePoint>,
    read_at: Option<TimePoint>,
}

impl KindProgress {
    /// Records that all changes up to a revision are known, which may be what another host reported.
    fn complete_to(&mut self, revision: StorePosition) {
        self.complete = self.complete.max(revision);
        if self
            .reported
            .is_some_and(|reported| self.complete >= reported)
        {
            self.reported = None;
            self.confirmed_at = self.confirmed_at.max(Some(self.reported_at));
        }
    }
}

/// Tracks up to which revision a host knows all changes of the store.
#[derive(Clone, Debug)]
pub struct StoreFreshness {
    settings: FreshnessSettings,
    kinds: BTreeMap<FollowedKind, KindProgress>,
    // Revision up to which all changes of all kinds are known.
    known: StorePosition,
    // Revisions of known changes above `known`.
    above_gap: BTreeSet<StorePosition>,
    // Later era that another host reported; 0 if there is none.
    reported_era: u64,
}

impl StoreFreshness {
    /// Creates the state of a host that has not read anything.
    pub fn new(settings: FreshnessSettings) -> Self {
        Self {
            settings,
            kinds: BTreeMap::new(),
            known: StorePosition::default(),
            reported_era: 0,
            above_gap: BTreeSet::new(),
        }
    }

    /// Records that all objects of a kind were listed as of a revision.
    pub fn record_listed(&mut self, kind: FollowedKind, revision: StorePosition) {
        let progress = self.kinds.entry(kind).or_default();
        if revision > progress.complete || progress.changed == StorePosition::default() {
            // A list does not tell when the last object was removed.
            progress.changed = revision;
        }
        progress.complete_to(revision);
    }

    /// Records the changes of a kind up to a revision, each by its own revision.
    pub fn record_changes(
        &mut self,
        kind: FollowedKind,
        changes: impl IntoIterator<Item = StorePosition>,
        revision: StorePosition,
    ) {
        let progress = self.kinds.entry(kind).or_default();
        for change in changes {
            if change > progress.complete {
                progress.changed = change;
                progress.complete_to(change);
            }
            if change > self.known {
                self.above_gap.insert(change);
            }
        }
        progress.complete_to(revision);
        while self.above_gap.len() > MAX_REVISIONS_ABOVE_GAP {
            self.above_gap.pop_first();
        }
    }

    /// Records that a kind was read at `at` by a call that may not return stale data.
    pub fn record_read(&mut self, kind: FollowedKind, at: TimePoint) {
        let progress = self.kinds.entry(kind).or_default();
        progress.read_at = Some(at);
        progress.confirmed_at = progress.confirmed_at.max(Some(at));
        // A report that is ahead of the store is wrong.
        progress.reported = None;
        self.reported_era = 0;
    }

    /// Records the revision that the store had at `at`; returns whether all changes up to it are
    /// known, so that every kind is confirmed.
    pub fn confirm_revision(&mut self, revision: StorePosition, at: TimePoint) -> bool {
        self.advance_known();
        if !self.is_listed() || self.known < revision {
            return false;
        }
        for progress in self.kinds.values_mut() {
            progress.complete_to(revision);
            progress.confirmed_at = progress.confirmed_at.max(Some(at));
        }
        true
    }

    /// Applies the report of another host of the failure domain; returns whether it is ahead in a
    /// kind.
    pub fn record_report(&mut self, report: &FreshnessReport, now: TimePoint) -> bool {
        let era = self.kinds.values().map(|kind| kind.complete.era).min();
        let era = era.unwrap_or(0);
        if report.revision.era > era {
            // Only the store can tell whether it has returned from a copy.
            self.reported_era = self.reported_era.max(report.revision.era);
            return true;
        }
        if report.revision.era < era {
            return false;
        }
        let confirmed_at = now - Duration::from_millis(u64::from(report.age_ms));
        let mut is_behind = false;
        for (kind, changed) in self.settings.kinds.iter().zip(&report.changed) {
            let changed = *changed;
            let Some(progress) = self.kinds.get_mut(kind) else {
                continue;
            };
            if changed > progress.complete {
                if progress.reported < Some(changed) {
                    progress.reported = Some(changed);
                    progress.reported_at = confirmed_at;
                }
                is_behind = true;
                continue;
            }
            progress.confirmed_at = progress.confirmed_at.max(Some(confirmed_at));
            if report.revision >= progress.complete {
                progress.changed = changed;
            }
        }
        is_behind
    }

    /// Returns the kinds in which another host reported to be ahead, except those read just now.
    pub fn lagging_kinds(&self, now: TimePoint) -> Vec<FollowedKind> {
        let is_lagging = |progress: &KindProgress| {
            let read_recently = progress
                .read_at
                .is_some_and(|at| now.since(at) < self.settings.min_read_pause);
            let is_behind = progress.reported > Some(progress.complete)
                || self.reported_era > progress.complete.era;
            is_behind && !read_recently
        };
        let lagging = self.kinds.iter().filter(|(_, kind)| is_lagging(kind));
        lagging.map(|(kind, _)| *kind).collect()
    }

    /// Returns the report for other hosts; `None` before all kinds are confirmed.
    pub fn report(&self, now: TimePoint) -> Option<FreshnessReport> {
        let age = self.oldest_age(now)?;
        let changed = |kind| {
            self.kinds
                .get(kind)
                .map_or(StorePosition::default(), |kind| kind.changed)
        };
        Some(FreshnessReport {
            revision: self.kinds.values().map(|kind| kind.complete).min()?,
            changed: self.settings.kinds.iter().map(changed).collect(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Returns the time since a kind was last confirmed; `None` if it never was.
    pub fn age(&self, kind: FollowedKind, now: TimePoint) -> Option<Duration> {
        let confirmed_at = self.kinds.get(&kind)?.confirmed_at?;
        Some(now.since(confirmed_at))
    }

    /// Returns the time since all kinds were confirmed; `None` if one never was.
    pub fn oldest_age(&self, now: TimePoint) -> Option<Duration> {
        let ages = self.settings.kinds.iter().map(|kind| self.age(*kind, now));
        let known: Option<Vec<Duration>> = ages.collect();
        known?.into_iter().max()
    }

    /// Returns the time until this host must confirm its knowledge itself.
    pub fn confirmation_due_in(&self, now: TimePoint) -> Duration {
        self.oldest_age(now).map_or(Duration::ZERO, |age| {
            self.settings.confirm_age.saturating_sub(age)
        })
    }

    /// Returns the revision up to which all changes of a kind are known; the default before the first list.
    pub fn complete_revision(&self, kind: FollowedKind) -> StorePosition {
        self.kinds
            .get(&kind)
            .map_or(StorePosition::default(), |kind| kind.complete)
    }

    /// Returns whether all kinds were listed.
    pub fn is_listed(&self) -> bool {
        self.kinds.len() == self.settings.kinds.len()
    }

    /// Advances the revision up to which all changes of all kinds are known.
    fn advance_known(&mut self) {
        let complete = self.kinds.values().map(|kind| kind.complete).min();
        self.known = self.known.max(complete.unwrap_or_default());
        // Each change increases the store's revision by one.
        while let Some(revision) = self.above_gap.first().copied() {
            if revision > self.known && !self.known.is_followed_by(revision) {
                return;
            }
            self.known = self.known.max(revision);
            self.above_gap.pop_first();
        }
    }
}
