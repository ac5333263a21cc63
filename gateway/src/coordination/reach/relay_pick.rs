//! Picks the host that a request is passed on to.
//!
//! Load pattern: most hosts of a failure domain lose their path at once. Their requests are spread
//! evenly over the hosts that have one; hosts of the own domain come first, since traffic between
//! domains is expensive.

use std::net::SocketAddr;

use crate::coordination::reach::PeerStanding;
use crate::state::HostPresence;

/// Picks a host for a request among `hosts`, in the failure domain of `own` if possible; `None` if there
/// is none. Hosts in `tried` and those without a `standing` are left out, as are those that are gone; one
/// that is suspect is the last resort. `draw` is random.
pub fn pick_relay<'a>(
    hosts: impl Iterator<Item = &'a HostPresence>,
    own: &HostPresence,
    tried: &[SocketAddr],
    standing: impl Fn(SocketAddr) -> Option<PeerStanding>,
    draw: u64,
) -> Option<&'a HostPresence> {
    let mut best = None;
    let mut pool: Vec<&HostPresence> = Vec::new();
    for host in hosts {
        if host.host == own.host || tried.contains(&host.address) {
            continue;
        }
        let Some(standing) = standing(host.address) else {
            continue;
        };
        if standing == PeerStanding::Gone {
            continue;
        }
        let is_suspect = standing == PeerStanding::Suspect;
        let rank = (is_suspect, host.domain != own.domain, standing);
        if best.is_some_and(|best| best < rank) {
            continue;
        }
        if best != Some(rank) {
            pool.clear();
        }
        best = Some(rank);
        pool.push(host);
    }
    let count = u64::try_from(pool.len()).ok().filter(|count| *count > 0)?;
    pool.get(usize::try_from(draw % count).ok()?).copied()
}
