//! Each entry host's share of a workspace's limits, by demand.
//!
//! A host counts for itself the least demand that it told within the last window, and for others
//! what it heard last. As long as every change is heard within the window, each host thus counts
//! the others for at least what they count themselves, and the shares never sum to more than the
//! limit.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::coordination::demand_digest::{DemandDigest, DomainDemand};
use crate::coordination::demand_publisher::DemandPublisher;
use crate::state::{
    DomainName, HostName, QualityOrigin, TimePoint, WorkspaceLimits, WorkspaceName,
};

/// Time within which a change of demand is heard everywhere.
pub const SHARE_WINDOW: Duration = Duration::from_secs(10);
/// Time after which a workspace's first telling has been heard everywhere: two messages of three
/// seconds and two ticks. Shorter than the window, so that a host which is told of within two
/// seconds of its start goes from the even share to its own without a gap.
const FIRST_TELLING: Duration = Duration::from_secs(8);
/// Time for which the demand of a host that went away still counts.
pub const DEPARTED_HOST_RETENTION: Duration = Duration::from_secs(60);
/// Part of a limit that is divided evenly among all hosts, whatever the demand.
const EVEN_PART: f64 = 0.1;
/// Relative change of a host's demand that is not told; the host goes on with what it told.
const HOST_TOLERANCE: f64 = 0.25;
/// Relative change of a failure domain's demand that is not told.
pub const DOMAIN_TOLERANCE: f64 = 0.05;
/// Weight of the last second in the demand of a workspace.
const LAST_WEIGHT: f64 = 0.3;

/// Demand that another host or failure domain told.
#[derive(Clone, Debug, Default)]
struct HeardDemand {
    incarnation: u64,
    rates: BTreeMap<WorkspaceName, (u64, f64)>,
    away_since: Option<TimePoint>,
}

/// Demand of another failure domain.
#[derive(Clone, Debug, Default)]
struct HeardDomain {
    hosts: u32,
    teller: QualityOrigin,
    rates: BTreeMap<WorkspaceName, (u64, f64)>,
}

/// Demand of a workspace on this host.
#[derive(Clone, Debug, Default)]
struct OwnDemand {
    offered: u32,
    rate: f64,
    told: VecDeque<(TimePoint, f64)>,
}

/// Demand of all hosts, and what follows for the own share.
#[derive(Clone, Debug, Default)]
pub struct ShareAllocator {
    origin: QualityOrigin,
    domain: DomainName,
    started: Option<TimePoint>,
    own: BTreeMap<WorkspaceName, OwnDemand>,
    hosts: BTreeMap<HostName, HeardDemand>,
    domains: BTreeMap<DomainName, HeardDomain>,
    members: usize,
    contacted: BTreeSet<DomainName>,
    teller: DemandPublisher,
    domain_teller: DemandPublisher,
}

impl ShareAllocator {
    /// Creates the board of a host that starts now.
    pub fn new(origin: QualityOrigin, domain: DomainName, now: TimePoint) -> Self {
        Self {
            origin,
            domain,
            started: Some(now),
            teller: DemandPublisher::new(HOST_TOLERANCE),
            domain_teller: DemandPublisher::new(DOMAIN_TOLERANCE),
            ..Default::default()
        }
    }

    /// Counts a request of a workspace, whether or not it is admitted.
    pub fn observe(&mut self, workspace: &WorkspaceName) {
        self.own.entry(workspace.clone()).or_default().offered += 1;
    }

    /// Takes over the live hosts of the own failure domain and the domains with live contacts.
    pub fn set_members(
        &mut self,
        hosts: &BTreeSet<HostName>,
        contacted: BTreeSet<DomainName>,
        now: TimePoint,
    ) {
        self.members = hosts.len();
        self.contacted = contacted;
        for (host, heard) in &mut self.hosts {
            heard.away_since = match heard.away_since {
                _ if hosts.contains(host) => None,
                Some(since) => Some(since),
                None => Some(now),
            };
        }
        self.hosts.retain(|_, heard| {
            let away = heard.away_since;
            away.is_none_or(|since| now.since(since) < DEPARTED_HOST_RETENTION)
        });
    }

    /// Takes in a second's demand and returns what to tell the own failure domain.
    pub fn tick(&mut self, now: TimePoint) -> Option<DemandDigest> {
        let mut rates = BTreeMap::new();
        for (workspace, own) in &mut self.own {
            let last = f64::from(std::mem::take(&mut own.offered));
            // The first second is all that is known; a mean from zero would understate it for long.
            own.rate = if own.rate > 0.0 {
                (1.0 - LAST_WEIGHT) * own.rate + LAST_WEIGHT * last
            } else {
                last
            };
            rates.insert(workspace.clone(), own.rate);
        }
        let digest = self
            .teller
            .publish(&self.origin, &rates, self.members, now)?;
        for entry in &digest.entries {
            let own = self.own.entry(entry.workspace.clone()).or_default();
            own.told.push_back((now, f64::from(entry.rate)));
            // The value in force at the start of the window is kept.
            while own
                .told
                .get(1)
                .is_some_and(|(at, _)| now.since(*at) > SHARE_WINDOW)
            {
                own.told.pop_front();
            }
        }
        Some(digest)
    }

    /// Returns what to tell other failure domains, if this host is the one to do so.
    pub fn publish_domain_demand(&mut self, now: TimePoint) -> Option<DomainDemand> {
        let mut names: BTreeSet<WorkspaceName> = self.own.keys().cloned().collect();
        names.extend(
            self.hosts
                .values()
                .flat_map(|heard| heard.rates.keys().cloned()),
        );
        let rates: BTreeMap<WorkspaceName, f64> = names
            .into_iter()
            .map(|name| {
                let own = self.own.get(&name).and_then(|own| own.told.back());
                let rate = own.map_or(0.0, |(_, rate)| *rate) + self.heard_here(&name);
                (name, rate)
            })
            .collect();
        let domains = 1 + self.domains.len().max(self.contacted.len());
        let digest = self
            .domain_teller
            .publish(&self.origin, &rates, domains, now)?;
        Some(DomainDemand {
            domain: self.domain.clone(),
            hosts: u32::try_from(self.members).unwrap_or(u32::MAX),
            digest,
        })
    }

    /// Takes in the demand of another host of the own failure domain.
    pub fn merge_host_demand(&mut self, digest: &DemandDigest) {
        let origin = &digest.origin;
        if origin.host == self.origin.host {
            return;
        }
        let heard = self.hosts.entry(origin.host.clone()).or_default();
        if origin.incarnation < heard.incarnation {
            return;
        }
        if origin.incarnation > heard.incarnation {
            heard.incarnation = origin.incarnation;
            heard.rates.clear();
        }
        take_entries(&mut heard.rates, digest);
    }

    /// Takes in the demand of another failure domain.
    pub fn merge_domain_demand(&mut self, told: &DomainDemand) {
        if told.domain == self.domain {
            return;
        }
        let heard = self.domains.entry(told.domain.clone()).or_default();
        heard.hosts = told.hosts;
        if heard.teller != told.digest.origin {
            // Another host sums up now, whose numbers start anew.
            heard.teller = told.digest.origin.clone();
            for (sequence, _) in heard.rates.values_mut() {
                *sequence = 0;
            }
        }
        take_entries(&mut heard.rates, &told.digest);
    }

    /// Returns this host's part of the limits of a workspace.
    ///
    /// ```
    /// use galenamast::coordination::ShareBoard;
    /// use galenamast::state::{TimePoint, WorkspaceLimits};
    ///
    /// // A host that knows of no other one has the whole limit.
    /// let board = ShareBoard::default();
    /// let limits = WorkspaceLimits { max_in_flight: 8, ..Default::default() };
    /// assert_eq!(board.limits(&"alta".into(), &limits, TimePoint::ZERO).max_in_flight, 8);
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
            // Every host may run one request, however small its share is.
            max_in_flight: in_flight.max(limits.max_in_flight.min(1)),
            ..*limits
        }
    }

    /// Returns this host's share of a workspace, from 0 to 1.
    pub fn share(&self, workspace: &WorkspaceName, now: TimePoint) -> f64 {
        let even = 1.0 / self.fleet().max(1) as f64;
        let is_new = self
            .started
            .is_some_and(|started| now.since(started) <= SHARE_WINDOW);
        let own = self.least_told(workspace, now);
        let others = self.heard_here(workspace) + self.heard_elsewhere(workspace);
        if is_new || own + others <= 0.0 {
            return even;
        }
        (1.0 - EVEN_PART) * own / (own + others) + EVEN_PART * even
    }

    /// Returns the number of hosts in all failure domains, as far as it is known.
    fn fleet(&self) -> usize {
        let unheard = self.contacted.iter();
        let unheard = unheard.filter(|domain| !self.domains.contains_key(*domain));
        let heard = self.domains.values().map(|heard| heard.hosts as usize);
        self.members * (1 + unheard.count()) + heard.sum::<usize>()
    }

    /// Returns the least demand that was in force as told throughout the window.
    fn least_told(&self, workspace: &WorkspaceName, now: TimePoint) -> f64 {
        let Some(own) = self.own.get(workspace) else {
            return 0.0;
        };
        let mut least: Option<f64> = None;
        for (index, (at, rate)) in own.told.iter().enumerate() {
            let next = own.told.get(index + 1).map(|(next, _)| *next);
            let over = next.is_some_and(|next| now.since(next) > SHARE_WINDOW);
            if over {
                continue;
            }
            if index == 0 && now.since(*at) <= FIRST_TELLING {
                return 0.0;
            }
            least = Some(least.map_or(*rate, |least| least.min(*rate)));
        }
        least.unwrap_or_default()
    }

    /// Returns what the other hosts of the own failure domain told.
    fn heard_here(&self, workspace: &WorkspaceName) -> f64 {
        let heard = self.hosts.values().map(|heard| &heard.rates);
        heard
            .filter_map(|rates| rates.get(workspace))
            .map(|(_, rate)| rate)
            .sum()
    }

    /// Returns what the other failure domains told, however long ago.
    fn heard_elsewhere(&self, workspace: &WorkspaceName) -> f64 {
        let heard = self.domains.values().map(|heard| &heard.rates);
        heard
            .filter_map(|rates| rates.get(workspace))
            .map(|(_, rate)| rate)
            .sum()
    }
}

/// Takes in the entries that are newer than what is known of their workspaces.
fn take_entries(rates: &mut BTreeMap<WorkspaceName, (u64, f64)>, digest: &DemandDigest) {
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
