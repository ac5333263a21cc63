//! How configuration reaches running entry hosts during outages, partitions and restarts.

use std::collections::BTreeSet;
use std::time::Duration;

use galenamast::coordination::HeadDocument;
use galenamast::event_loop::EntryHost;
use galenamast::state::ConfigGeneration;
use galenamast_fakes::FakeObjects;

use crate::support::{
    mesh_of, pool_change, start_host, wait_for_generation, wait_until, writer_at,
};

/// Writes one change per name, each of which creates a pool of that name.
async fn apply_changes(objects: &FakeObjects, names: &[&str]) {
    let writer = writer_at(objects.address());
    for name in names {
        let result = writer.apply(&pool_change(name, name, 8), false).await;
        result.expect("the change is accepted");
    }
}

/// Waits until every host sees the given number of live members.
async fn wait_for_members(hosts: &[EntryHost], count: usize) {
    wait_until("all members are known", || {
        let sees_all = |host: &EntryHost| mesh_of(host).members().live().count() == count;
        hosts.iter().all(sees_all)
    })
    .await;
}

#[tokio::test]
async fn a_single_host_adopts_the_configuration_and_later_changes() {
    let objects = FakeObjects::start().await;
    apply_changes(&objects, &["c1"]).await;
    let hosts = [start_host("host-0", "cumbre", Some(objects.address()), &[]).await];
    wait_for_generation(&hosts, 1).await;
    apply_changes(&objects, &["c2", "c3"]).await;
    wait_for_generation(&hosts, 3).await;
    wait_until("the configuration age is below 5 s", || {
        hosts[0].context().tables.load().config_age < Duration::from_secs(5)
    })
    .await;
}

#[tokio::test]
async fn two_hosts_watch_the_platform_and_the_others_learn_from_them() {
    let objects = FakeObjects::start().await;
    let mut hosts = Vec::new();
    let mut seeds = Vec::new();
    for index in 0..5 {
        let name = format!("host-{index}");
        let host = start_host(&name, "cumbre", Some(objects.address()), &seeds).await;
        seeds = vec![mesh_of(&host).address()];
        hosts.push(host);
    }
    wait_for_members(&hosts, 5).await;
    let watching = |host: &&EntryHost| {
        let config = host.context().config.get().expect("started");
        config.is_watching()
    };
    wait_until("two hosts watch", || {
        hosts.iter().filter(watching).count() == 2
    })
    .await;
    apply_changes(&objects, &["c1", "c2"]).await;
    wait_for_generation(&hosts, 2).await;
    wait_until(
        "every host knows that the generation is in force on all five hosts",
        || {
            hosts.iter().all(|host| {
                let config = host.context().config.get().expect("started");
                let domain_progress = config.domain_progress();
                let progress = domain_progress
                    .iter()
                    .find(|progress| progress.domain == "cumbre".into());
                progress.is_some_and(|progress| {
                    progress.hosts == 5 && progress.lowest == ConfigGeneration(2)
                })
            })
        },
    )
    .await;
}

#[tokio::test]
async fn a_host_starts_from_its_peers_while_the_platform_is_down() {
    let objects = FakeObjects::start().await;
    apply_changes(&objects, &["c1", "c2"]).await;
    let first = start_host("host-0", "cumbre", Some(objects.address()), &[]).await;
    let mut hosts = vec![first];
    wait_for_generation(&hosts, 2).await;
    objects.faults().set(|faults| faults.refuse = true);
    let seeds = [mesh_of(&hosts[0]).address()];
    hosts.push(start_host("host-1", "cumbre", Some(objects.address()), &seeds).await);
    hosts.push(start_host("host-2", "bosque", Some(objects.address()), &seeds).await);
    wait_for_generation(&hosts, 2).await;
    wait_until("the configuration age grows during the outage", || {
        let age = |host: &EntryHost| host.context().tables.load().config_age;
        hosts.iter().all(|host| age(host) > Duration::from_secs(4))
    })
    .await;
    objects.faults().set(|faults| faults.refuse = false);
    apply_changes(&objects, &["c3"]).await;
    wait_for_generation(&hosts, 3).await;
}

#[tokio::test]
async fn a_host_with_neither_platform_nor_peer_has_no_configuration() {
    let host = start_host("host-0", "cumbre", None, &[]).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(host.context().image.load().generation, ConfigGeneration(0));
    assert!(host.context().tables.load().config_age > Duration::from_secs(1_000_000));
}

#[tokio::test]
async fn an_older_head_on_the_platform_is_never_adopted() {
    let objects = FakeObjects::start().await;
    apply_changes(&objects, &["c1"]).await;
    let old = objects.get("head", "config").expect("a head was written");
    apply_changes(&objects, &["c2", "c3"]).await;
    let hosts = [start_host("host-0", "cumbre", Some(objects.address()), &[]).await];
    wait_for_generation(&hosts, 3).await;
    objects.put("head", "config", old);
    wait_until(
        "the older head does not reset the configuration age",
        || hosts[0].context().tables.load().config_age > Duration::from_secs(5),
    )
    .await;
    assert_eq!(
        hosts[0].context().image.load().generation,
        ConfigGeneration(3)
    );
}

#[tokio::test]
async fn an_invalid_head_is_not_adopted_and_the_next_valid_one_is() {
    let objects = FakeObjects::start().await;
    apply_changes(&objects, &["c1"]).await;
    let hosts = [start_host("host-0", "cumbre", Some(objects.address()), &[]).await];
    wait_for_generation(&hosts, 1).await;
    let value = objects.get("head", "config").expect("a head was written");
    let valid: HeadDocument = serde_json::from_value(value).expect("the head is well formed");
    let mut invalid = valid.clone();
    invalid.generation = ConfigGeneration(2);
    invalid.entries.insert(
        "pool/missing".into(),
        galenamast::coordination::ObjectDigest("00".into()),
    );
    objects.put(
        "head",
        "config",
        serde_json::to_value(&invalid).expect("it encodes"),
    );
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(
        hosts[0].context().image.load().generation,
        ConfigGeneration(1)
    );
    let next = HeadDocument {
        generation: ConfigGeneration(3),
        ..valid
    };
    objects.put(
        "head",
        "config",
        serde_json::to_value(&next).expect("it encodes"),
    );
    wait_for_generation(&hosts, 3).await;
}

#[tokio::test]
async fn an_isolated_domain_keeps_its_configuration_and_catches_up_after_healing() {
    let objects = FakeObjects::start().await;
    let endpoint = objects.open_endpoint().await;
    apply_changes(&objects, &["c1"]).await;
    let connected = start_host("host-0", "cumbre", Some(objects.address()), &[]).await;
    let seeds = [mesh_of(&connected).address()];
    let isolated = start_host("host-1", "bosque", Some(endpoint.address()), &seeds).await;
    let hosts = [connected, isolated];
    wait_for_generation(&hosts, 1).await;
    let addresses = hosts.each_ref().map(|host| mesh_of(host).address());
    mesh_of(&hosts[0]).block(BTreeSet::from([addresses[1]]));
    mesh_of(&hosts[1]).block(BTreeSet::from([addresses[0]]));
    endpoint.faults().set(|faults| faults.refuse = true);
    apply_changes(&objects, &["c2", "c3"]).await;
    wait_for_generation(&hosts[..1], 3).await;
    wait_until(
        "the isolated host's configuration is older than 6 s",
        || hosts[1].context().tables.load().config_age > Duration::from_secs(6),
    )
    .await;
    assert_eq!(
        hosts[1].context().image.load().generation,
        ConfigGeneration(1)
    );
    // Peer connections heal first; the isolated host still cannot reach the platform.
    mesh_of(&hosts[0]).block(BTreeSet::new());
    mesh_of(&hosts[1]).block(BTreeSet::new());
    wait_for_generation(&hosts, 3).await;
    wait_until(
        "the isolated host learns the age from the other domain",
        || hosts[1].context().tables.load().config_age < Duration::from_secs(6),
    )
    .await;
}

#[tokio::test]
async fn changes_spread_when_both_watchers_lose_the_platform() {
    let objects = FakeObjects::start().await;
    apply_changes(&objects, &["c1"]).await;
    let mut hosts = Vec::new();
    let mut endpoints = Vec::new();
    let mut seeds = Vec::new();
    for index in 0..4 {
        let endpoint = objects.open_endpoint().await;
        let name = format!("host-{index}");
        let host = start_host(&name, "cumbre", Some(endpoint.address()), &seeds).await;
        seeds = vec![mesh_of(&host).address()];
        hosts.push(host);
        endpoints.push(endpoint);
    }
    wait_for_members(&hosts, 4).await;
    wait_for_generation(&hosts, 1).await;
    let is_watching =
        |host: &EntryHost| host.context().config.get().expect("started").is_watching();
    wait_until("two hosts watch", || {
        hosts.iter().filter(|host| is_watching(host)).count() == 2
    })
    .await;
    // Calls of both watchers to the platform hang; the other hosts still reach it.
    for (host, endpoint) in hosts.iter().zip(&endpoints) {
        if is_watching(host) {
            endpoint.faults().set(|faults| faults.hang = true);
        }
    }
    apply_changes(&objects, &["c2", "c3"]).await;
    wait_for_generation(&hosts, 3).await;
}

#[tokio::test]
async fn a_watcher_that_stops_is_replaced() {
    let objects = FakeObjects::start().await;
    let mut hosts = Vec::new();
    let mut seeds = Vec::new();
    for index in 0..4 {
        let name = format!("host-{index}");
        let host = start_host(&name, "cumbre", Some(objects.address()), &seeds).await;
        seeds = vec![mesh_of(&host).address()];
        hosts.push(host);
    }
    wait_for_members(&hosts, 4).await;
    let is_watching =
        |host: &EntryHost| host.context().config.get().expect("started").is_watching();
    let count_watchers =
        |hosts: &[EntryHost]| hosts.iter().filter(|host| is_watching(host)).count();
    wait_until("two hosts watch", || count_watchers(&hosts) == 2).await;
    while let Some(index) = hosts
        .iter()
        .position(is_watching)
        .filter(|_| hosts.len() > 2)
    {
        hosts.remove(index).stop().await;
    }
    wait_until("two of the remaining hosts watch", || {
        count_watchers(&hosts) == 2
    })
    .await;
    apply_changes(&objects, &["c1"]).await;
    wait_for_generation(&hosts, 1).await;
}
