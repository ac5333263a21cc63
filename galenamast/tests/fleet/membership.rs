//! Membership under message loss, partitions, departures and restarts.

use std::time::Duration;

use galenamast::coordination::{MemberBody, MemberEvent, MemberMessage, MemberStatus};
use galenamast::state::HostName;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::member_net::{MemberNet, name_of};

/// Returns the names of a range of hosts.
fn names(range: std::ops::Range<usize>) -> Vec<HostName> {
    range.map(name_of).collect()
}

#[test]
fn all_hosts_of_a_domain_learn_of_each_other() {
    let mut net = MemberNet::start(40, 1, 1);
    net.run(Duration::from_secs(10));
    for index in 0..40 {
        assert_eq!(net.live_at(index), names(0..40), "host {index}");
    }
    assert!(
        net.largest_message_bytes <= 1_100,
        "{} bytes",
        net.largest_message_bytes
    );
}

#[test]
fn bandwidth_per_host_stays_within_its_limit_for_every_domain_size() {
    // The target deployment has 400 hosts, 80 in each domain. Each host may send 19 KB/s of
    // control messages in total.
    for hosts in [10, 40, 80] {
        let mut net = MemberNet::start(hosts, 1, 9);
        net.run(Duration::from_secs(15));
        (net.bytes_sent, net.messages_sent) = (0, 0);
        net.run(Duration::from_secs(30));
        let idle_rate = net.bytes_sent / hosts / 30;
        // Restart a tenth of the domain at the same time.
        net.bytes_sent = 0;
        for index in 1..=hosts / 10 {
            net.restart(index, 1, 2);
        }
        net.run(Duration::from_secs(30));
        let restart_rate = net.bytes_sent / hosts / 30;
        println!("{hosts} hosts: {idle_rate} B/s idle, {restart_rate} B/s with restarts");
        assert!(
            idle_rate < 19_000 && restart_rate < 19_000,
            "{hosts} hosts: {idle_rate} and {restart_rate} B/s"
        );
    }
}

#[test]
fn a_host_knows_its_domain_and_only_a_few_hosts_elsewhere() {
    let mut net = MemberNet::start(40, 4, 2);
    net.run(Duration::from_secs(20));
    for machine in net.hosts.iter().flatten() {
        let table = machine.table();
        assert_eq!(table.live().count(), 10, "{}", table.own);
        assert!(table.contacts.len() <= 12, "{}", table.own);
        for domain in 0..4 {
            let domain = format!("domain-{domain}").as_str().into();
            assert!(!table.live_in(&domain).is_empty(), "{} {domain}", table.own);
        }
    }
}

#[test]
fn a_killed_host_is_removed_everywhere_and_rejoins_after_a_restart() {
    let mut net = MemberNet::start(20, 1, 3);
    net.run(Duration::from_secs(10));
    net.hosts[7] = None;
    net.run(Duration::from_secs(40));
    for index in (0..20).filter(|index| *index != 7) {
        assert!(!net.live_at(index).contains(&name_of(7)), "host {index}");
    }
    net.restart(7, 1, 2);
    net.run(Duration::from_secs(15));
    for index in 0..20 {
        assert_eq!(net.live_at(index), names(0..20), "host {index}");
    }
}

#[test]
fn a_leaving_host_is_recorded_as_left_everywhere() {
    let mut net = MemberNet::start(20, 1, 4);
    net.run(Duration::from_secs(10));
    net.handle(5, MemberEvent::Leave);
    net.hosts[5] = None;
    net.run(Duration::from_secs(5));
    for index in (0..20).filter(|index| *index != 5) {
        let table = net.hosts[index].as_ref().expect("the host runs").table();
        let status = table.members.get(&name_of(5)).map(|record| record.status);
        assert_eq!(status, Some(MemberStatus::Left), "host {index}");
    }
}

#[test]
fn one_way_loss_between_two_hosts_declares_no_host_dead() {
    let mut net = MemberNet::start(20, 1, 5);
    net.run(Duration::from_secs(10));
    net.cut = Box::new(|from, to| from == 3 && to == 4);
    net.run_counting_deaths(Duration::from_secs(120));
    assert_eq!(net.deaths, 0);
}

#[test]
fn a_host_that_receives_nothing_cannot_get_others_declared_dead() {
    let mut net = MemberNet::start(20, 1, 6);
    net.run(Duration::from_secs(10));
    net.cut = Box::new(|_, to| to == 3);
    net.run(Duration::from_secs(120));
    let mut changes = 0;
    let mut before = net.live_at(0);
    for _ in 0..60 {
        net.run(Duration::from_secs(1));
        let after = net.live_at(0);
        changes += usize::from(after != before);
        before = after;
    }
    assert_eq!(changes, 0, "the view of a healthy host stays unchanged");
    for index in (0..20).filter(|index| *index != 3) {
        let live = net.live_at(index);
        assert_eq!(live.len(), 19, "host {index} considers {live:?} live");
    }
}

#[test]
fn a_death_reported_by_another_host_does_not_remove_the_member() {
    let mut net = MemberNet::start(5, 1, 8);
    net.run(Duration::from_secs(5));
    let table = net.hosts[0].as_ref().expect("the host runs").table();
    let mut dead = table.members[&name_of(2)].clone();
    dead.status = MemberStatus::Dead;
    let message = MemberMessage {
        sender: table.members[&name_of(1)].clone(),
        body: MemberBody::Gossip,
        updates: vec![dead],
    };
    net.handle(0, MemberEvent::Received(message));
    assert_eq!(net.live_at(0), names(0..5));
    net.run(Duration::from_secs(5));
    assert_eq!(net.live_at(0), names(0..5));
}

#[test]
fn both_sides_of_a_partition_rejoin_after_it_heals() {
    let mut net = MemberNet::start(20, 1, 7);
    net.run(Duration::from_secs(10));
    net.cut = Box::new(|from, to| (from < 10) != (to < 10));
    net.run(Duration::from_secs(60));
    assert_eq!(net.live_at(0), names(0..10));
    assert_eq!(net.live_at(15), names(10..20));
    net.cut = Box::new(|_, _| false);
    net.run(Duration::from_secs(60));
    for index in 0..20 {
        assert_eq!(net.live_at(index), names(0..20), "host {index}");
    }
}

#[test]
fn healthy_hosts_stay_live_under_loss_in_any_order_of_messages() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config {
        cases: 12,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (
        3_usize..40,
        0.0_f64..0.1,
        any::<u64>(),
        0_usize..40,
        0_usize..40,
    );
    runner
        .run(&strategy, |(hosts, loss, seed, from, to)| {
            let mut net = MemberNet::start(hosts, 1, seed);
            net.loss = loss;
            net.run(Duration::from_secs(20));
            let (from, to) = (from % hosts, to % hosts);
            net.cut = Box::new(move |sender, receiver| sender == from && receiver == to);
            net.run_counting_deaths(Duration::from_secs(30));
            prop_assert_eq!(net.deaths, 0);
            for index in 0..hosts {
                prop_assert_eq!(net.live_at(index).len(), hosts);
            }
            Ok(())
        })
        .expect("healthy hosts stay live");
}
