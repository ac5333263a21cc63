//! The shares that hosts take of a workspace's limits never sum to more than the bound.

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

/// Hosts in each of the three failure domains.
const HOSTS: usize = 3;
/// Failure domains.
const DOMAINS: [&str; 3] = ["rajkot", "jamnagar", "bhavnagar"];
/// Longest time of a message, so that two of them and a second each stay within the window.
const MAX_DELAY: u64 = 3;

/// A message on its way.
enum Mail {
    Host(DemandDigest),
    Domain(DomainDemand),
}

/// Failure domain and number of a host.
type HostPlace = (usize, usize);
/// Messages with their receivers.
type MailBag = Vec<(HostPlace, Mail)>;

/// Hosts of three failure domains in memory.
struct ShareFleet {
    boards: BTreeMap<HostPlace, ShareAllocator>,
    demand: BTreeMap<HostPlace, u32>,
    mail: BTreeMap<u64, MailBag>,
    second: u64,
    generator: ChaCha8Rng,
    /// Failure domain without contact to the others.
    cut: Option<usize>,
    /// Whether hosts tell each other anything.
    telling: bool,
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
            boards: BTreeMap::new(),
            demand: BTreeMap::new(),
            mail: BTreeMap::new(),
            second: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
            cut: None,
            telling: true,
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

    /// Starts a host, or starts it again.
    fn start(&mut self, place: HostPlace, incarnation: u64) {
        let origin = QualityOrigin {
            host: host_name(place),
            incarnation,
        };
        let board = ShareAllocator::new(origin, DOMAINS[place.0].into(), self.now());
        self.boards.insert(place, board);
        self.demand.entry(place).or_default();
        self.introduce(place);
    }

    /// Tells a host who is live.
    fn introduce(&mut self, place: HostPlace) {
        let hosts: BTreeSet<HostName> = (0..HOSTS).map(|host| host_name((place.0, host))).collect();
        let others = (0..DOMAINS.len()).filter(|domain| *domain != place.0);
        let cut = self.cut;
        let reached = others.filter(|domain| cut != Some(place.0) && cut != Some(*domain));
        let contacted: BTreeSet<DomainName> = reached.map(|index| DOMAINS[index].into()).collect();
        let now = self.now();
        let board = self.boards.get_mut(&place).expect("known");
        board.set_members(&hosts, contacted, now);
    }

    /// Lets a second pass.
    fn step(&mut self) {
        self.second += 1;
        let now = self.now();
        for (place, mail) in self.mail.remove(&self.second).unwrap_or_default() {
            let board = self.boards.get_mut(&place).expect("known");
            match mail {
                Mail::Host(digest) => board.merge_host_demand(&digest),
                Mail::Domain(told) => board.merge_domain_demand(&told),
            }
        }
        let places: Vec<_> = self.boards.keys().copied().collect();
        for place in places {
            self.introduce(place);
            let board = self.boards.get_mut(&place).expect("known");
            (0..self.demand[&place]).for_each(|_| board.observe(&workspace()));
            let digest = board.tick(now);
            let summary = (place.1 == 0)
                .then(|| board.publish_domain_demand(now))
                .flatten();
            if !self.telling {
                continue;
            }
            if let Some(digest) = digest {
                let near = (0..HOSTS).map(|host| (place.0, host));
                for to in near.filter(|to| *to != place).collect::<Vec<_>>() {
                    self.post(to, Mail::Host(digest.clone()));
                }
            }
            let Some(told) = summary else { continue };
            for domain in 0..DOMAINS.len() {
                let severed = self.cut == Some(domain) || self.cut == Some(place.0);
                if domain == place.0 || severed {
                    continue;
                }
                for host in 0..HOSTS {
                    self.post((domain, host), Mail::Domain(told.clone()));
                }
            }
        }
    }

    /// Sends a message, which takes a random time.
    fn post(&mut self, to: HostPlace, mail: Mail) {
        let delay = self.generator.random_range(1..=MAX_DELAY);
        let arrival = self.mail.entry(self.second + delay).or_default();
        arrival.push((to, mail));
    }

    /// Returns the sum of all shares.
    fn total_share(&self) -> f64 {
        let now = self.now();
        let boards = self.boards.values();
        boards.map(|board| board.share(&workspace(), now)).sum()
    }

    fn share(&self, place: HostPlace) -> f64 {
        self.boards[&place].share(&workspace(), self.now())
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
fn without_news_the_shares_would_exceed_the_bound() {
    let mut fleet = ShareFleet::new(1);
    fleet.telling = false;
    fleet.demand.values_mut().for_each(|demand| *demand = 20);
    fleet.run(60);
    assert!(fleet.total_share() > 2.0, "{}", fleet.total_share());
}

#[test]
fn demand_decides_the_shares() {
    let mut fleet = ShareFleet::new(2);
    fleet.demand.insert((0, 0), 90);
    fleet.demand.insert((2, 1), 30);
    fleet.run(60);
    let (busy, calm, idle) = (
        fleet.share((0, 0)),
        fleet.share((2, 1)),
        fleet.share((1, 1)),
    );
    assert!((busy / calm - 3.0).abs() < 1.0, "{busy} and {calm}");
    assert!(busy + calm > 0.85, "{busy} and {calm}");
    assert!(
        idle > 0.01 && idle < 0.02,
        "{idle}: a tenth is divided evenly"
    );
}

#[test]
fn a_cut_off_domain_keeps_its_share_and_the_others_leave_it() {
    let mut fleet = ShareFleet::new(3);
    fleet.demand.values_mut().for_each(|demand| *demand = 20);
    fleet.run(60);
    let before = fleet.share((2, 0));
    fleet.cut = Some(2);
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
    // Until it has heard of the others, it knows the sizes of their domains by its own.
    assert!((first - even).abs() < 0.001, "{first}");
    for _ in 0..SHARE_WINDOW.as_secs() {
        fleet.step();
        let total = fleet.total_share();
        assert!(total <= 1.0 + DOMAIN_TOLERANCE + 2.0 * even, "{total}");
    }
}

/// Between the end of its first window and the time for which it has told its demand, a host that
/// replaced another counted no demand of its own: for a second it refused nearly all requests.
#[test]
fn a_host_that_replaces_another_never_falls_far_below_an_even_share() {
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
fn admission_uses_the_share() {
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
    let board = fleet.boards[&(0, 0)].clone();
    assert_eq!(admitted(board), 1, "one of nine hosts");
}
