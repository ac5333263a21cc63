//! Picks the host that a request is passed on to.
//!
//! Load pattern: most hosts of a failure domain lose their path at once. Their requests are spread
//! evenly over the hosts that have one; hosts of the own domain come first, since traffic between
//! domains is expensive.

use std::net::SocketAddr;

use crate::state::HostPresence;

/// Picks a host for a request among `hosts`, in the failure domain of `own` if possible; `None` if there
/// is none. Hosts in `tried` and those for which `is_lost` holds are left out. `draw` is random.
pub fn pick_relay<'a>(
    hosts: impl Iterator<Item = &'a HostPresence> + Clone,
    own: &HostPresence,
    tried: &[SocketAddr],
    is_lost: impl Fn(SocketAddr) -> bool,
    draw: u64,
) -> Option<&'a HostPresence> {
    let is_candidate = |host: &&HostPresence| {
        host.host != own.host && !tried.contains(&host.address) && !is_lost(host.address)
    };
    let candidates = hosts.filter(is_candidate);
    let near = candidates.clone().filter(|host| host.domain == own.domain);
    let near: Vec<&HostPresence> = near.collect();
    let pool = if near.is_empty() {
        candidates.collect()
    } else {
        near
    };
    let count = u64::try_from(pool.len()).ok().filter(|count| *count > 0)?;
    pool.get(usize::try_from(draw % count).ok()?).copied()
}
