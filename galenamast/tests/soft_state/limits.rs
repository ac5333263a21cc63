//! The shares of a workspace's limits that hosts take never sum to more than the allowed bound.

use std::collections::{BTreeMap, BTreeSet};

use galenamast::coordination::{
    AdmissionControl, DOMAIN_TOLERANCE, DemandDigest, DomainDemand, SHARE_WINDOW, ShareAllocator,
};
use galenamast::state::{
    DomainName, HostName, QualityOrigin, TimePoint, WorkspaceLimits, WorkspaceName,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of hosts in each failure domain.
const HOSTS: usize = 3;
/// Names of the failure domains.
const DOMAINS: [&str; 3] = ["rajkot", "jamnagar", "bhavnagar"];
/// Greatest delay of a message in seconds: two delays, with a second added to each, stay within
/// the share window.
const MAX_DELAY: u64 = 3;

/// A message in transit.
enum DemandMessage {
    Host(DemandDigest),
    Domain(DomainDemand),
}

/// Index of the failure domain of a host, and index of the host in it.
type HostPlace = (usize, usize);
/// Messages with their recipients.
type AddressedMessages = Vec<(HostPlace, DemandMessage)>;

/// Share allocators of the hosts of three failure domains, in memory and on virtual time.
struct ShareFleet {
    allocators: BTreeMap<HostPlace, ShareAllocator>,
    demand: BTreeMap<HostPlace, u32>,
    messages: BTreeMap<u64, AddressedMessages>,
    second: u64,
    generator: ChaCha8Rng,
    /// Index of the failure domain that is cut off from the others.
    isolated_domain: Option<usize>,
    /// Whether hosts send their demand to each other.
    sharing: bool,
}

fn workspace() -> WorkspaceName {
    "counter".into()
}

fn host_name(place: HostPlace) -> HostName {
    HostName::new(&format!("{}-{}", DOMAINS[place.0], place.1))
}

impl ShareFleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Self {
            allocators: BTreeMap::new(),
            demand: BTreeMap::new(),
            messages: BTreeMap::new(),
            second: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
            isolated_domain: None,
            sharing: true,
        };
        for domain in 0..DOMAINS.len() {
            for host in 0..HOSTS {
                fleet.start((domain, host), 1);
            }
        }
        fleet
    }

    fn now(&self) -> TimePoint {
        TimePoint::from_millis(self.second * 1_000)
    }

    /// Starts or restarts a host.
    fn start(&mut self, place: HostPlace, incarnation: u64) {
        let origin = QualityOrigin {
            host: host_name(place),
            incarnation,
        };
        let allocator = ShareAllocator::new(origin, DOMAINS[place.0].into(), self.now());
        self.allocators.insert(place, allocator);
        self.demand.entry(place).or_default();
        self.update_members(place);
    }

    /// Sets the live hosts and reachable failure domains on a host.
    fn update_members(&mut self, place: HostPlace) {
        let hosts: BTreeSet<HostName> = (0..HOSTS).map(|host| host_name((place.0, host))).collect();
        let others = (0..DOMAINS.len()).filter(|domain| *domain != place.0);
        let isolated_domain = self.isolated_domain;
        let reachable = others
            .filter(|domain| isolated_domain != Some(place.0) && isolated_domain != Some(*domain));
        let contacted: BTreeSet<DomainName> =
            reachable.map(|index| DOMAINS[index].into()).collect();
        let now = self.now();
        let allocator = self.allocators.get_mut(&place).expect("known");
        allocator.set_members(&hosts, contacted, now);
    }

    /// Advances the virtual time by one second.
    fn step(&mut self) {
        self.second += 1;
        let now = self.now();
        for (place, message) in self.messages.remove(&self.second).unwrap_or_default() {
            let allocator = self.allocators.get_mut(&place).expect("known");
            match message {
                DemandMessage::Host(digest) => allocator.merge_host_demand(&digest),
                DemandMessage::Domain(demand) => allocator.merge_domain_demand(&demand),
            }
        }
        let places: Vec<_> = self.allocators.keys().copied().collect();
        for place in places {
            self.update_members(place);
            let allocator = self.allocators.get_mut(&place).expect("known");
            (0..self.demand[&place]).for_each(|_| allocator.observe(&workspace()));
            let digest = allocator.tick(now);
            let summary = (place.1 == 0)
                .then(|| allocator.publish_domain_demand(now))
                .flatten();
            if !self.sharing {
                continue;
            }
            if let Some(digest) = digest {
                let near = (0..HOSTS).map(|host| (place.0, host));
                for to in near.filter(|to| *to != place).collect::<Vec<_>>() {
                    self.send(to, DemandMessage::Host(digest.clone()));
                }
            }
            let Some(demand) = summary else { continue };
            for domain in 0..DOMAINS.len() {
                let severed =
                    self.isolated_domain == Some(domain) || self.isolated_domain == Some(place.0);
                if domain == place.0 || severed {
                    continue;
                }
                for host in 0..HOSTS {
                    self.send((domain, host), DemandMessage::Domain(demand.clone()));
                }
            }
        }
    }

    /// Sends a message with a random delay.
    fn send(&mut self, to: HostPlace, message: DemandMessage) {
        let delay = self.generator.random_range(1..=MAX_DELAY);
        let arrival = self.messages.entry(self.second + delay).or_default();
        arrival.push((to, message));
    }

    /// Returns the sum of the shares of all hosts.
    fn total_share(&self) -> f64 {
        let now = self.now();
        let allocators = self.allocators.values();
        allocators
            .map(|allocator| allocator.share(&workspace(), now))
            .sum()
    }

    fn share(&self, place: HostPlace) -> f64 {
        self.allocators[&place].share(&workspace(), self.now())
    }

    fn run(&mut self, seconds: u64) {
        (0..seconds).for_each(|_| self.step());
    }
}

#[test]
fn shares_never_sum_to_more_than_the_bound() {
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let config = Config {
        failure_persistence: None,
        cases: 60,
        ..Default::default()
    };
    let mut runner = TestRunner::new_with_rng(config, generator);
    let change = (1..15_u64, 0..DOMAINS.len(), 0..HOSTS, 0..200_u32);
    let strategy = (any::<u64>(), prop::collection::vec(change, 1..30));
    let result = runner.run(&strategy, |(seed, changes)| {
        let mut fleet = ShareFleet::new(seed);
        for (wait, domain, host, demand) in changes {
            fleet.demand.insert((domain, host), demand);
            for _ in 0..wait {
                fleet.step();
                let total = fleet.total_share();
                prop_assert!(total <= 1.0 + DOMAIN_TOLERANCE, "{total}");
            }
        }
        Ok(())
    });
    result.expect("the property holds");
}

#[test]
fn without_shared_demand_the_shares_exceed_the_bound() {
    let mut fleet = ShareFleet::new(1);
    fleet.sharing = false;
    fleet.demand.values_mut().for_each(|demand| *demand = 20);
    fleet.run(60);
    assert!(fleet.total_share() > 2.0, "{}", fleet.total_share());
}

#[test]
fn shares_follow_the_demand() {
    let mut fleet = ShareFleet::new(2);
    fleet.demand.insert((0, 0), 90);
    fleet.demand.insert((2, 1), 30);
    fleet.run(60);
    let (busy, moderate, idle) = (
        fleet.share((0, 0)),
        fleet.share((2, 1)),
        fleet.share((1, 1)),
    );
    assert!((busy / moderate - 3.0).abs() < 1.0, "{busy} and {moderate}");
    assert!(busy + moderate > 0.85, "{busy} and {moderate}");
    assert!(
        idle > 0.01 && idle < 0.02,
        "{idle}: a tenth of the limit is divided evenly"
    );
}

#[test]
fn a_cut_off_domain_keeps_its_share_and_the_others_do_not_take_it() {
    let mut fleet = ShareFleet::new(3);
    fleet.demand.values_mut().for_each(|demand| *demand = 20);
    fleet.run(60);
    let before = fleet.share((2, 0));
    fleet.isolated_domain = Some(2);
    fleet.run(600);
    let after = fleet.share((2, 0));
    assert!((before - after).abs() < 0.02, "{before} and {after}");
    let total = fleet.total_share();
    assert!(total <= 1.0 + DOMAIN_TOLERANCE && total > 0.85, "{total}");
}

#[test]
fn a_new_host_starts_from_an_even_share() {
    let mut fleet = ShareFleet::new(4);
    fleet.demand.values_mut().for_each(|demand| *demand = 20);
    fleet.run(60);
    fleet.start((0, 1), 2);
    let even = 1.0 / (HOSTS * DOMAINS.len()) as f64;
    let first = fleet.share((0, 1));
    // Until it hears from the other domains, it assumes that they have the size of its own.
    assert!((first - even).abs() < 0.001, "{first}");
    for _ in 0..SHARE_WINDOW.as_secs() {
        fleet.step();
        let total = fleet.total_share();
        assert!(total <= 1.0 + DOMAIN_TOLERANCE + 2.0 * even, "{total}");
    }
}

/// Guards against a fault of a host that replaced another: between the end of its first window and
/// the time that its published demand covered, it counted no demand of its own and refused nearly
/// all requests for a second.
#[test]
fn a_replacement_host_never_falls_far_below_an_even_share() {
    let mut fleet = ShareFleet::new(4);
    fleet.demand.values_mut().for_each(|demand| *demand = 20);
    fleet.run(60);
    fleet.start((0, 1), 2);
    let even = 1.0 / (HOSTS * DOMAINS.len()) as f64;
    for second in 1..=3 * SHARE_WINDOW.as_secs() {
        fleet.step();
        let share = fleet.share((0, 1));
        assert!(share > 0.7 * even, "after {second} s: {share}");
        let total = fleet.total_share();
        assert!(total <= 1.0 + DOMAIN_TOLERANCE + 2.0 * even, "{total}");
    }
}

#[test]
fn admission_applies_the_share_to_the_limits() {
    let limits = WorkspaceLimits {
        max_in_flight: 9,
        requests_per_second: 9.0,
        ..Default::default()
    };
    let admitted = |shares: ShareAllocator| {
        let mut control = AdmissionControl::new(shares);
        let now = TimePoint::from_millis(1_000);
        let tries = (0..20).filter(|_| control.admit(&workspace(), &limits, now).is_ok());
        tries.count()
    };
    assert_eq!(admitted(ShareAllocator::default()), 9);
    let fleet = ShareFleet::new(5);
    let allocator = fleet.allocators[&(0, 0)].clone();
    assert_eq!(admitted(allocator), 1, "the share of one of nine hosts");
}
