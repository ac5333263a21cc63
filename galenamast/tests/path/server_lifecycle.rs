//! The lifecycle machine of a backend server, as a table of event sequences.

use galenamast::coordination::{HostState, LifecycleEvent, LifecycleSettings, ServerMachine};
use galenamast::state::{ServerLifecycle, TimePoint};

/// Returns the event that the host list names the server.
fn listed(incarnation: u64, state: HostState) -> LifecycleEvent {
    LifecycleEvent::Listed { incarnation, state }
}

/// Returns the event that the server reports its load.
fn reported(incarnation: u64, draining: bool) -> LifecycleEvent {
    LifecycleEvent::Reported {
        incarnation,
        draining,
    }
}

/// Name of a case, its events with their times in milliseconds, and the final state.
type LifecycleCase<'a> = (&'static str, &'a [(u64, LifecycleEvent)], ServerLifecycle);

/// Handles events, each at its time in milliseconds, and returns the final state.
fn run(events: &[(u64, LifecycleEvent)]) -> ServerLifecycle {
    let mut machine = ServerMachine::new(1, LifecycleSettings::default(), TimePoint::ZERO);
    for (millis, event) in events {
        machine.handle(*event, TimePoint::from_millis(*millis));
    }
    machine.lifecycle()
}

#[test]
fn signs_of_leaving_prevail_until_a_newer_incarnation() {
    use HostState::{Leaving, Live};
    use LifecycleEvent::{ConnectFailed, Tick, Unlisted};
    let up = reported(1, false);
    let table: &[LifecycleCase<'_>] = &[
        ("new", &[(0, listed(1, Live))], ServerLifecycle::Probing),
        ("reported", &[(0, up)], ServerLifecycle::Live),
        (
            "flag",
            &[(0, up), (1, reported(1, true))],
            ServerLifecycle::Draining,
        ),
        (
            "flag, then a stale list",
            &[(0, reported(1, true)), (1, listed(1, Live)), (2, up)],
            ServerLifecycle::Draining,
        ),
        (
            "list first, then reports without the flag",
            &[(0, up), (1, listed(1, Leaving)), (2, up)],
            ServerLifecycle::Draining,
        ),
        (
            "a newer incarnation by the list",
            &[(0, reported(1, true)), (1, listed(2, Live))],
            ServerLifecycle::Probing,
        ),
        (
            "a newer incarnation by its report",
            &[
                (0, reported(1, true)),
                (1, reported(2, false)),
                (2, reported(2, false)),
            ],
            ServerLifecycle::Live,
        ),
        (
            "a list that still calls the last incarnation leaving",
            &[(0, reported(2, false)), (1, listed(1, Leaving))],
            ServerLifecycle::Live,
        ),
        (
            "a failed connection",
            &[(0, up), (1, ConnectFailed)],
            ServerLifecycle::Suspect,
        ),
        (
            "back again",
            &[(0, up), (1, ConnectFailed), (2, up)],
            ServerLifecycle::Live,
        ),
        (
            "silence",
            &[(0, up), (1_501, Tick)],
            ServerLifecycle::Suspect,
        ),
        (
            "a short pause",
            &[(0, up), (1_400, Tick)],
            ServerLifecycle::Live,
        ),
        (
            "not listed yet, but alive",
            &[(0, up), (1, Unlisted), (500, up), (1_000, Tick)],
            ServerLifecycle::Live,
        ),
        (
            "not listed and silent",
            &[(0, up), (1, Unlisted), (1_600, Tick), (4_700, Tick)],
            ServerLifecycle::Gone,
        ),
        (
            "gone while draining",
            &[(0, reported(1, true)), (1, ConnectFailed), (2, up)],
            ServerLifecycle::Gone,
        ),
    ];
    for (name, events, expected) in table {
        assert_eq!(run(events), *expected, "{name}");
    }
}

#[test]
fn a_server_is_not_live_within_the_bound_after_the_first_sign_of_leaving() {
    let bound = LifecycleSettings::default().leaving_bound.as_millis();
    let bound = u64::try_from(bound).expect("a small bound");
    let signs: &[&[(u64, LifecycleEvent)]] = &[
        &[(0, reported(1, true))],
        &[(0, listed(1, HostState::Leaving))],
        &[(0, LifecycleEvent::ConnectFailed)],
        &[(0, LifecycleEvent::Unlisted), (bound, LifecycleEvent::Tick)],
    ];
    for sign in signs {
        let events = [&[(0, reported(1, false))][..], sign].concat();
        assert_ne!(run(&events), ServerLifecycle::Live, "{sign:?}");
    }
}
