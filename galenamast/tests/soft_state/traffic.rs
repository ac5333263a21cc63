//! Bytes per second that one entry host sends for membership and soft state, by fleet size.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use galenamast::coordination::{
    DemandDigest, DemandEntry, DomainDemand, GossipItem, GossipQueue, LoadSettings, MemberAction,
    MemberEvent, MemberMachine, MemberRecord, MemberSettings, MemberStatus, PeerScope, PoolSummary,
    QualityUpdate, ServerTag, ShareAllocator,
};
use galenamast::protocol::{PeerMessage, SoftState, encode_frame};
use galenamast::state::{HostName, QualityOrigin, ServerName, TimePoint, VersionKey};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::load_fleet::{LoadFleet, OVERHEAD_BYTES};
use crate::quality::{QualityHost, answer};

/// Greatest rate of all control traffic that a host sends, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 19_000.0;
/// Number of failure domains in the fleet.
const DOMAINS: usize = 5;
/// Number of backend servers in each failure domain.
const SERVERS_PER_DOMAIN: usize = 120;
/// Greatest size of the soft state in one message, in bytes.
const MAX_GOSSIP_BYTES: usize = 1_050;
/// Seed of the random choices.
const SEED: u64 = 7;

/// Returns the bytes per second that a host sends to share server loads.
fn load_rate(hosts: usize) -> f64 {
    let mut fleet = LoadFleet::new(hosts, SERVERS_PER_DOMAIN, LoadSettings::default());
    fleet.load_changes = true;
    fleet.run(Duration::from_secs(5));
    fleet.bytes = 0;
    fleet.run(Duration::from_secs(20));
    fleet.bytes as f64 / 20.0 / hosts as f64
}

/// Returns the bytes per second that a host sends for membership.
fn member_rate(hosts: usize) -> f64 {
    let address = |index: usize| SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
    // The last members are contacts in the other failure domains, two in each.
    let count = hosts + 2 * (DOMAINS - 1);
    let mut machines: Vec<MemberMachine> = (0..count)
        .map(|index| {
            let domain = if index < hosts {
                0
            } else {
                1 + (index - hosts) / 2
            };
            let own = MemberRecord {
                name: HostName::new(&format!("domain-{domain}-host-{index:02}")),
                domain: format!("domain-{domain}").as_str().into(),
                address: address(index),
                incarnation: 1_700_000_000_000,
                status: MemberStatus::Alive,
            };
            MemberMachine::new(own, MemberSettings::default(), SEED + index as u64)
        })
        .collect();
    let mut in_transit: Vec<(usize, MemberEvent)> = (1..count)
        .map(|index| (index, MemberEvent::Contact(address(0))))
        .collect();
    let mut bytes = 0;
    for step in 0..900_u64 {
        let now = TimePoint::from_millis(step * 100);
        let mut events = std::mem::take(&mut in_transit);
        events.extend((0..count).map(|index| (index, MemberEvent::Tick)));
        for (index, event) in events {
            for action in machines[index].handle(event, now) {
                let MemberAction::Send(target, message) = action else {
                    continue;
                };
                let size = encode_frame(&PeerMessage::Member(message.clone()));
                if index < hosts && step >= 600 {
                    bytes += size.expect("it encodes").len() + OVERHEAD_BYTES;
                }
                let to = usize::from(target.address.port() - 1_000);
                in_transit.push((to, MemberEvent::Received(message)));
            }
        }
    }
    bytes as f64 / 30.0 / hosts as f64
}

/// Gossip queues of the hosts of one failure domain.
struct GossipFleet {
    queues: Vec<GossipQueue>,
    generator: ChaCha8Rng,
    serial: u64,
    bytes: usize,
}

impl GossipFleet {
    /// Queues an item on the host that publishes it, or on the first host that receives it from
    /// another failure domain.
    fn publish(&mut self, host: usize, domain: usize, scope: PeerScope, state: &SoftState) {
        let payload = encode_frame(state).expect("it encodes");
        assert!(payload.len() <= 900, "an item of {} bytes", payload.len());
        self.serial += 1;
        let hosts = self.queues.len();
        let item = GossipItem {
            origin: HostName::new(&format!("domain-{domain}-host-{host:02}")),
            domain: format!("domain-{domain}").as_str().into(),
            serial: (1_700_000_000_000 << 20) + self.serial,
            scope,
            payload,
        };
        self.queues[host].insert(item, hosts);
    }

    /// Lets every host send its pending items to two hosts of its domain and one of another.
    fn forward_pending(&mut self) {
        let hosts = self.queues.len();
        for from in 0..hosts {
            let mut others: Vec<usize> = (0..hosts).filter(|other| *other != from).collect();
            others.shuffle(&mut self.generator);
            for to in others.into_iter().take(2) {
                let items = self.queues[from].take(false, MAX_GOSSIP_BYTES);
                self.count_message(&items);
                for item in items {
                    self.queues[to].insert(item, hosts);
                }
            }
            let items = self.queues[from].take(true, MAX_GOSSIP_BYTES);
            self.count_message(&items);
        }
    }

    /// Adds the size of a message to the bytes sent.
    fn count_message(&mut self, items: &[GossipItem]) {
        if !items.is_empty() {
            let message = PeerMessage::Gossip(items.to_vec());
            self.bytes += encode_frame(&message).expect("it encodes").len() + OVERHEAD_BYTES;
        }
    }
}

/// Returns the pool summaries of a failure domain.
fn summaries(domain: usize) -> Vec<SoftState> {
    let tag = |index| ServerTag::of_name(&ServerName::new(&format!("runner-{domain}-{index}")));
    let tags: Vec<ServerTag> = (0..SERVERS_PER_DOMAIN).map(tag).collect();
    let parts = tags.chunks(100).enumerate();
    let summary = |(part, servers): (usize, &[ServerTag])| PoolSummary {
        domain: format!("domain-{domain}").as_str().into(),
        pool: "translate".into(),
        version: Some(VersionKey::new("translate", "v12")),
        part: part as u8,
        running: 900,
        waiting: 20,
        servers: servers.to_vec(),
    };
    parts.map(|part| SoftState::Pool(summary(part))).collect()
}

/// Returns the demand of ten workspaces in a failure domain.
fn domain_demand(domain: usize, sequence: u64) -> SoftState {
    let entry = |index| DemandEntry {
        workspace: format!("workspace-{index}").as_str().into(),
        rate: 10.0,
    };
    SoftState::DomainDemand(DomainDemand {
        domain: format!("domain-{domain}").as_str().into(),
        hosts: 80,
        digest: DemandDigest {
            origin: QualityOrigin {
                host: "domain-1-host-00".into(),
                incarnation: 1_700_000_000_000,
            },
            sequence,
            entries: (0..10).map(entry).collect(),
        },
    })
}

/// Returns the bytes per second that a host sends for pool summaries, quality and demand.
fn gossip_rate(hosts: usize) -> f64 {
    let fleet = hosts * DOMAINS;
    let mut generator = ChaCha8Rng::seed_from_u64(SEED);
    let mut quality_hosts: Vec<QualityHost> = (0..fleet).map(QualityHost::new).collect();
    let mut allocators: BTreeMap<usize, ShareAllocator> = (0..hosts)
        .map(|host| {
            let origin = QualityOrigin {
                host: HostName::new(&format!("domain-0-host-{host:02}")),
                incarnation: 1_700_000_000_000,
            };
            let mut allocator = ShareAllocator::new(origin, "domain-0".into(), TimePoint::ZERO);
            let names = (0..hosts).map(|host| HostName::new(&format!("domain-0-host-{host:02}")));
            allocator.set_members(&names.collect(), Default::default(), TimePoint::ZERO);
            (host, allocator)
        })
        .collect();
    let mut gossip = GossipFleet {
        queues: vec![GossipQueue::default(); hosts],
        generator: ChaCha8Rng::seed_from_u64(SEED),
        serial: 0,
        bytes: 0,
    };
    for second in 0..360_u64 {
        if second == 180 {
            gossip.bytes = 0;
        }
        let now = TimePoint::from_millis(second * 1_000);
        for (index, quality_host) in quality_hosts.iter_mut().enumerate() {
            // The hosts start within the first two minutes.
            if second * 5 < (index as u64 * 7_919) % 600 {
                continue;
            }
            let version = if generator.random_bool(0.5) {
                "v1"
            } else {
                "v2"
            };
            quality_host.observe(&answer(version, 0.9), now);
            let (host, domain) = (index % hosts, index / hosts);
            for update in quality_host.publish_in_fleet(fleet, now) {
                let state = match update {
                    QualityUpdate::Cells(digest) => SoftState::Quality(digest),
                    QualityUpdate::Evidence(evidence) => SoftState::Evidence(evidence),
                    QualityUpdate::Counts(counts) => SoftState::Ratings(counts),
                };
                gossip.publish(host, domain, PeerScope::FleetPeriodic, &state);
            }
        }
        for (host, allocator) in &mut allocators {
            for _ in 0..generator.random_range(0..10) {
                let workspace = format!("workspace-{}", generator.random_range(0..10));
                allocator.observe(&workspace.as_str().into());
            }
            if let Some(digest) = allocator.tick(now) {
                gossip.publish(
                    *host,
                    0,
                    PeerScope::DomainPeriodic,
                    &SoftState::Demand(digest),
                );
            }
        }
        for domain in 0..DOMAINS {
            if second % 10 == domain as u64 {
                for summary in summaries(domain) {
                    gossip.publish(0, domain, PeerScope::FleetPeriodic, &summary);
                }
            }
            if second % 5 == 0 {
                let demand = domain_demand(domain, second);
                gossip.publish(0, domain, PeerScope::FleetPeriodic, &demand);
            }
        }
        (0..10).for_each(|_| gossip.forward_pending());
    }
    gossip.bytes as f64 / 180.0 / hosts as f64
}

#[test]
fn control_traffic_stays_within_its_rate_at_eighty_hosts() {
    println!(
        "| hosts per domain | fleet | membership | loads | summaries, quality, demand | all |"
    );
    for hosts in [10, 40, 80] {
        let (member, load, gossip) = (member_rate(hosts), load_rate(hosts), gossip_rate(hosts));
        let total = member + load + gossip;
        let fleet = hosts * DOMAINS;
        println!("| {hosts} | {fleet} | {member:.0} | {load:.0} | {gossip:.0} | {total:.0} |");
        assert!(
            total <= MAX_BYTES_PER_SECOND,
            "{total} bytes per second at {hosts} hosts"
        );
    }
}
