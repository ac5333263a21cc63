//! Divides the limits of a workspace among entry hosts by demand.
//!
//! For itself, a host counts the lowest demand that it published within the last window; for other
//! hosts, it counts the last demand that it received. As long as every change arrives within the
//! window, each host counts the others at no less than they count themselves, so the shares never
//! sum to more than the limit.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::coordination::demand_digest::{DemandDigest, DomainDemand};
use crate::coordination::demand_publisher::DemandPublisher;
use crate::state::{
    DomainName, HostName, QualityOrigin, TimePoint, WorkspaceLimits, WorkspaceName,
};

/// Time within which a change of demand reaches all hosts.
pub const SHARE_WINDOW: Duration = Duration::from_secs(10);
/// Time after which the first published demand of a workspace has reached all hosts: two messages
/// of three seconds each and two ticks. It is shorter than the window, so that a host that
/// publishes within two seconds of its start goes from the even share to its own without a gap.
const FIRST_PUBLICATION_TIME: Duration = Duration::from_secs(8);
/// Time for which the demand of a departed host still counts.
pub const DEPARTED_HOST_RETENTION: Duration = Duration::from_secs(60);
/// Fraction of a limit that is divided evenly among all hosts, regardless of demand.
const EVEN_FRACTION: f64 = 0.1;
/// Relative change of a host's demand that is not published. The host keeps counting the demand
/// that it published last.
const HOST_TOLERANCE: f64 = 0.25;
/// Relative change of a failure domain's demand that is not published.
pub const DOMAIN_TOLERANCE: f64 = 0.05;
/// Weight of the last second in the moving average of a workspace's demand.
const LAST_SECOND_WEIGHT: f64 = 0.3;

/// Demand received from another host of the local failure domain.
#[derive(Clone, Debug, Default)]
struct HostDemand {
    incarnation: u64,
    /// Sequence number of the digest and requests per second, by workspace.
    rates: BTreeMap<WorkspaceName, (u64, f64)>,
    departed_at: Option<TimePoint>,
}

/// Demand received from another failure domain.
#[derive(Clone, Debug, Default)]
struct RemoteDemand {
    hosts: u32,
    publisher: QualityOrigin,
    /// Sequence number of the digest and requests per second, by workspace.
    rates: BTreeMap<WorkspaceName, (u64, f64)>,
}

/// Demand of a workspace on this host.
#[derive(Clone, Debug, Default)]
struct OwnDemand {
    /// Requests counted since the last tick.
    offered: u32,
    /// Moving average in requests per second.
    rate: f64,
    /// Published rates with the time of publication, oldest first.
    published: VecDeque<(TimePoint, f64)>,
}

/// Demand of all known hosts, from which this host's shares are computed.
#[derive(Clone, Debug, Default)]
pub struct ShareAllocator {
    origin: QualityOrigin,
    domain: DomainName,
    started: Option<TimePoint>,
    own: BTreeMap<WorkspaceName, OwnDemand>,
    hosts: BTreeMap<HostName, HostDemand>,
    domains: BTreeMap<DomainName, RemoteDemand>,
    /// Number of live hosts in the local failure domain.
    members: usize,
    reachable: BTreeSet<DomainName>,
    publisher: DemandPublisher,
    domain_publisher: DemandPublisher,
}

impl ShareAllocator {
    /// Creates the allocator of a host that starts now.
    pub fn new(origin: QualityOrigin, domain: DomainName, now: TimePoint) -> Self {
        Self {
            origin,
            domain,
            started: Some(now),
            publisher: DemandPublisher::new(HOST_TOLERANCE),
            domain_publisher: DemandPublisher::new(DOMAIN_TOLERANCE),
            ..Default::default()
        }
    }

    /// Counts a request of a workspace, whether or not it is admitted.
    pub fn observe(&mut self, workspace: &WorkspaceName) {
        self.own.entry(workspace.clone()).or_default().offered += 1;
    }

    /// Replaces the live hosts of the local failure domain and the other domains with a live
    /// contact.
    pub fn set_members(
        &mut self,
        hosts: &BTreeSet<HostName>,
        reachable: BTreeSet<DomainName>,
        now: TimePoint,
    ) {
        self.members = hosts.len();
        self.reachable = reachable;
        for (host, demand) in &mut self.hosts {
            demand.departed_at = match demand.departed_at {
                _ if hosts.contains(host) => None,
                Some(at) => Some(at),
                None => Some(now),
            };
        }
        self.hosts.retain(|_, demand| {
            let departed_at = demand.departed_at;
            departed_at.is_none_or(|at| now.since(at) < DEPARTED_HOST_RETENTION)
        });
    }

    /// Updates the demand once per second and returns the digest to send to the local failure
    /// domain.
    pub fn tick(&mut self, now: TimePoint) -> Option<DemandDigest> {
        let mut rates = BTreeMap::new();
        for (workspace, own) in &mut self.own {
            let last = f64::from(std::mem::take(&mut own.offered));
            // The average starts at the first second's value; from zero it would be too low for
            // long.
            own.rate = if own.rate > 0.0 {
                (1.0 - LAST_SECOND_WEIGHT) * own.rate + LAST_SECOND_WEIGHT * last
            } else {
                last
            };
            rates.insert(workspace.clone(), own.rate);
        }
        let digest = self
            .publisher
            .publish(&self.origin, &rates, self.members, now)?;
        for entry in &digest.entries {
            let own = self.own.entry(entry.workspace.clone()).or_default();
            own.published.push_back((now, f64::from(entry.rate)));
            // The rate that was in force at the start of the window is kept.
            while own
                .published
                .get(1)
                .is_some_and(|(at, _)| now.since(*at) > SHARE_WINDOW)
            {
                own.published.pop_front();
            }
        }
        Some(digest)
    }

    /// Returns the demand of the local failure domain to send to the others, if any is due.
    ///
    /// Only the host that sums up the demand of the failure domain calls this.
    pub fn publish_domain_demand(&mut self, now: TimePoint) -> Option<DomainDemand> {
        let mut names: BTreeSet<WorkspaceName> = self.own.keys().cloned().collect();
        names.extend(
            self.hosts
                .values()
                .flat_map(|demand| demand.rates.keys().cloned()),
        );
        let rates: BTreeMap<WorkspaceName, f64> = names
            .into_iter()
            .map(|name| {
                let own = self.own.get(&name).and_then(|own| own.published.back());
                let rate = own.map_or(0.0, |(_, rate)| *rate) + self.demand_in_domain(&name);
                (name, rate)
            })
            .collect();
        let domains = 1 + self.domains.len().max(self.reachable.len());
        let digest = self
            .domain_publisher
            .publish(&self.origin, &rates, domains, now)?;
        Some(DomainDemand {
            domain: self.domain.clone(),
            hosts: u32::try_from(self.members).unwrap_or(u32::MAX),
            digest,
        })
    }

    /// Merges the demand of another host of the local failure domain.
    pub fn merge_host_demand(&mut self, digest: &DemandDigest) {
        let origin = &digest.origin;
        if origin.host == self.origin.host {
            return;
        }
        let demand = self.hosts.entry(origin.host.clone()).or_default();
        if origin.incarnation < demand.incarnation {
            return;
        }
        if origin.incarnation > demand.incarnation {
            demand.incarnation = origin.incarnation;
            demand.rates.clear();
        }
        merge_entries(&mut demand.rates, digest);
    }

    /// Merges the demand of another failure domain.
    pub fn merge_domain_demand(&mut self, received: &DomainDemand) {
        if received.domain == self.domain {
            return;
        }
        let demand = self.domains.entry(received.domain.clone()).or_default();
        demand.hosts = received.hosts;
        if demand.publisher != received.digest.origin {
            // Another host publishes for the domain now, with its own sequence numbers.
            demand.publisher = received.digest.origin.clone();
            for (sequence, _) in demand.rates.values_mut() {
                *sequence = 0;
            }
        }
        merge_entries(&mut demand.rates, &received.digest);
    }

    /// Returns this host's share of the limits of a workspace.
    ///
    /// ```
    /// use galenamast::coordination::ShareAllocator;
    /// use galenamast::state::{TimePoint, WorkspaceLimits};
    ///
    /// // A host that knows no other host gets the whole limit.
    /// let allocator = ShareAllocator::default();
    /// let limits = WorkspaceLimits { max_in_flight: 8, ..Default::default() };
    /// assert_eq!(allocator.limits(&"alta".into(), &limits, TimePoint::ZERO).max_in_flight, 8);
    /// ```
    pub fn limits(
        &self,
        workspace: &WorkspaceName,
        limits: &WorkspaceLimits,
        now: TimePoint,
    ) -> WorkspaceLimits {
        let share = self.share(workspace, now);
        let in_flight = (f64::from(limits.max_in_flight) * share + 1e-9) as u32;
        WorkspaceLimits {
            requests_per_second: limits.requests_per_second * share,
            // Every host may run one request at a time, however small its share.
            max_in_flight: in_flight.max(limits.max_in_flight.min(1)),
            ..*limits
        }
    }

    /// Returns this host's share of a workspace's limits, from 0 to 1.
    ///
    /// It is the even share during the first window after the start and while there is no demand.
    pub fn share(&self, workspace: &WorkspaceName, now: TimePoint) -> f64 {
        let even = 1.0 / self.known_hosts().max(1) as f64;
        let is_new = self
            .started
            .is_some_and(|started| now.since(started) <= SHARE_WINDOW);
        let own = self.lowest_published(workspace, now);
        let others = self.demand_in_domain(workspace) + self.demand_elsewhere(workspace);
        if is_new || own + others <= 0.0 {
            return even;
        }
        (1.0 - EVEN_FRACTION) * own / (own + others) + EVEN_FRACTION * even
    }

    /// Returns the number of hosts in all failure domains. A reachable domain that has sent no
    /// demand is assumed to have as many hosts as the local one.
    fn known_hosts(&self) -> usize {
        let unknown = self.reachable.iter();
        let unknown = unknown.filter(|domain| !self.domains.contains_key(*domain));
        let known = self.domains.values().map(|demand| demand.hosts as usize);
        self.members * (1 + unknown.count()) + known.sum::<usize>()
    }

    /// Returns the lowest published demand that was in force at any time within the window.
    ///
    /// It is zero until the first publication has reached all hosts.
    fn lowest_published(&self, workspace: &WorkspaceName, now: TimePoint) -> f64 {
        let Some(own) = self.own.get(workspace) else {
            return 0.0;
        };
        let mut lowest: Option<f64> = None;
        for (index, (at, rate)) in own.published.iter().enumerate() {
            let next = own.published.get(index + 1).map(|(next, _)| *next);
            let expired = next.is_some_and(|next| now.since(next) > SHARE_WINDOW);
            if expired {
                continue;
            }
            if index == 0 && now.since(*at) <= FIRST_PUBLICATION_TIME {
                return 0.0;
            }
            lowest = Some(lowest.map_or(*rate, |lowest| lowest.min(*rate)));
        }
        lowest.unwrap_or_default()
    }

    /// Returns the demand received from the other hosts of the local failure domain.
    fn demand_in_domain(&self, workspace: &WorkspaceName) -> f64 {
        let rates = self.hosts.values().map(|demand| &demand.rates);
        rates
            .filter_map(|rates| rates.get(workspace))
            .map(|(_, rate)| rate)
            .sum()
    }

    /// Returns the demand received from the other failure domains, regardless of its age.
    fn demand_elsewhere(&self, workspace: &WorkspaceName) -> f64 {
        let rates = self.domains.values().map(|demand| &demand.rates);
        rates
            .filter_map(|rates| rates.get(workspace))
            .map(|(_, rate)| rate)
            .sum()
    }
}

/// Merges the entries that are newer than the known ones, and skips rates that are not finite or
/// are negative.
fn merge_entries(rates: &mut BTreeMap<WorkspaceName, (u64, f64)>, digest: &DemandDigest) {
    for entry in &digest.entries {
        let rate = f64::from(entry.rate);
        if !rate.is_finite() || rate < 0.0 {
            continue;
        }
        let known = rates.entry(entry.workspace.clone()).or_default();
        if digest.sequence > known.0 {
            *known = (digest.sequence, rate);
        }
    }
}
