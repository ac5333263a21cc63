//! Soft state that hosts pass on to each other, each piece a bounded number of times.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::{DomainName, HostName};

/// Pieces that wait to be passed on; the oldest makes way for a new one.
const MAX_PENDING: usize = 256;
/// Pieces that are remembered, so that a repetition is recognised.
const MAX_SEEN: usize = 8_192;
/// Transmissions within a failure domain per doubling of its hosts.
const NEAR_PER_DOUBLING: u32 = 3;
/// Transmissions to other failure domains by each host.
const FAR_TRANSMISSIONS: u32 = 3;

/// Transmissions within a failure domain by each host of what is repeated often.
const REPEATED_TRANSMISSIONS: u32 = 4;
/// Transmissions to other failure domains by all hosts of one together of what is repeated often.
const REPEATED_FAR: u32 = 12;

/// How far a piece of soft state spreads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PeerScope {
    /// To the hosts of the own failure domain.
    Domain,
    /// To all hosts.
    Fleet,
    /// To most hosts of the own failure domain, for what is repeated often.
    DomainPeriodic,
    /// To most hosts, for what is repeated often.
    FleetPeriodic,
}

/// A piece of soft state on its way; a host passes on what it cannot read itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipItem {
    /// Host that the piece comes from.
    pub origin: HostName,
    /// Failure domain of that host.
    pub domain: DomainName,
    /// Number that is unique for the host, also across its restarts.
    pub serial: u64,
    /// How far the piece spreads.
    pub scope: PeerScope,
    /// The encoded piece.
    pub payload: Vec<u8>,
}

impl GossipItem {
    /// Returns an upper bound of the encoded size, in bytes.
    pub fn encoded_bound(&self) -> usize {
        let names = self.origin.as_str().len() + self.domain.as_str().len();
        names + self.payload.len() + 24
    }
}

/// A piece with the transmissions that are left.
#[derive(Clone, Debug)]
struct PendingItem {
    item: GossipItem,
    near: u32,
    far: u32,
}

/// Queue of soft state that is passed on.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    pending: VecDeque<PendingItem>,
    seen: BTreeSet<(HostName, u64)>,
    seen_order: VecDeque<(HostName, u64)>,
}

impl GossipQueue {
    /// Takes in a piece; returns whether it is new.
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
        let repeated_near = REPEATED_TRANSMISSIONS.min(hosts.saturating_sub(1));
        let repeated_far = REPEATED_FAR.div_ceil(hosts.max(1));
        let (near, far) = match item.scope {
            PeerScope::Domain => (doublings * NEAR_PER_DOUBLING, 0),
            PeerScope::Fleet => (doublings * NEAR_PER_DOUBLING, FAR_TRANSMISSIONS),
            PeerScope::DomainPeriodic => (repeated_near, 0),
            PeerScope::FleetPeriodic => (repeated_near, repeated_far),
        };
        self.pending.push_back(PendingItem { item, near, far });
        true
    }

    /// Returns whether nothing waits to be passed on.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes the pieces for one host, newest first, as long as their sizes fit.
    pub fn take(&mut self, far: bool, max_bytes: usize) -> Vec<GossipItem> {
        let mut bytes = 0;
        let mut taken = Vec::new();
        for pending in self.pending.iter_mut().rev() {
            let left = if far {
                &mut pending.far
            } else {
                &mut pending.near
            };
            let size = pending.item.encoded_bound();
            if *left == 0 || bytes + size > max_bytes {
                continue;
            }
            *left -= 1;
            bytes += size;
            taken.push(pending.item.clone());
        }
        self.pending
            .retain(|pending| pending.near > 0 || pending.far > 0);
        taken
    }
}
