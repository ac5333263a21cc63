//! Groups the servers of a service by the preference of a roll-out for their versions.

use std::sync::Arc;

use crate::coordination::rollouts::VersionRule;
use crate::state::ServerEntry;

/// Returns the groups of servers that may serve a request, the preferred ones first.
pub fn version_groups<'a>(
    serving: &[&'a ServerEntry],
    rule: &VersionRule,
    pinned: Option<&Arc<str>>,
) -> Vec<Vec<&'a ServerEntry>> {
    let with = |version: &Arc<str>| -> Vec<&'a ServerEntry> {
        serving
            .iter()
            .copied()
            .filter(|entry| entry.version == *version)
            .collect()
    };
    let without = |version: &Arc<str>| -> Vec<&'a ServerEntry> {
        serving
            .iter()
            .copied()
            .filter(|entry| entry.version != *version)
            .collect()
    };
    let mut groups = match rule {
        VersionRule::Any => vec![serving.to_vec()],
        VersionRule::Prefer(target) => vec![with(target), without(target)],
        VersionRule::Avoid(target) => vec![without(target), with(target)],
        VersionRule::Never(target) => vec![without(target)],
    };
    // A later attempt stays with the version of the earlier one, unless a roll-out sets a preference.
    if let (Some(version), VersionRule::Any) = (pinned, rule) {
        groups.insert(0, with(version));
    }
    groups
}
