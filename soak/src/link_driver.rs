//! Draws faults of links from a seed and carries them out.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::fault_event::FaultKind;
use crate::host_link::HostLink;
use crate::host_links::HostLinks;
use crate::link_fault::LinkFault;
use crate::soak_state::SoakState;

/// Ways in which hosts are partitioned from all servers.
const PARTITIONS: [LinkFault; 3] = [LinkFault::Cut, LinkFault::ResetRefuse, LinkFault::Refuse];
/// Ways in which one link fails.
const FAULTS: [LinkFault; 8] = [
    LinkFault::Delay(300),
    LinkFault::Reset,
    LinkFault::Mute,
    LinkFault::CutThere,
    LinkFault::CutBack,
    LinkFault::Cut,
    LinkFault::ResetRefuse,
    LinkFault::Refuse,
];

/// Has links fail in series and overlapping.
#[derive(Debug)]
pub(crate) struct LinkDriver {
    state: Arc<SoakState>,
    links: Vec<HostLinks>,
    // Links on which a fault is in progress.
    taken: Mutex<Vec<(usize, HostLink)>>,
}

impl LinkDriver {
    /// Creates a driver for the links of all hosts, in their order.
    pub(crate) fn new(state: Arc<SoakState>, links: Vec<HostLinks>) -> Self {
        Self {
            state,
            links,
            taken: Mutex::new(Vec::new()),
        }
    }

    /// Carries out faults; never returns.
    pub(crate) async fn run(&self, seed: u64) {
        let random = |number| ChaCha8Rng::seed_from_u64(seed.wrapping_add(number));
        tokio::join!(
            self.partition_hosts(random(11)),
            self.fail_links(random(12))
        );
    }

    /// Partitions hosts from all servers: those of a failure domain, or some of several.
    async fn partition_hosts(&self, mut random: ChaCha8Rng) {
        loop {
            sleep(Duration::from_secs_f64(random.random_range(0.5..3.0))).await;
            let mut hosts: Vec<usize> = (0..self.links.len()).collect();
            hosts.shuffle(&mut random);
            if random.random_bool(0.6) {
                let zone = &self.state.hosts[hosts[0]].zone;
                hosts.retain(|host| self.state.hosts[*host].zone == *zone);
            } else {
                hosts.truncate(random.random_range(1..=hosts.len().div_ceil(2)));
            }
            let fault = PARTITIONS[random.random_range(0..PARTITIONS.len())];
            let lasts = Duration::from_secs_f64(random.random_range(3.0..11.0));
            let cuts = hosts
                .into_iter()
                .map(|host| self.fail(host, HostLink::Servers, fault, lasts));
            join_all(cuts).await;
        }
    }

    /// Has single links fail, up to three at once.
    async fn fail_links(&self, random: ChaCha8Rng) {
        let mut seeds = random;
        let series = [(); 3].map(|()| ChaCha8Rng::from_rng(&mut seeds));
        join_all(series.into_iter().map(|random| self.fail_series(random))).await;
    }

    /// Has links fail one after the other.
    async fn fail_series(&self, mut random: ChaCha8Rng) {
        loop {
            sleep(Duration::from_secs_f64(random.random_range(2.0..9.0))).await;
            let host = random.random_range(0..self.links.len());
            let server = random.random_range(0..self.links[host].server_count());
            let links = [
                HostLink::Callers,
                HostLink::Store,
                HostLink::Server(server),
                HostLink::Server(server),
                HostLink::Servers,
            ];
            let link = *links.choose(&mut random).unwrap_or(&HostLink::Store);
            let fault = FAULTS[random.random_range(0..FAULTS.len())];
            let lasts = Duration::from_secs_f64(random.random_range(0.2..5.0));
            self.fail(host, link, fault, lasts).await;
        }
    }

    /// Has a link fail for a while, unless a fault on it is in progress.
    async fn fail(&self, host: usize, link: HostLink, fault: LinkFault, lasts: Duration) {
        if !self.take(host, link) {
            return;
        }
        self.state
            .note(FaultKind::LinkFails(link, fault), Some(host));
        self.links[host].set_fault(link, Some(fault));
        sleep(lasts).await;
        self.links[host].set_fault(link, None);
        self.state.note(FaultKind::LinkHeals(link), Some(host));
        let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        taken.retain(|other| *other != (host, link));
    }

    /// Takes a link for a fault; returns `false` if one is in progress on it.
    fn take(&self, host: usize, link: HostLink) -> bool {
        let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        let is_free = !taken
            .iter()
            .any(|(other, other_link)| *other == host && other_link.overlaps(link));
        if is_free {
            taken.push((host, link));
        }
        is_free
    }
}
