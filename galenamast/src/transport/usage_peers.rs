//! Exchanges copies of usage records with peers and takes over those of hosts that are gone.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::protocol::{PeerReply, PeerRequest};
use crate::state::HostName;
use crate::transport::host_context::HostContext;
use crate::transport::peer_mesh::{PeerMesh, RequestHandler};
use crate::transport::usage_copier::UsageCopier;
use crate::transport::usage_ledger::UsageLedger;

/// Time between checks for hosts that are gone.
const WATCH_PERIOD: Duration = Duration::from_millis(500);

/// Connects the ledger to the mesh and returns the task that detects hosts that are gone.
///
/// Returns `None` without a ledger or a mesh.
pub fn start_usage_peers(context: &Arc<HostContext>) -> Option<tokio::task::JoinHandle<()>> {
    let ledger = context.ledger.clone()?;
    let mesh = context.peers.get()?.clone();
    mesh.on_request(&copy_handler(&ledger));
    let copier = UsageCopier::start(&mesh);
    context.usage_copy.store(Some(Arc::new(copier.copy_call())));
    let timers = context.timers.clone();
    Some(tokio::spawn(async move {
        let mut ticks = timers.subscribe(WATCH_PERIOD);
        let mut known = live_peers(&mesh);
        loop {
            ticks.tick().await;
            let live = live_peers(&mesh);
            known
                .difference(&live)
                .for_each(|gone| ledger.adopt_host(gone));
            known = live;
        }
    }))
}

/// Returns the request handler that stores copies from other hosts.
fn copy_handler(ledger: &UsageLedger) -> RequestHandler {
    let ledger = ledger.clone();
    Arc::new(move |sender, request| {
        let PeerRequest::StoreUsage(copies) = request else {
            return None;
        };
        let stored = copies
            .iter()
            .all(|copy| copy.origin.host == *sender && ledger.accept_copy(copy.clone()));
        let reply = if stored {
            PeerReply::Done
        } else {
            PeerReply::Unsupported
        };
        Some(Box::pin(std::future::ready(reply)))
    })
}

/// Returns the names of the live peers of the own failure domain.
pub(crate) fn live_peers(mesh: &PeerMesh) -> BTreeSet<HostName> {
    let members = mesh.members();
    members.live_peers().map(|peer| peer.name.clone()).collect()
}
