//! Deletes configuration objects that the head no longer references, within the call budget.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;

use crate::coordination::config_documents::CONFIG_KIND;
use crate::coordination::{
    CallPriority, ObjectKey, ObjectQuery, ObjectSweep, ObjectVersion, rank_hosts,
};
use crate::logging::log_fault;
use crate::transport::config_writer::{decode_head, head_key};
use crate::transport::object_client::ObjectClient;
use crate::transport::peer_mesh::PeerMesh;
use crate::transport::transport_error::TransportError;

/// Mean time between clean-up passes; each wait varies by up to 20 percent.
const PASS_PERIOD: Duration = Duration::from_secs(600);
/// Maximum number of objects in one page of a listing.
const PAGE_OBJECTS: usize = 100;
/// Task name that ranks the hosts of a failure domain; the first one does the clean-up.
const CLEAN_TASK: &str = "config-clean";

/// Runs clean-up passes until the task is aborted; one host of each failure domain does the work.
pub(crate) async fn run_cleaner(mesh: PeerMesh, objects: ObjectClient) {
    let objects = objects.with_priority(CallPriority::Status);
    let timers = mesh.shared.timers.clone();
    let mut sweep = ObjectSweep::default();
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        timers.sleep(PASS_PERIOD.mul_f64(jitter)).await;
        let members = mesh.members();
        let ranked = rank_hosts(CLEAN_TASK, members.live().map(|record| &record.name));
        if ranked.first() != Some(mesh.own()) {
            sweep = ObjectSweep::default();
            continue;
        }
        if let Err(error) = clean_pass(&objects, &mut sweep, timers.now()).await {
            log_fault("config", &error);
        }
    }
}

/// Runs one clean-up pass and returns how many objects it found deletable.
///
/// The head is read after the objects are listed. [`ObjectSweep`] decides which of
/// the objects that the head does not reference are deleted.
///
/// # Errors
///
/// Returns an error if the platform cannot be read; nothing is deleted then.
pub async fn clean_pass(
    objects: &ObjectClient,
    sweep: &mut ObjectSweep,
    now: crate::state::TimePoint,
) -> Result<usize, TransportError> {
    let mut listed: Vec<(String, ObjectVersion)> = Vec::new();
    loop {
        let query = ObjectQuery {
            kind: CONFIG_KIND.into(),
            after: listed
                .last()
                .map(|(name, _)| name.clone())
                .unwrap_or_default(),
            limit: Some(PAGE_OBJECTS),
            ..Default::default()
        };
        let page = objects.list(&query).await?;
        let last = page.len() < PAGE_OBJECTS;
        listed.extend(page.into_iter().map(|record| (record.name, record.version)));
        if last {
            break;
        }
    }
    let Some(record) = objects.read(&head_key()).await? else {
        return Ok(0);
    };
    let head = decode_head(record)?;
    let referenced: BTreeSet<String> = head
        .entries
        .values()
        .map(|digest| digest.0.to_string())
        .collect();
    let deletable = sweep.pass(&listed, &referenced, now);
    for (name, version) in &deletable {
        let key = ObjectKey::new(CONFIG_KIND, name);
        objects.delete(&key, *version).await?;
    }
    Ok(deletable.len())
}
