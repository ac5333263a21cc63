//! News that is passed on a bounded number of times.

use std::collections::BTreeMap;

use crate::state::HostName;

/// Transmissions of an update per doubling of the number of hosts.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;

/// Names whose records are to be passed on, with the transmissions that are left.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    left: BTreeMap<HostName, u32>,
}

impl UpdateQueue {
    /// Puts the news of a host into the queue anew.
    pub fn push(&mut self, name: HostName, hosts: usize) {
        let doublings = (hosts + 1).next_power_of_two().trailing_zeros().max(1);
        self.left
            .insert(name, doublings * TRANSMISSIONS_PER_DOUBLING);
    }

    /// Takes the names that were passed on least, as long as their sizes fit.
    pub fn take(
        &mut self,
        max_bytes: usize,
        size_of: impl Fn(&HostName) -> Option<usize>,
    ) -> Vec<HostName> {
        let mut names: Vec<(u32, HostName)> = self
            .left
            .iter()
            .map(|(name, left)| (*left, name.clone()))
            .collect();
        names.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        let mut bytes = 0;
        let mut taken = Vec::new();
        for (left, name) in names {
            let Some(size) = size_of(&name) else {
                self.left.remove(&name);
                continue;
            };
            if bytes + size > max_bytes {
                break;
            }
            bytes += size;
            match left.checked_sub(1) {
                Some(rest) if rest > 0 => self.left.insert(name.clone(), rest),
                _ => self.left.remove(&name),
            };
            taken.push(name);
        }
        taken
    }
}
