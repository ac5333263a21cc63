//! Divides a limit that a server names among the hosts that send it requests.
//!
//! Covers a limit of one request a second before 9 or 295 hosts: equal shares of each host's own
//! would either round up beyond the limit or leave the server idle. A few hosts, by rendezvous
//! hashing over the list of hosts, hold whole shares of which the sum stays within the limit in any
//! window; those of the server's failure domain come first, because they reach it while the domain
//! is cut off. Hosts may differ about who holds a share while their lists differ: half as many
//! holders again stay within what the platform tolerates.
//!
//! Every other host has a short slot in a long period, in which it may send one request. So a host
//! that missed the end of a limit learns of it, and a server whose holders are all lost is not left
//! out. Slots are not saved up.

use std::hash::Hasher;
use std::time::Duration;

use galenamast::state::TimePoint;
use siphasher::sip::SipHasher13;

use crate::state::HostPresence;

/// Rate of requests per second beyond which a limit makes no difference.
const MAX_RATE: f64 = 1e6;

/// Settings of the division of limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Window in which the platform counts a server's requests.
    pub window: Duration,
    /// Difference in time on the way to a server by which two requests may get closer.
    pub arrival_jitter: Duration,
    /// Requests per second that a server is taken to accept if it names fewer; without any it could
    /// not state the end of its limit.
    pub min_rate: f64,
    /// Part of a limit that the shares use at least, where a number of holders allows it.
    pub min_use: f64,
    /// Part of a limit that all hosts without a share use together.
    pub others_part: f64,
    /// Shortest period in which a host without a share has one slot.
    pub min_slot_period: Duration,
    /// Shortest slot of a host without a share.
    pub min_slot: Duration,
    /// Number of hosts that is assumed until their list was read.
    pub assumed_hosts: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(4),
            arrival_jitter: Duration::from_millis(100),
            min_rate: 0.1,
            min_use: 0.8,
            others_part: 0.25,
            min_slot_period: Duration::from_secs(30),
            min_slot: Duration::from_secs(1),
            assumed_hosts: 400,
        }
    }
}

/// The equal shares of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePlan {
    /// Number of hosts that hold a share.
    pub holders: usize,
    /// Requests that a holder may send in any span of `window`.
    pub requests: usize,
    /// Length of the sliding window of a share.
    pub window: Duration,
}

/// What one host may send to a server that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostShare {
    /// A number of requests in any span of a window.
    Held {
        /// Number of requests.
        requests: usize,
        /// Length of the sliding window.
        window: Duration,
    },
    /// One request in a slot at the start of each period, counted from `offset` after the clock's
    /// origin.
    Slot {
        /// Length of the period.
        period: Duration,
        /// Start of the slot within the period.
        offset: Duration,
        /// Length of the slot.
        length: Duration,
    },
}

/// Returns the shares of a limit of `rate` requests per second among a number of hosts: as many
/// holders as use most of the limit.
///
/// ```
/// use galenamast_gateway::coordination::permits::{LimitSettings, plan_shares};
///
/// let plan = plan_shares(1.0, 295, &LimitSettings::default());
/// assert_eq!((plan.holders, plan.requests), (4, 1));
/// ```
pub fn plan_shares(rate: f64, hosts: usize, settings: &LimitSettings) -> SharePlan {
    let rate = rate.clamp(settings.min_rate, MAX_RATE);
    let budget = rate * settings.window.as_secs_f64();
    if budget < 1.0 {
        return SharePlan {
            holders: 1,
            requests: 1,
            window: Duration::from_secs_f64(1.0 / rate),
        };
    }
    let share_of = |holders: usize| (budget / holders as f64) as usize;
    let most_holders = hosts.clamp(1, budget as usize);
    let used = |holders: &usize| holders * share_of(*holders);
    let uses_most = |holders: &usize| used(holders) as f64 >= settings.min_use * budget;
    let mut counts = (1..=most_holders).rev();
    let holders = counts
        .find(uses_most)
        .or_else(|| (1..=most_holders).max_by_key(used))
        .unwrap_or(1);
    SharePlan {
        holders,
        requests: share_of(holders),
        window: settings.window + settings.arrival_jitter,
    }
}

/// Returns whether a host is among the first `holders` of the listed hosts for a server; a host
/// that is not listed is not.
pub fn holds_share<'a>(
    server: &str,
    domain: &str,
    host: &str,
    hosts: impl Iterator<Item = &'a HostPresence> + Clone,
    holders: usize,
) -> bool {
    let order = |presence: &HostPresence| {
        let is_elsewhere = *presence.domain != *domain;
        (is_elsewhere, rank(server, &presence.host))
    };
    let Some(own) = hosts.clone().find(|presence| *presence.host == *host) else {
        return false;
    };
    let own = order(own);
    hosts.filter(|presence| order(presence) < own).count() < holders
}

/// Returns the slot of a host without a share, one of `hosts`, at a server that takes `rate`
/// requests per second.
pub fn plan_slot(
    server: &str,
    host: &str,
    rate: f64,
    hosts: usize,
    settings: &LimitSettings,
) -> HostShare {
    let rate = rate.max(settings.min_rate) * settings.others_part;
    let hosts = if hosts == 0 {
        settings.assumed_hosts
    } else {
        hosts
    };
    let period = Duration::try_from_secs_f64(hosts as f64 / rate)
        .unwrap_or(Duration::MAX)
        .max(settings.min_slot_period);
    let phase = rank(server, host) as f64 / u64::MAX as f64;
    HostShare::Slot {
        period,
        offset: period.mul_f64(phase.min(1.0)),
        length: (period / u32::try_from(hosts).unwrap_or(u32::MAX)).max(settings.min_slot),
    }
}

/// Returns the start of the period that `now` lies in, if `now` is within its slot.
pub(super) fn open_slot(
    now: TimePoint,
    period: Duration,
    offset: Duration,
    length: Duration,
) -> Option<TimePoint> {
    let since_origin = now.since(TimePoint::ZERO);
    let into_periods = since_origin.checked_sub(offset)?.as_secs_f64() / period.as_secs_f64();
    let start = offset + period.mul_f64(into_periods.floor());
    (since_origin.saturating_sub(start) < length).then(|| TimePoint::ZERO + start)
}

/// Returns the rendezvous hash of a host for a server.
pub(super) fn rank(server: &str, host: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(server.as_bytes());
    hasher.write_u8(0);
    hasher.write(host.as_bytes());
    hasher.finish()
}
