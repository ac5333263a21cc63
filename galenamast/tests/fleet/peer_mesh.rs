//! Peer protocol frames, gossip limits, and messages between running entry hosts.

use std::sync::{Arc, Mutex};

use galenamast::coordination::{ByteBudget, GossipItem, GossipQueue, PeerScope};
use galenamast::protocol::{
    PeerMessage, PeerReply, PeerRequest, SoftState, decode_frame, encode_frame,
};
use galenamast::state::{ConfigGeneration, HostName, TimePoint};

use crate::support::{mesh_of, start_host, wait_until};

#[test]
fn an_unknown_request_is_skipped_and_another_frame_version_refused() {
    let known = PeerRequest::ReadEntries {
        since: ConfigGeneration(3),
    };
    let bytes = encode_frame(&known).expect("it encodes");
    assert_eq!(decode_frame(&bytes).expect("same version"), Some(known));
    let mut unknown_variant = bytes.clone();
    unknown_variant[1] = 120;
    assert_eq!(
        decode_frame::<PeerRequest>(&unknown_variant).expect("same version"),
        None
    );
    let mut other_version = bytes;
    other_version[0] = 2;
    assert!(decode_frame::<PeerRequest>(&other_version).is_err());
    assert!(decode_frame::<PeerMessage>(&[]).is_err());
}

#[test]
fn gossip_is_queued_and_sent_a_bounded_number_of_times() {
    let mut queue = GossipQueue::default();
    let item = |serial| GossipItem {
        origin: "a".into(),
        domain: "d".into(),
        serial,
        scope: PeerScope::Domain,
        payload: vec![0; 100],
    };
    assert!(queue.insert(item(1), 80));
    assert!(!queue.insert(item(1), 80), "a duplicate is dropped");
    for serial in 2..1_000 {
        queue.insert(item(serial), 80);
    }
    let mut sent = 0;
    while !queue.is_empty() {
        let items = queue.take(false, 1_000);
        assert!(items.len() <= 8);
        sent += items.len();
    }
    assert_eq!(sent, 256 * 21, "256 queued items, each sent 21 times");
}

#[test]
fn bytes_sent_stay_near_the_byte_rate() {
    let mut budget = ByteBudget::new(19_000, TimePoint::ZERO);
    let mut bytes = 0;
    for millis in 0..60_000 {
        if budget.take(400, false, TimePoint::from_millis(millis)) {
            bytes += 400;
        }
    }
    assert!(
        bytes <= 19_000 * 80,
        "{bytes} bytes in a minute that starts with a full burst"
    );
    assert!(bytes >= 19_000 * 60);
}

#[tokio::test]
async fn hosts_discover_each_other_exchange_messages_and_leave() {
    let first = start_host("host-0", "cumbre", None, &[]).await;
    let seed = [mesh_of(&first).address()];
    let mut hosts = vec![first];
    for (name, domain) in [
        ("host-1", "cumbre"),
        ("host-2", "cumbre"),
        ("host-3", "bosque"),
    ] {
        hosts.push(start_host(name, domain, None, &seed).await);
    }
    wait_until("three live hosts in cumbre", || {
        hosts[..3]
            .iter()
            .all(|host| mesh_of(host).members().live().count() == 3)
    })
    .await;
    let other_domain_host = HostName::new("host-3");
    wait_until("a known contact in bosque", || {
        hosts[..3]
            .iter()
            .all(|host| mesh_of(host).members().find(&other_domain_host).is_some())
    })
    .await;
    let request = PeerRequest::ReadEntries {
        since: ConfigGeneration(0),
    };
    let reply = mesh_of(&hosts[1])
        .request(&other_domain_host, request)
        .await;
    assert!(
        matches!(reply, Ok(PeerReply::ConfigEntries(_))),
        "{reply:?}"
    );
    let receivers: Arc<Mutex<Vec<HostName>>> = Arc::default();
    for host in &hosts {
        let own = mesh_of(host).own().clone();
        let receivers = receivers.clone();
        mesh_of(host).on_soft_state(
            &(Arc::new(move |_: &HostName, state: &SoftState| {
                if *state == SoftState::GenerationAdopted(ConfigGeneration(0)) {
                    receivers.lock().expect("no panic").push(own.clone());
                }
            }) as Arc<_>),
        );
    }
    let announcement = SoftState::GenerationAdopted(ConfigGeneration(0));
    mesh_of(&hosts[0])
        .broadcast(PeerScope::Fleet, &announcement)
        .expect("the broadcast is queued");
    wait_until("the broadcast arrives once on every other host", || {
        let mut names = receivers.lock().expect("no panic").clone();
        names.sort();
        names
            == [
                HostName::new("host-1"),
                HostName::new("host-2"),
                other_domain_host.clone(),
            ]
    })
    .await;
    let leaving = hosts.remove(1);
    leaving.stop().await;
    wait_until("the stopped host has left the member table", || {
        mesh_of(&hosts[0]).members().live().count() == 2
    })
    .await;
    for host in hosts {
        host.stop().await;
    }
}
