//! Messages between hosts of different builds.
//!
//! `wire/` holds datagrams as earlier builds encoded them, one line each: the kind's name and the bytes
//! in hexadecimal. A build that changes the layout of a kind no longer reads them, or reads something
//! else.

use galenamast_gateway::coordination::placement::{HostLoad, PrefixRead};
use galenamast_gateway::coordination::speeds::SpeedReport;
use galenamast_gateway::protocol::{DatagramError, PeerMessage};
use galenamast_gateway::state::{
    ColdReport, CrashReport, CrashSuspect, DemandReport, EvacuationReport, FreshnessReport,
    GradeCounts, PaceCounts, PartReport, RequestReport, ServerCrash, StorePosition, TrialReport,
};

/// Datagrams of earlier builds.
const EARLIER_BUILDS: [(&str, &str); 3] = [
    ("c253fa9", include_str!("wire/c253fa9.txt")),
    ("247832e", include_str!("wire/247832e.txt")),
    ("f95e05e", include_str!("wire/f95e05e.txt")),
];
/// Those before the freshness report got a kind of its own.
const BUILDS_BEFORE_FRESHNESS: usize = 2;
/// Names and numbers of the kinds that are no longer sent.
const RETIRED_KINDS: [(&str, u32); 2] = [("freshness", 4), ("backlog", 12)];

/// Returns a position in the store's second era.
fn position(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

/// Returns the freshness report that the recorded datagrams hold.
fn freshness_report() -> FreshnessReport {
    FreshnessReport {
        revision: position(900),
        changed: vec![position(100), position(890), position(5)],
        age_ms: 35,
    }
}

/// Returns the message that the recorded datagram of a name holds.
fn recorded_message(name: &str) -> PeerMessage {
    let part = |crashes, age_ms| PartReport {
        digest: 8,
        crashes,
        age_ms,
    };
    match name {
        "loads" => PeerMessage::Loads {
            loads: vec![HostLoad {
                server: 70_000,
                in_flight: 3,
                waiting_work: 0.25,
            }],
            reads: vec![PrefixRead {
                prefix: 1 << 40,
                server: 9,
            }],
        },
        "crash" => PeerMessage::Crash(CrashReport {
            server: "server-1".into(),
            suspect: CrashSuspect {
                fingerprint: 77,
                parts: vec![5, 6],
            },
        }),
        "trial" => PeerMessage::Trial(TrialReport {
            service: "engines".into(),
            target: "v2".into(),
            counts: GradeCounts {
                answers: 9,
                failures: 2,
                slow: 1,
            },
            paces: PaceCounts {
                answers: 8,
                slow: 3,
            },
        }),
        "held-sessions" => PeerMessage::HeldSessions(vec![1, 300]),
        "demand" => PeerMessage::Demand(DemandReport {
            server: "server-1".into(),
            started_ms: Some(1_700_000_000_000),
            limit: Some(2.5),
            leaving: true,
            age_ms: 40,
            brittle: Some(4),
            full: true,
        }),
        "answered-parts" => PeerMessage::AnsweredParts(vec![part(1, 20)]),
        "refused-parts" => PeerMessage::RefusedParts(vec![part(3, 900)]),
        "lost-paths" => PeerMessage::LostPaths(vec!["engines".into(), "desk".into()]),
        "evacuations" => PeerMessage::Evacuations(vec![EvacuationReport {
            domain: "north".into(),
            evacuated: true,
            position: position(33),
        }]),
        "cold-servers" => PeerMessage::ColdServers(vec![ColdReport {
            server: 12,
            started_ms: None,
            remaining_ms: 2_500,
        }]),
        "freshness-changes" => PeerMessage::Freshness(freshness_report()),
        "used-servers" => PeerMessage::UsedServers(vec![12, 70_000]),
        "speeds" => PeerMessage::Speeds(vec![SpeedReport {
            server: 12,
            start: 3,
            samples: 9,
            log_ratio: -40,
        }]),
        _ => panic!("no message of the name {name}"),
    }
}

/// Returns the number of a kind that is no longer sent; `None` for one in use.
fn retired_kind(name: &str) -> Option<u32> {
    let mut retired = RETIRED_KINDS.into_iter();
    retired.find_map(|(retired, kind)| (retired == name).then_some(kind))
}

/// Returns the names and bytes of the datagrams in a fixture.
fn datagrams(fixture: &str) -> Vec<(&str, Vec<u8>)> {
    let parse = |digits: &str| {
        let byte = |index| u8::from_str_radix(&digits[index..index + 2], 16).expect("a byte");
        (0..digits.len()).step_by(2).map(byte).collect()
    };
    let lines = fixture.lines().filter_map(|line| line.split_once(' '));
    lines.map(|(name, digits)| (name, parse(digits))).collect()
}

/// Returns the numbers of the kinds in a fixture.
fn known_kinds(fixture: &str) -> Vec<u8> {
    let datagrams = datagrams(fixture);
    datagrams.iter().map(|(_, datagram)| datagram[0]).collect()
}

#[test]
fn datagrams_of_earlier_builds_keep_their_meaning() {
    for (build, fixture) in EARLIER_BUILDS {
        for (name, datagram) in datagrams(fixture) {
            let decoded = PeerMessage::decode(&datagram);
            if let Some(kind) = retired_kind(name) {
                let error = DatagramError::UnknownKind(kind);
                assert_eq!(decoded, Err(error), "{name} of {build}");
                continue;
            }
            assert_eq!(decoded, Ok(recorded_message(name)), "{name} of {build}");
        }
    }
}

#[test]
fn earlier_builds_read_what_this_one_sends() {
    for (build, fixture) in EARLIER_BUILDS {
        for (name, datagram) in datagrams(fixture) {
            if retired_kind(name).is_none() {
                let encoded = recorded_message(name).encode();
                assert_eq!(encoded, Some(datagram), "{name} for {build}");
            }
        }
    }
}

// The layout that a later build sent was read by an earlier one as a change of a later era, so that each
// report made it call the store.
#[test]
fn freshness_reports_have_a_kind_that_earlier_builds_do_not_know() {
    let report = PeerMessage::Freshness(freshness_report());
    let datagram = report.encode().expect("it is encoded");
    for (build, fixture) in &EARLIER_BUILDS[..BUILDS_BEFORE_FRESHNESS] {
        assert!(!known_kinds(fixture).contains(&datagram[0]), "{build}");
    }
    assert_eq!(PeerMessage::decode(&datagram), Ok(report));
}

#[test]
fn reports_of_suspected_requests_have_a_kind_that_earlier_builds_do_not_know() {
    let report = PeerMessage::SuspectedRequests(vec![RequestReport {
        fingerprint: u64::MAX,
        crashes: vec![ServerCrash {
            server: "server-1".into(),
            age_ms: u32::MAX,
        }],
    }]);
    let datagram = report.encode().expect("it is encoded");
    for (build, fixture) in EARLIER_BUILDS {
        assert!(!known_kinds(fixture).contains(&datagram[0]), "{build}");
    }
    assert_eq!(PeerMessage::decode(&datagram), Ok(report));
}

#[test]
fn kinds_of_later_builds_and_other_layouts_are_told_apart() {
    let message = recorded_message("used-servers");
    let mut datagram = message.encode().expect("it is encoded");
    datagram.push(0);
    let longer = PeerMessage::decode(&datagram);
    assert_eq!(longer, Err(DatagramError::Malformed));
    datagram.truncate(2);
    let shorter = PeerMessage::decode(&datagram);
    assert_eq!(shorter, Err(DatagramError::Malformed));
    let later = PeerMessage::decode(&[16, 1, 2, 3]);
    assert_eq!(later, Err(DatagramError::UnknownKind(16)));
    assert_eq!(PeerMessage::decode(&[]), Err(DatagramError::Malformed));
}

#[test]
fn every_kind_has_a_number_below_that_of_kinds_not_known() {
    let last = PeerMessage::SuspectedRequests(Vec::new())
        .encode()
        .expect("it is encoded");
    assert_eq!(
        last[0], 15,
        "a kind was added: raise the count of known kinds"
    );
}
