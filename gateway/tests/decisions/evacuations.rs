//! Evacuations of a failure domain before 9 to 295 hosts, in virtual time: with lost reports, hosts that
//! the store rejects, late statements, and a store that returns from an older copy.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::evacuations::{DomainEvacuations, EvacuationSettings};
use galenamast_gateway::state::{EvacuationReport, StorePosition};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The evacuated domain.
const DOMAIN: &str = "north";
/// Time after the operator's write within which hosts must know it.
const BOUND_MS: u64 = 5_000;
/// Time for which an evacuation stays in force after the store lost it.
const HOLD: Duration = Duration::from_secs(10);
/// Interval at which a host reports what it knows to three others.
const REPEAT_MS: u64 = 5_000;
/// Step of virtual time, in milliseconds.
const STEP_MS: u64 = 5;

/// Returns a position in an era.
fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

/// Returns a time in milliseconds.
fn ms(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Returns the report of the domain.
fn report(evacuated: bool, position: StorePosition) -> EvacuationReport {
    EvacuationReport {
        domain: DOMAIN.into(),
        evacuated,
        position,
    }
}

/// Returns a list that holds the domain, changed at a position, or nothing.
fn list(position: Option<StorePosition>) -> Vec<(Arc<str>, StorePosition)> {
    let object = position.map(|position| (DOMAIN.into(), position));
    object.into_iter().collect()
}

/// Returns the state of a host that listed the kind at revision 100 of the first era, when no domain or
/// only this one was evacuated.
fn host(evacuated_at: Option<u64>) -> DomainEvacuations {
    let mut host = DomainEvacuations::new(EvacuationSettings::default());
    let object = evacuated_at.map(|revision| at(1, revision));
    host.replace(&list(object), at(1, 100), ms(0));
    host
}

/// What a replayed evacuation showed.
#[derive(Debug, Default)]
struct Replay {
    // When the last host knew of the evacuation and of its end, in milliseconds after each.
    known_after: u64,
    ended_after: u64,
    // Hosts that reported the evacuation to all others.
    reporters: usize,
}

/// Replays an evacuation and its end 20 s later. The watches of hosts return each within 200 ms, those of
/// every tenth host never. Reports arrive 2 ms later or, with probability `loss`, not at all.
fn replay(hosts: usize, loss: f64) -> Replay {
    let mut random = ChaCha8Rng::seed_from_u64(hosts as u64);
    let mut states: Vec<DomainEvacuations> = (0..hosts).map(|_| host(None)).collect();
    let delays: Vec<u64> = (0..hosts).map(|_| random.random_range(1..200)).collect();
    let mut under_way: Vec<(u64, usize, EvacuationReport)> = Vec::new();
    let mut result = Replay::default();
    let ended_ms = 20_000;
    for millis in (0..2 * ended_ms).step_by(STEP_MS as usize) {
        let now = ms(millis);
        let (changed_ms, evacuated, revision) = if millis < ended_ms {
            (0, true, 101)
        } else {
            (ended_ms, false, 102)
        };
        let arrived = under_way.extract_if(.., |(at, ..)| *at <= millis);
        for (_, to, report) in arrived.collect::<Vec<_>>() {
            states[to].record_report(&report, now);
        }
        for (number, state) in states.iter_mut().enumerate() {
            if number % 10 > 0 && millis - changed_ms >= delays[number] {
                let position = at(1, revision);
                let change = state.record_change(&DOMAIN.into(), evacuated, position, now);
                if change.is_some() {
                    let delay = Duration::from_millis(random.random_range(0..100));
                    state.plan_report(DOMAIN, now + delay);
                }
            }
            let due = state.due_reports(now);
            result.reporters += usize::from(evacuated && !due.is_empty());
            for report in due {
                for to in (0..hosts).chain(0..hosts) {
                    if to != number && !random.random_bool(loss) {
                        under_way.push((millis + 2, to, report.clone()));
                    }
                }
            }
            if ((millis + number as u64 * 17) / STEP_MS).is_multiple_of(REPEAT_MS / STEP_MS) {
                for report in state.reports(now) {
                    for _ in 0..3 {
                        let to = random.random_range(0..hosts);
                        if !random.random_bool(loss) {
                            under_way.push((millis + 2, to, report.clone()));
                        }
                    }
                }
            }
        }
        if states
            .iter()
            .any(|state| state.is_evacuated(DOMAIN, now) != evacuated)
        {
            let after = millis - changed_ms + STEP_MS;
            match evacuated {
                true => result.known_after = after,
                false => result.ended_after = after,
            }
        }
    }
    result
}

#[test]
fn all_hosts_stop_within_the_bound_also_those_that_the_store_rejects() {
    for hosts in [9, 63, 295] {
        for loss in [0.0, 0.3] {
            let replay = replay(hosts, loss);
            assert!(
                replay.known_after < BOUND_MS,
                "{hosts} hosts, {loss}: {replay:?}"
            );
            // Only the operator's write is bounded; the end is told a rejected host at most twice by each
            // reporter, and the same bound holds while none of these reports is lost.
            assert!(
                loss > 0.0 || replay.ended_after < BOUND_MS,
                "{hosts} hosts: {replay:?}"
            );
            // Every host would cost hosts x hosts datagrams.
            assert!(replay.reporters <= 6, "{hosts} hosts, {loss}: {replay:?}");
        }
    }
}

#[test]
fn late_and_repeated_statements_change_nothing() {
    let mut host = host(None);
    assert!(
        host.record_change(&DOMAIN.into(), true, at(1, 110), ms(1))
            .is_some()
    );
    assert!(
        host.record_report(&report(true, at(1, 110)), ms(2))
            .is_none()
    );
    assert!(
        host.record_report(&report(false, at(1, 120)), ms(3))
            .is_some()
    );
    for position in [at(1, 105), at(1, 110), at(1, 120), at(0, 500)] {
        assert!(host.record_report(&report(true, position), ms(4)).is_none());
        assert!(
            host.record_change(&DOMAIN.into(), true, position, ms(4))
                .is_none()
        );
    }
    // A list that is older than the report of another host.
    let stale = list(Some(at(1, 110)));
    assert!(host.replace(&stale, at(1, 115), ms(5)).is_empty());
    assert!(!host.is_evacuated(DOMAIN, ms(5)));
    assert_eq!(
        host.replace(&list(Some(at(1, 130))), at(1, 140), ms(6))
            .len(),
        1
    );
    assert!(host.replace(&list(None), at(1, 90), ms(7)).is_empty());
    assert!(host.is_evacuated(DOMAIN, ms(7)));
    assert_eq!(host.replace(&list(None), at(1, 150), ms(8)).len(), 1);
    assert!(
        host.record_report(&report(true, at(1, 145)), ms(9))
            .is_none()
    );
}

#[test]
fn change_reported_by_another_host_is_not_reported_again() {
    let mut host = host(None);
    for (position, reported, due) in [(110, 110, 0), (120, 115, 1)] {
        let evacuated = position == 110;
        host.record_change(&DOMAIN.into(), evacuated, at(1, position), ms(1));
        host.plan_report(DOMAIN, ms(50));
        assert_eq!(host.next_due(), Some(ms(50)));
        host.record_report(&report(true, at(1, reported)), ms(10));
        assert_eq!(host.due_reports(ms(50)).len(), due);
        assert!(host.due_reports(ms(99)).is_empty());
    }
}

// Hosts sent to the domain because the copy of the store lacked the evacuation.
#[test]
fn evacuation_that_the_store_lost_stays_in_force_until_it_is_written_again_or_ten_seconds_passed() {
    for is_rewritten in [true, false] {
        let mut host = host(Some(90));
        assert!(host.restore(&list(None), at(2, 60), ms(1_000)).is_empty());
        let (before, after) = (ms(999) + HOLD, ms(1_000) + HOLD);
        // A list that repeats what the first one of the era stated does not end it.
        assert!(host.replace(&list(None), at(2, 61), ms(2_000)).is_empty());
        assert!(host.is_evacuated(DOMAIN, before));
        // Its reports change nothing at a host that listed the new era.
        let mut other = DomainEvacuations::default();
        other.replace(&list(None), at(2, 55), ms(1_000));
        for report in host.reports(before) {
            assert!(other.record_report(&report, before).is_none());
        }
        if is_rewritten {
            let change = host.record_change(&DOMAIN.into(), true, at(2, 62), before);
            assert_eq!(change, None);
        }
        assert_eq!(host.is_evacuated(DOMAIN, after), is_rewritten);
        assert_eq!(
            host.ended_within(DOMAIN, Duration::from_secs(1), after),
            !is_rewritten
        );
        assert_eq!(host.expire(after).len(), usize::from(!is_rewritten));
        assert_eq!(host.is_evacuated(DOMAIN, after), is_rewritten);
    }
}

#[test]
fn evacuation_that_had_ended_before_the_store_returned_is_applied_until_it_is_removed_again() {
    let mut host = host(Some(90));
    host.record_change(&DOMAIN.into(), false, at(1, 110), ms(1));
    let restored = list(Some(at(2, 50)));
    assert_eq!(host.restore(&restored, at(2, 60), ms(2)).len(), 1);
    assert!(host.is_evacuated(DOMAIN, ms(20_000)));
    assert!(
        host.record_report(&report(false, at(1, 110)), ms(3))
            .is_none()
    );
    assert!(
        host.record_report(&report(false, at(2, 61)), ms(4))
            .is_some()
    );
    assert!(!host.is_evacuated(DOMAIN, ms(5)));
    assert!(host.ended_within(DOMAIN, Duration::from_secs(1), ms(1_003)));
    assert!(!host.ended_within(DOMAIN, Duration::from_secs(1), ms(1_004)));
}

#[test]
fn report_of_an_era_that_the_host_does_not_know_only_adds_evacuations() {
    let mut host = host(Some(90));
    assert!(
        host.record_report(&report(false, at(2, 61)), ms(1))
            .is_none()
    );
    assert!(host.is_evacuated(DOMAIN, ms(1)));
    let south = EvacuationReport {
        domain: "south".into(),
        ..report(true, at(2, 62))
    };
    assert!(host.record_report(&south, ms(2)).is_some());
    // The end of what was learned of that era belongs to the same history.
    let ended = EvacuationReport {
        evacuated: false,
        position: at(2, 63),
        ..south
    };
    assert!(host.record_report(&ended, ms(3)).is_some());
    assert!(!host.is_evacuated("south", ms(3)));
}
