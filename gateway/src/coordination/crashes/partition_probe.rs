//! Picks servers to probe in order to tell a crash from a network partition.
//!
//! When a failure domain is cut off, its servers are lost at once and look as if their requests had
//! crashed them. A neighbour that is lost too shows the partition.

use std::sync::Arc;

use crate::state::ServerEntry;

/// Greatest number of neighbours that are probed; one of them may be down for a reason of its own.
const MAX_PROBE_TARGETS: usize = 2;

/// Picks neighbours of a lost server that did not run the request and that answer if only this
/// server is gone: servers of its failure domain, or any others if the domain has none. Servers for
/// which `has_crashed` holds would not answer either way. Those for which `was_lost` holds are picked
/// last, as they may have crashed just before.
pub fn pick_probe_targets<'a>(
    servers: impl Iterator<Item = &'a ServerEntry> + Clone,
    lost: &ServerEntry,
    tried: &[Arc<str>],
    has_crashed: impl Fn(&str) -> bool,
    was_lost: impl Fn(&str) -> bool,
) -> Vec<ServerEntry> {
    let is_other = |entry: &&ServerEntry| {
        entry.id != lost.id
            && !entry.draining
            && !tried.contains(&entry.id)
            && !has_crashed(&entry.id)
    };
    let others = servers.filter(is_other);
    let near = others.clone().filter(|entry| entry.domain == lost.domain);
    let mut picked: Vec<ServerEntry> = near.cloned().collect();
    if picked.is_empty() {
        picked = others.cloned().collect();
    }
    picked.sort_by_key(|entry| was_lost(&entry.id));
    picked.truncate(MAX_PROBE_TARGETS);
    picked
}
