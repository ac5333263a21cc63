//! Hosts that lose their path to all servers of a service, and hosts that take over their requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::reach::{
    PeerReach, PeerSettings, PeerStanding, ReachChange, ReachSettings, ServiceReach, pick_relay,
};
use galenamast_gateway::state::HostPresence;

/// Returns the presence of a host in one of `domains` failure domains.
fn presence(number: usize, domains: usize) -> HostPresence {
    let port = u16::try_from(1_000 + number).expect("the number is small");
    HostPresence {
        host: format!("host-{number}").into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        domain: format!("d-{}", number % domains).into(),
        wire_version: 1,
    }
}

#[test]
fn path_is_lost_only_if_a_probe_confirms_it() {
    let mut reach = ServiceReach::new(ReachSettings::default());
    let (service, now) = (Arc::<str>::from("engines"), TimePoint::from_millis(500));
    assert!(!reach.record_unreachable(&service, &"e-1".into(), 9));
    assert!(
        !reach.record_unreachable(&service, &"e-1".into(), 9),
        "the same server"
    );
    reach.record_connected(&service);
    assert!(
        !reach.record_unreachable(&service, &"e-2".into(), 9),
        "another was reached since"
    );
    assert!(reach.record_unreachable(&service, &"e-3".into(), 9));
    assert!(reach.is_suspect(&service) && !reach.is_lost(&service));
    assert_eq!(reach.record_probe(&service, true, now), None);
    assert!(!reach.is_suspect(&service));
    assert!(
        reach.record_unreachable(&service, &"e-1".into(), 1),
        "the only server"
    );
    assert_eq!(
        reach.record_probe(&service, false, now),
        Some(ReachChange::Lost)
    );
    assert_eq!(reach.record_probe(&service, false, now), None);
    let later = now + Duration::from_secs(4);
    let restored = ReachChange::Restored(Duration::from_secs(4));
    assert_eq!(reach.record_probe(&service, true, later), Some(restored));
    assert!(!reach.is_lost(&service));
}

#[test]
fn report_of_a_lost_path_lapses_unless_it_is_repeated() {
    let mut reach = ServiceReach::new(ReachSettings::default());
    let (peer, service) = (presence(1, 1).address, Arc::<str>::from("engines"));
    let now = TimePoint::from_millis(500);
    reach.record_peer(peer, std::slice::from_ref(&service), now);
    assert!(reach.is_peer_lost(peer, &service, now + Duration::from_secs(2)));
    assert!(!reach.is_peer_lost(peer, &service, now + Duration::from_secs(4)));
    reach.record_peer(peer, std::slice::from_ref(&service), now);
    reach.record_peer(peer, &[], now);
    assert!(!reach.is_peer_lost(peer, &service, now));
}

// Most hosts of a domain are cut off, and their requests must not meet at a few others.
#[test]
fn requests_of_cut_hosts_are_spread_over_the_others() {
    for (hosts, domains) in [(9, 4), (63, 4), (295, 6)] {
        let all: Vec<HostPresence> = (0..hosts).map(|number| presence(number, domains)).collect();
        // Three of five hosts are cut off.
        let is_cut = |address: SocketAddr| address.port() % 5 < 3;
        let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let cut: Vec<&HostPresence> = all.iter().filter(|host| is_cut(host.address)).collect();
        for draw in 0..100_u64 {
            for own in &cut {
                // The golden ratio spreads consecutive numbers over the whole range.
                let draw = draw.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 16;
                let standing = |address| (!is_cut(address)).then_some(PeerStanding::Unknown);
                let picked = pick_relay(all.iter(), own, &[], standing, draw);
                let picked = picked.expect("hosts are left");
                assert!(!is_cut(picked.address));
                let is_near = |host: &&HostPresence| host.domain == own.domain;
                let has_near = all.iter().filter(is_near).any(|host| !is_cut(host.address));
                assert!(!has_near || picked.domain == own.domain);
                *counts.entry(picked.host.clone()).or_default() += 1;
            }
        }
        let (most, sum) = (counts.values().max(), counts.values().sum::<usize>());
        let mean = sum / counts.len();
        assert!(
            most.is_some_and(|most| *most <= 4 * mean),
            "{hosts} hosts: {counts:?}"
        );
        assert_eq!(pick_relay(all.iter(), &all[0], &[], |_| None, 1), None);
    }
}

// Guards against losing requests to hosts that are gone for good, in fleets of any size.
#[test]
fn hosts_that_are_gone_are_learnt_within_seconds_and_used_again_when_they_are_back() {
    for (hosts, domains) in [(9, 2), (63, 4), (295, 6)] {
        let all: Vec<HostPresence> = (0..hosts).map(|number| presence(number, domains)).collect();
        let own = &all[0];
        // Of the own domain all other hosts are gone, and half of the others.
        let is_gone = |host: &HostPresence| {
            let is_odd = host.address.port() % 4 < 2;
            *host != *own && (host.domain == own.domain || is_odd)
        };
        let settings = PeerSettings::default();
        let mut reach = PeerReach::new(settings);
        let start = TimePoint::from_millis(500);
        let mut draws = 0_u64;
        let mut draw = || {
            draws += 1;
            draws.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 16
        };
        let mut used_again = 0;
        for step in 0..600_u64 {
            let now = start + Duration::from_millis(100 * step);
            let is_back = step >= 300;
            let accepts = |address: SocketAddr| {
                let host = all.iter().find(|host| host.address == address);
                host.is_some_and(|host| is_back || !is_gone(host))
            };
            // A round of checks every half second.
            if step.is_multiple_of(5) {
                let due = reach.due_checks(all.iter(), own, draw(), now);
                assert!(due.len() <= settings.checks_at_once);
                for address in due {
                    if accepts(address) {
                        reach.record_reached(address, now);
                    } else {
                        reach.record_failure(address, now);
                    }
                }
            }
            // A request, which may meet a few hosts that are gone.
            let mut tried = Vec::new();
            while tried.len() < 3 {
                let standing = |address| Some(reach.standing(address, now));
                let Some(picked) = pick_relay(all.iter(), own, &tried, standing, draw()) else {
                    break;
                };
                let address = picked.address;
                tried.push(address);
                if accepts(address) {
                    reach.record_reached(address, now);
                    used_again += usize::from(is_gone(picked));
                    break;
                }
                assert!(
                    step < 30,
                    "{hosts} hosts, step {step}: {picked:?} gets requests"
                );
                reach.record_failure(address, now);
            }
            assert!(
                step < 30 || tried.len() == 1,
                "{hosts} hosts, step {step}: no host is left"
            );
        }
        assert!(
            used_again >= 150,
            "{hosts} hosts: {used_again} requests at hosts that are back"
        );
    }
}
