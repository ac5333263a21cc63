//! Queue of membership updates, each of which is sent a bounded number of times.

use std::collections::BTreeMap;

use crate::state::HostName;

/// Number of transmissions of an update per doubling of the number of hosts.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;

/// Hosts whose records have to be sent, with the number of remaining transmissions.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    remaining: BTreeMap<HostName, u32>,
}

impl UpdateQueue {
    /// Queues an update of a host, with the full number of transmissions for `hosts` hosts.
    pub fn push(&mut self, name: HostName, hosts: usize) {
        let doublings = (hosts + 1).next_power_of_two().trailing_zeros().max(1);
        self.remaining
            .insert(name, doublings * TRANSMISSIONS_PER_DOUBLING);
    }

    /// Takes the hosts whose updates were sent least, as long as their records fit into
    /// `max_bytes`.
    ///
    /// A host without a record is removed from the queue.
    pub fn take(
        &mut self,
        max_bytes: usize,
        size_of: impl Fn(&HostName) -> Option<usize>,
    ) -> Vec<HostName> {
        let mut names: Vec<(u32, HostName)> = self
            .remaining
            .iter()
            .map(|(name, remaining)| (*remaining, name.clone()))
            .collect();
        names.sort_by_key(|(remaining, _)| std::cmp::Reverse(*remaining));
        let mut bytes = 0;
        let mut taken = Vec::new();
        for (remaining, name) in names {
            let Some(size) = size_of(&name) else {
                self.remaining.remove(&name);
                continue;
            };
            if bytes + size > max_bytes {
                break;
            }
            bytes += size;
            match remaining.checked_sub(1) {
                Some(rest) if rest > 0 => self.remaining.insert(name.clone(), rest),
                _ => self.remaining.remove(&name),
            };
            taken.push(name);
        }
        taken
    }
}
