//! Hands usage records to a peer of the failure domain, many in one request.

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

/// Records that wait to be copied; further ones wait for room.
const MAX_WAITING: usize = 4_096;
/// Greatest number of records in one request.
const MAX_COPIES: usize = 256;
/// Longest time of one request.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a peer that did not take copies is passed over.
const PEER_PAUSE: Duration = Duration::from_secs(5);

/// A record that waits to be copied, and who waits for it.
#[derive(Debug)]
struct PendingCopy {
    copy: UsageCopy,
    held: oneshot::Sender<bool>,
}

/// Hands usage records to a peer; records that arrive during a request share the next one.
#[derive(Clone, Debug)]
pub struct UsageCopier {
    sender: mpsc::Sender<PendingCopy>,
}

/// The peer that did not take copies, and until when it is passed over.
#[derive(Clone, Debug)]
struct PausedPeer {
    name: HostName,
    until: TimePoint,
}

impl UsageCopier {
    /// Starts a copier over a mesh; it ends when its last copy call is dropped.
    pub fn start(mesh: &PeerMesh) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        tokio::spawn(run_copier(mesh.clone(), receiver));
        Self { sender }
    }

    /// Returns the call that hands over a record; it answers whether the peer holds it.
    pub fn copy_call(&self) -> CopyCall {
        let sender = self.sender.clone();
        Arc::new(move |copy| hand_over(sender.clone(), copy))
    }
}

/// Queues a record and waits until it is copied.
fn hand_over(sender: mpsc::Sender<PendingCopy>, copy: UsageCopy) -> CallFuture<bool> {
    Box::pin(async move {
        let (held, answer) = oneshot::channel();
        if sender.send(PendingCopy { copy, held }).await.is_err() {
            return Ok(false);
        }
        Ok(answer.await.unwrap_or(false))
    })
}

/// Sends one request after the other, each with all records that wait.
async fn run_copier(mesh: PeerMesh, mut receiver: mpsc::Receiver<PendingCopy>) {
    let mut paused = None;
    let mut pending = Vec::new();
    while receiver.recv_many(&mut pending, MAX_COPIES).await > 0 {
        let (copies, waiters): (Vec<UsageCopy>, Vec<oneshot::Sender<bool>>) = pending
            .drain(..)
            .map(|pending| (pending.copy, pending.held))
            .unzip();
        let held = send_copies(&mesh, &mut paused, copies).await;
        for waiter in waiters {
            // Whoever no longer waits has found another place for the record.
            let _ = waiter.send(held);
        }
    }
}

/// Sends copies to the first peer that is not paused; returns whether it holds them all.
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
    let held = reply == Some(PeerReply::Done);
    if !held {
        let until = now + PEER_PAUSE;
        *paused = Some(PausedPeer { name: peer, until });
    }
    held
}

/// Chooses the peer that holds this host's copies.
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
