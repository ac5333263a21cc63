//! Servers that tell a crash from a cut.
//!
//! Answers a failure domain that is cut off: its servers are lost at once, and look crashed to the
//! requests that they had. A neighbour that is lost too shows the cut.

use std::sync::Arc;

use crate::state::ServerEntry;

/// Neighbours that are asked; one of them may be down for a reason of its own.
const WITNESSES: usize = 2;

/// Picks neighbours of a lost server that did not run the request and should answer if the server
/// alone is gone: those of its failure domain, or any if the domain has no other.
pub fn pick_probe_targets<'a>(
    servers: impl Iterator<Item = &'a ServerEntry> + Clone,
    lost: &ServerEntry,
    tried: &[Arc<str>],
) -> Vec<ServerEntry> {
    let is_other =
        |entry: &&ServerEntry| entry.id != lost.id && !entry.draining && !tried.contains(&entry.id);
    let others = servers.filter(is_other);
    let near = others.clone().filter(|entry| entry.domain == lost.domain);
    let picked: Vec<ServerEntry> = near.take(WITNESSES).cloned().collect();
    if picked.is_empty() {
        return others.take(WITNESSES).cloned().collect();
    }
    picked
}
