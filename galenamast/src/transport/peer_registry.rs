//! Host objects on the platform, through which entry hosts find each other at the start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::coordination::{
    CallPriority, MemberEvent, ObjectKey, ObjectQuery, ObjectRecord, WriteCondition, WriteOutcome,
};
use crate::logging::log_fault;
use crate::state::{DomainName, HostName};
use crate::transport::object_client::ObjectClient;
use crate::transport::peer_mesh::PeerMesh;
use crate::transport::transport_error::TransportError;

/// Kind of the host objects on the platform.
pub const HOST_KIND: &str = "entry-host";
/// Time between writes of the own host object, and mean time between reads of the others.
const WRITE_PERIOD: Duration = Duration::from_secs(60);
/// Mean time between reads while this host has no live peer in its failure domain.
const ISOLATED_PERIOD: Duration = Duration::from_secs(2);
/// Hosts contacted after each read, per failure domain.
const CONTACTS_PER_DOMAIN: usize = 3;
/// Age after which a host object is stale and deleted, in milliseconds.
const MAX_AGE_MS: u64 = 24 * 3_600 * 1_000;
/// Maximum number of stale objects that one host deletes after each read.
const MAX_DELETED: usize = 4;

/// Value of a host object, which each host writes for itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDocument {
    /// Name of the host.
    pub name: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address that other entry hosts connect to.
    pub address: SocketAddr,
    /// When the host wrote the object, in milliseconds since the Unix epoch.
    pub written_unix_ms: u64,
}

/// Writes the own host object and contacts other hosts until the task is aborted.
pub(crate) async fn run_registry(mesh: PeerMesh, objects: ObjectClient) {
    let objects = objects.with_priority(CallPriority::Status);
    let timers = mesh.shared.timers.clone();
    let mut next_write = timers.now();
    loop {
        if timers.now() >= next_write {
            match write_own(&mesh, &objects).await {
                Ok(()) => next_write = timers.now() + WRITE_PERIOD,
                Err(error) => log_fault("peers", &error),
            }
        }
        if let Err(error) = contact_others(&mesh, &objects).await {
            log_fault("peers", &error);
        }
        let isolated = mesh.members().live_peers().next().is_none();
        let period = if isolated {
            ISOLATED_PERIOD
        } else {
            WRITE_PERIOD
        };
        let jitter = rand::rng().random_range(0.7..1.3);
        timers.sleep(period.mul_f64(jitter)).await;
    }
}

/// Writes the own host object, replacing any earlier one.
async fn write_own(mesh: &PeerMesh, objects: &ObjectClient) -> Result<(), TransportError> {
    let key = ObjectKey::new(HOST_KIND, mesh.own().as_str());
    let document = HostDocument {
        name: mesh.own().clone(),
        domain: mesh.domain().clone(),
        address: mesh.address(),
        written_unix_ms: mesh.shared.timers.unix_millis(),
    };
    let value = serde_json::to_value(&document);
    let what = "host object";
    let value = value.map_err(|source| crate::protocol::ProtocolError::Json { what, source })?;
    let found = objects.read(&key).await?;
    let condition = found.map_or(WriteCondition::Absent, |record| {
        WriteCondition::At(record.version)
    });
    match objects.write(&key, condition, &value).await? {
        WriteOutcome::Applied(_) | WriteOutcome::Indeterminate => Ok(()),
        WriteOutcome::Conflict | WriteOutcome::Rejected => {
            Err(crate::protocol::ProtocolError::Invalid {
                what,
                reason: "the platform did not accept the write".into(),
            }
            .into())
        }
    }
}

/// Reads the host objects, contacts a few hosts of each failure domain and deletes stale objects.
async fn contact_others(mesh: &PeerMesh, objects: &ObjectClient) -> Result<(), TransportError> {
    let query = ObjectQuery {
        kind: HOST_KIND.into(),
        ..Default::default()
    };
    let records = objects.list(&query).await?;
    let now = mesh.shared.timers.unix_millis();
    let mut by_domain: BTreeMap<DomainName, Vec<SocketAddr>> = BTreeMap::new();
    let mut stale: Vec<&ObjectRecord> = Vec::new();
    for record in &records {
        let Ok(document) = serde_json::from_value::<HostDocument>(record.value.clone()) else {
            continue;
        };
        if now.saturating_sub(document.written_unix_ms) > MAX_AGE_MS {
            stale.push(record);
        } else if document.name != *mesh.own() {
            let addresses = by_domain.entry(document.domain).or_default();
            addresses.push(document.address);
        }
    }
    for addresses in by_domain.values() {
        let chosen = addresses.iter();
        let chosen = chosen.choose_multiple(&mut rand::rng(), CONTACTS_PER_DOMAIN);
        for address in chosen {
            let _ = mesh.shared.events.try_send(MemberEvent::Contact(*address));
        }
    }
    for record in stale.into_iter().take(MAX_DELETED) {
        let key = ObjectKey::new(HOST_KIND, &record.name);
        objects.delete(&key, record.version).await?;
    }
    Ok(())
}
