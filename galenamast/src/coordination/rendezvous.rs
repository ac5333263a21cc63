//! Rendezvous hashing, by which every host ranks the same candidates in the same order.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::state::HostName;

/// Ranks hosts for a task, in descending order of preference.
///
/// When a host joins or leaves, only the tasks that it takes over or gives up move.
///
/// ```
/// use galenamast::coordination::rank_hosts;
/// use galenamast::state::HostName;
///
/// let hosts = [HostName::new("a"), HostName::new("b"), HostName::new("c")];
/// let ranked = rank_hosts("watch", &hosts);
/// let others: Vec<HostName> = ranked[1..].to_vec();
/// assert_eq!(rank_hosts("watch", &others), others);
/// ```
pub fn rank_hosts<'a>(task: &str, hosts: impl IntoIterator<Item = &'a HostName>) -> Vec<HostName> {
    let mut ranked: Vec<(u64, &HostName)> = hosts
        .into_iter()
        .map(|host| (weight_of(task, host), host))
        .collect();
    ranked.sort_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, host)| host.clone()).collect()
}

/// Returns the hash that ranks a host for a task.
fn weight_of(task: &str, host: &HostName) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(task.as_bytes());
    hasher.write_u8(0);
    hasher.write(host.as_str().as_bytes());
    hasher.finish()
}
