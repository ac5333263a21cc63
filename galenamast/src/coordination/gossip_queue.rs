//! Gossip of soft state: each host forwards each item a bounded number of times.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::{DomainName, HostName};

/// Largest number of items that wait to be forwarded. The oldest is dropped for a new one.
const MAX_PENDING: usize = 256;
/// Largest number of items remembered in order to recognise duplicates.
const MAX_SEEN: usize = 8_192;
/// Transmissions by each host within its failure domain, per doubling of the domain's hosts.
const NEAR_TRANSMISSIONS_PER_DOUBLING: u32 = 3;
/// Transmissions by each host to other failure domains.
const FAR_TRANSMISSIONS: u32 = 3;

/// Transmissions by each host within its failure domain, for items that are resent periodically.
const PERIODIC_NEAR_TRANSMISSIONS: u32 = 4;
/// Transmissions to other failure domains by all hosts of a domain together, for items that are
/// resent periodically.
const PERIODIC_FAR_TRANSMISSIONS: u32 = 12;

/// Set of hosts that an item is forwarded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PeerScope {
    /// The hosts of the local failure domain.
    Domain,
    /// All hosts.
    Fleet,
    /// Most hosts of the local failure domain, for items that are resent periodically.
    DomainPeriodic,
    /// Most hosts, for items that are resent periodically.
    FleetPeriodic,
}

/// An encoded item of soft state. Hosts also forward items that they cannot decode.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipItem {
    /// Host that created the item.
    pub origin: HostName,
    /// Failure domain of that host.
    pub domain: DomainName,
    /// Number that is unique among the items of the host, also across its restarts.
    pub serial: u64,
    /// Set of hosts that the item is forwarded to.
    pub scope: PeerScope,
    /// The encoded soft state.
    pub payload: Vec<u8>,
}

impl GossipItem {
    /// Returns an upper bound of the encoded size, in bytes.
    pub fn encoded_bound(&self) -> usize {
        let names = self.origin.as_str().len() + self.domain.as_str().len();
        names + self.payload.len() + 24
    }
}

/// An item with the number of transmissions left.
#[derive(Clone, Debug)]
struct PendingItem {
    item: GossipItem,
    near: u32,
    far: u32,
}

/// Queue of items to forward to other hosts.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    pending: VecDeque<PendingItem>,
    seen: BTreeSet<(HostName, u64)>,
    seen_order: VecDeque<(HostName, u64)>,
}

impl GossipQueue {
    /// Queues an item; returns whether it is new.
    ///
    /// `hosts` is the number of hosts in the local failure domain.
    pub fn insert(&mut self, item: GossipItem, hosts: usize) -> bool {
        let key = (item.origin.clone(), item.serial);
        if !self.seen.insert(key.clone()) {
            return false;
        }
        self.seen_order.push_back(key);
        if self.seen_order.len() > MAX_SEEN
            && let Some(oldest) = self.seen_order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        let doublings = (hosts + 1).next_power_of_two().trailing_zeros().max(1);
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let periodic_near = PERIODIC_NEAR_TRANSMISSIONS.min(hosts.saturating_sub(1));
        let periodic_far = PERIODIC_FAR_TRANSMISSIONS.div_ceil(hosts.max(1));
        let (near, far) = match item.scope {
            PeerScope::Domain => (doublings * NEAR_TRANSMISSIONS_PER_DOUBLING, 0),
            PeerScope::Fleet => (
                doublings * NEAR_TRANSMISSIONS_PER_DOUBLING,
                FAR_TRANSMISSIONS,
            ),
            PeerScope::DomainPeriodic => (periodic_near, 0),
            PeerScope::FleetPeriodic => (periodic_near, periodic_far),
        };
        self.pending.push_back(PendingItem { item, near, far });
        true
    }

    /// Returns whether no item waits to be forwarded.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes the items to send to one host, newest first, as many as fit into `max_bytes`.
    ///
    /// `far` tells whether that host is in another failure domain.
    pub fn take(&mut self, far: bool, max_bytes: usize) -> Vec<GossipItem> {
        let mut bytes = 0;
        let mut taken = Vec::new();
        for pending in self.pending.iter_mut().rev() {
            let transmissions_left = if far {
                &mut pending.far
            } else {
                &mut pending.near
            };
            let size = pending.item.encoded_bound();
            if *transmissions_left == 0 || bytes + size > max_bytes {
                continue;
            }
            *transmissions_left -= 1;
            bytes += size;
            taken.push(pending.item.clone());
        }
        self.pending
            .retain(|pending| pending.near > 0 || pending.far > 0);
        taken
    }
}
