//! Copies usage records to a peer of the failure domain in batches.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::coordination::{UsageCopy, rank_hosts};
use crate::protocol::{PeerReply, PeerRequest};
use crate::state::{HostName, TimePoint};
use crate::transport::object_calls::CallFuture;
use crate::transport::peer_mesh::PeerMesh;
use crate::transport::usage_ledger::CopyCall;
use crate::transport::usage_peers::live_peers;

/// Capacity of the queue of records to be copied; senders wait when it is full.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of records in one request.
const MAX_COPIES: usize = 256;
/// Time limit for one request.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a peer that did not store copies is not chosen again.
const PEER_PAUSE: Duration = Duration::from_secs(5);

/// A record to be copied and the channel that receives the result.
#[derive(Debug)]
struct PendingCopy {
    copy: UsageCopy,
    stored: oneshot::Sender<bool>,
}

/// Copies usage records to a peer; records that arrive during a request are sent in the next one.
#[derive(Clone, Debug)]
pub struct UsageCopier {
    sender: mpsc::Sender<PendingCopy>,
}

/// The peer that did not store copies, and until when it is not chosen again.
#[derive(Clone, Debug)]
struct PausedPeer {
    name: HostName,
    until: TimePoint,
}

impl UsageCopier {
    /// Spawns the copier task, which ends when the copier and its copy calls are dropped.
    pub fn start(mesh: &PeerMesh) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run_copier(mesh.clone(), receiver));
        Self { sender }
    }

    /// Returns the call that copies a record and returns whether the peer stored it.
    pub fn copy_call(&self) -> CopyCall {
        let sender = self.sender.clone();
        Arc::new(move |copy| queue_copy(sender.clone(), copy))
    }
}

/// Queues a record and waits for the result of its copy.
fn queue_copy(sender: mpsc::Sender<PendingCopy>, copy: UsageCopy) -> CallFuture<bool> {
    Box::pin(async move {
        let (stored, result) = oneshot::channel();
        if sender.send(PendingCopy { copy, stored }).await.is_err() {
            return Ok(false);
        }
        Ok(result.await.unwrap_or(false))
    })
}

/// Sends one request at a time, each with up to [`MAX_COPIES`] queued records.
async fn run_copier(mesh: PeerMesh, mut receiver: mpsc::Receiver<PendingCopy>) {
    let mut paused = None;
    let mut pending = Vec::new();
    while receiver.recv_many(&mut pending, MAX_COPIES).await > 0 {
        let (copies, waiters): (Vec<UsageCopy>, Vec<oneshot::Sender<bool>>) = pending
            .drain(..)
            .map(|pending| (pending.copy, pending.stored))
            .unzip();
        let stored = send_copies(&mesh, &mut paused, copies).await;
        for waiter in waiters {
            // A receiver that is gone timed out and writes the record to the platform.
            let _ = waiter.send(stored);
        }
    }
}

/// Sends copies to the chosen peer and returns whether it stored them all.
async fn send_copies(
    mesh: &PeerMesh,
    paused: &mut Option<PausedPeer>,
    copies: Vec<UsageCopy>,
) -> bool {
    let now = mesh.shared.timers.now();
    if paused.as_ref().is_some_and(|peer| peer.until <= now) {
        *paused = None;
    }
    let Some(peer) = choose_peer(mesh, paused.as_ref()) else {
        return false;
    };
    let request = mesh.request(&peer, PeerRequest::StoreUsage(copies));
    let reply = tokio::select! {
        reply = request => reply.ok(),
        () = mesh.shared.timers.sleep(COPY_TIMEOUT) => None,
    };
    let stored = reply == Some(PeerReply::Done);
    if !stored {
        let until = now + PEER_PAUSE;
        *paused = Some(PausedPeer { name: peer, until });
    }
    stored
}

/// Chooses the peer that stores this host's copies; a paused one only if there is no other.
fn choose_peer(mesh: &PeerMesh, paused: Option<&PausedPeer>) -> Option<HostName> {
    let task = format!("usage of {}", mesh.own());
    let mut peers: BTreeSet<HostName> = live_peers(mesh);
    if let Some(paused) = paused
        && peers.len() > 1
    {
        peers.remove(&paused.name);
    }
    rank_hosts(&task, &peers).into_iter().next()
}
