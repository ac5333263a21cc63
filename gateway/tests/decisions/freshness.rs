//! Confirmations of the store's content by a failure domain of fifty hosts, in virtual time: on a
//! quiet day, with lost and forged reports, and with changes that watches do not return.

use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::freshness::{FreshnessSettings, StoreFreshness};
use galenamast_gateway::state::{FollowedKind, FreshnessReport, StorePosition};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Hosts of the failure domain.
const HOSTS: usize = 50;
/// Time within which a host must apply a change.
const BOUND: Duration = Duration::from_secs(4);
/// Step of virtual time, in milliseconds.
const STEP_MS: u64 = 5;
/// Length of the day, in milliseconds.
const DAY_MS: u64 = 60_000;

/// Returns a position in the first era of the store.
fn position(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

/// What a replayed day cost and showed.
#[derive(Debug, Default)]
struct DayResult {
    // Confirmations, each a call to the store.
    confirmations: u32,
    // Reads of one kind that confirmations or reports caused, each a call to the store.
    reads: u32,
    // Longest time for which a host did not know a change.
    longest_delay: Duration,
}

/// Returns the state of a host of a given number after it listed all kinds at revision 100.
fn host(number: usize) -> StoreFreshness {
    let rank = number as f64 / HOSTS as f64;
    let mut freshness = StoreFreshness::new(FreshnessSettings::new(BOUND, rank));
    for kind in FollowedKind::ALWAYS {
        freshness.record_listed(kind, position(100));
        freshness.record_read(kind, TimePoint::ZERO);
    }
    freshness
}

/// Replays a day on which the servers change at the given times. Watches return no change; each
/// report reaches another host with the given probability.
fn replay_day(changes: &[u64], delivery: f64) -> DayResult {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut hosts: Vec<StoreFreshness> = (0..HOSTS).map(host).collect();
    let mut result = DayResult::default();
    let mut revision = 100;
    for millis in (0..DAY_MS).step_by(STEP_MS as usize) {
        let now = TimePoint::from_millis(millis);
        let before = revision;
        revision += changes.iter().filter(|at| **at == millis).count() as u64;
        if revision > before {
            result.longest_delay = result.longest_delay.max(Duration::from_millis(STEP_MS));
        }
        let mut reports = Vec::new();
        for (number, freshness) in hosts.iter_mut().enumerate() {
            let mut due = freshness.lagging_kinds(now);
            if freshness.confirmation_due_in(now).is_zero() {
                result.confirmations += 1;
                if !freshness.confirm_revision(position(revision), now) {
                    due = FollowedKind::ALWAYS.to_vec();
                }
                reports.push((number, None));
            }
            for kind in due {
                result.reads += 1;
                let known = freshness.complete_revision(kind).revision;
                let is_changed = kind == FollowedKind::Servers && known < revision;
                let missed = is_changed.then_some(known + 1..=revision);
                let missed = missed.into_iter().flatten().map(position);
                freshness.record_changes(kind, missed, position(revision));
                freshness.record_read(kind, now);
            }
            if let Some((_, report)) = reports.iter_mut().find(|(sender, _)| *sender == number) {
                *report = freshness.report(now);
            }
        }
        for (sender, report) in reports {
            for (number, freshness) in hosts.iter_mut().enumerate() {
                if number != sender
                    && random.random_bool(delivery)
                    && let Some(report) = &report
                {
                    freshness.record_report(report, now);
                }
            }
        }
        for (freshness, changed_at) in hosts
            .iter()
            .flat_map(|freshness| changes.iter().map(move |at| (freshness, *at)))
        {
            let number = changes.iter().filter(|at| **at <= changed_at).count() as u64;
            let is_unknown = changed_at <= millis
                && freshness.complete_revision(FollowedKind::Servers) < position(100 + number);
            if is_unknown {
                let delay = Duration::from_millis(millis - changed_at + STEP_MS);
                result.longest_delay = result.longest_delay.max(delay);
            }
        }
    }
    result
}

#[test]
fn one_host_of_a_domain_confirms_for_all_on_a_quiet_day() {
    let (shared, alone) = (replay_day(&[], 1.0), replay_day(&[], 0.0));
    // A host that hears no reports calls the store at least once in the bound.
    let each_alone = (DAY_MS / 4_000) as u32 * HOSTS as u32;
    assert!(alone.confirmations >= each_alone, "{alone:?}");
    assert!(
        shared.confirmations * 20 <= alone.confirmations,
        "{shared:?}, {alone:?}"
    );
    assert!(shared.reads <= 3, "{shared:?}");
}

#[test]
fn changes_that_watches_miss_are_known_within_the_bound_with_and_without_reports() {
    let changes = [7_000, 7_005, 21_000, 40_000];
    for delivery in [1.0, 0.8, 0.0] {
        let day = replay_day(&changes, delivery);
        assert!(day.longest_delay < BOUND, "delivery {delivery}: {day:?}");
        assert!(
            day.longest_delay > Duration::from_secs(1),
            "no change was missed: {day:?}"
        );
    }
}

#[test]
fn change_of_an_unknown_kind_leads_to_a_read_of_each_kind() {
    let mut freshness = host(0);
    let now = TimePoint::from_millis(9_000);
    freshness.record_changes(
        FollowedKind::Servers,
        [101, 103].map(position),
        position(103),
    );
    // Revision 102 belongs to a kind that hosts do not follow.
    assert!(!freshness.confirm_revision(position(103), now));
    freshness.record_changes(FollowedKind::Rollouts, [102].map(position), position(102));
    assert!(freshness.confirm_revision(position(103), now));
    assert!(!freshness.confirm_revision(position(104), now));
}

#[test]
fn forged_report_causes_one_read_and_changes_nothing_else() {
    let mut freshness = host(0);
    let now = TimePoint::from_millis(1_500);
    let forged = FreshnessReport {
        revision: position(u64::MAX),
        changed: vec![position(u64::MAX); 3],
        age_ms: 0,
    };
    let age = freshness.oldest_age(now);
    assert!(freshness.record_report(&forged, now));
    assert_eq!(freshness.lagging_kinds(now).len(), 3);
    assert_eq!(freshness.oldest_age(now), age);
    for kind in FollowedKind::ALWAYS {
        freshness.record_read(kind, now);
        assert_eq!(freshness.complete_revision(kind), position(100));
    }
    assert!(freshness.lagging_kinds(now).is_empty());
    // The same report again causes no read before the pause is over.
    freshness.record_report(&forged, now);
    assert!(freshness.lagging_kinds(now).is_empty());
    let later = now + BOUND;
    assert_eq!(freshness.lagging_kinds(later).len(), 3);
}

/// Servers change all the time while many of them start; a host's watch returns the changes later
/// than a report announces them.
#[test]
fn host_that_catches_up_is_confirmed_by_the_report_that_was_ahead() {
    let mut freshness = host(0);
    let reported_at = TimePoint::from_millis(2_000);
    let report = FreshnessReport {
        revision: position(110),
        changed: [90, 108, 80].map(position).to_vec(),
        age_ms: 0,
    };
    assert!(freshness.record_report(&report, reported_at));
    let now = TimePoint::from_millis(2_600);
    assert_eq!(
        freshness.oldest_age(now),
        Some(Duration::from_millis(2_600))
    );
    freshness.record_changes(FollowedKind::Servers, [104].map(position), position(106));
    assert_eq!(freshness.lagging_kinds(now), [FollowedKind::Servers]);
    freshness.record_changes(FollowedKind::Servers, [108].map(position), position(108));
    assert!(freshness.lagging_kinds(now).is_empty());
    assert_eq!(freshness.oldest_age(now), Some(Duration::from_millis(600)));
}

#[test]
fn old_report_does_not_make_knowledge_younger() {
    let mut freshness = host(0);
    let now = TimePoint::from_millis(6_000);
    let report = FreshnessReport {
        revision: position(100),
        changed: [90, 95, 100].map(position).to_vec(),
        age_ms: 60_000,
    };
    assert!(!freshness.record_report(&report, now));
    assert_eq!(freshness.oldest_age(now), Some(Duration::from_secs(6)));
    let younger = FreshnessReport {
        age_ms: 20,
        ..report
    };
    assert!(!freshness.record_report(&younger, now));
    assert_eq!(freshness.oldest_age(now), Some(Duration::from_millis(20)));
}

#[test]
fn list_older_than_what_is_known_does_not_reset_it() {
    let mut freshness = host(0);
    freshness.record_changes(FollowedKind::Servers, [120].map(position), position(130));
    freshness.record_listed(FollowedKind::Servers, position(110));
    assert_eq!(
        freshness.complete_revision(FollowedKind::Servers),
        position(130)
    );
}

/// Returns a report of an era in which nothing has changed since revision 50.
fn report_of(era: u64) -> FreshnessReport {
    let position = |revision| StorePosition { era, revision };
    FreshnessReport {
        revision: position(100),
        changed: vec![position(50); 3],
        age_ms: 0,
    }
}

// A host that still knew the store from before its return confirmed one that knew it from after.
#[test]
fn report_of_an_earlier_era_confirms_nothing() {
    let mut freshness = host(0);
    for kind in FollowedKind::ALWAYS {
        freshness.record_listed(
            kind,
            StorePosition {
                era: 2,
                revision: 60,
            },
        );
    }
    let now = TimePoint::from_millis(1_500);
    assert!(!freshness.record_report(&report_of(1), now));
    assert_eq!(freshness.oldest_age(now), Some(now.since(TimePoint::ZERO)));
    assert!(!freshness.record_report(&report_of(2), now));
    assert_eq!(freshness.oldest_age(now), Some(Duration::ZERO));
}

#[test]
fn report_of_a_later_era_is_a_reason_to_ask_the_store_and_nothing_else() {
    let mut freshness = host(0);
    let now = TimePoint::from_millis(1_500);
    for era in [2, u64::MAX] {
        assert!(freshness.record_report(&report_of(era), now));
        assert_eq!(freshness.oldest_age(now), Some(now.since(TimePoint::ZERO)));
        assert_eq!(freshness.lagging_kinds(now).len(), 3);
        // The store denies it.
        freshness.record_read(FollowedKind::Servers, TimePoint::ZERO);
        assert!(freshness.lagging_kinds(now).is_empty());
    }
}

// A lower revision of a later era counted as known, without a list.
#[test]
fn revision_of_a_later_era_is_confirmed_only_after_each_kind_was_listed_in_it() {
    let mut freshness = host(0);
    let now = TimePoint::from_millis(1_500);
    let restored = StorePosition {
        era: 2,
        revision: 60,
    };
    for kind in FollowedKind::ALWAYS {
        assert!(!freshness.confirm_revision(restored, now));
        freshness.record_listed(kind, restored);
    }
    assert!(freshness.confirm_revision(restored, now));
    assert!(!freshness.confirm_revision(
        StorePosition {
            era: 2,
            revision: 61
        },
        now
    ));
}
