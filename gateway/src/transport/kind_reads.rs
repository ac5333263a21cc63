//! Requests to the followers of the store to read at once what changed.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::state::FollowedKind;

/// A request to read what changed.
#[derive(Debug)]
pub(crate) struct ReadRequest {
    /// Whether stale data, which is cheaper, is good enough.
    pub(crate) stale: bool,
    /// Told when the changes are applied; dropped if the read fails.
    pub(crate) done: oneshot::Sender<()>,
}

/// Senders of requests to the follower of each kind.
#[derive(Debug)]
pub(crate) struct KindReads {
    senders: BTreeMap<FollowedKind, mpsc::UnboundedSender<ReadRequest>>,
    // Each is taken once, by the follower of the kind.
    receivers: Mutex<BTreeMap<FollowedKind, mpsc::UnboundedReceiver<ReadRequest>>>,
}

impl KindReads {
    /// Creates the senders and receivers of the kinds that the host follows.
    pub(crate) fn new(kinds: &[FollowedKind]) -> Self {
        let (mut senders, mut receivers) = (BTreeMap::new(), BTreeMap::new());
        for kind in kinds.iter().copied() {
            let (sender, receiver) = mpsc::unbounded_channel();
            senders.insert(kind, sender);
            receivers.insert(kind, receiver);
        }
        Self {
            senders,
            receivers: Mutex::new(receivers),
        }
    }

    /// Takes the receiver of a kind's requests; `None` if it was taken before.
    pub(crate) fn take_receiver(
        &self,
        kind: FollowedKind,
    ) -> Option<mpsc::UnboundedReceiver<ReadRequest>> {
        self.receivers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&kind)
    }

    /// Requests a read of a kind and returns the receiver of its end.
    pub(crate) fn request(&self, kind: FollowedKind, stale: bool) -> oneshot::Receiver<()> {
        let (done, receiver) = oneshot::channel();
        if let Some(sender) = self.senders.get(&kind) {
            // The follower is gone only while the host stops; the request is dropped then.
            let _ = sender.send(ReadRequest { stale, done });
        }
        receiver
    }

    /// Has some kinds read; returns whether their changes were applied within `timeout`.
    pub(crate) async fn read(
        &self,
        kinds: &[FollowedKind],
        stale: bool,
        timeout: Duration,
    ) -> bool {
        let reads = kinds.iter().map(|kind| self.request(*kind, stale));
        let all = futures_util::future::try_join_all(reads);
        matches!(tokio::time::timeout(timeout, all).await, Ok(Ok(_)))
    }
}
