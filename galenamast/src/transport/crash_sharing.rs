//! Shares the fingerprints of requests that servers died of between entry hosts.

use std::collections::BTreeSet;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use crate::coordination::{CrashNote, PeerScope};
use crate::logging::log_fault;
use crate::protocol::{PeerReply, PeerRequest, SoftState};
use crate::state::HostName;
use crate::transport::host_context::HostContext;
use crate::transport::peer_mesh::{PeerMesh, RequestHandler, SoftStateHandler};

/// Time between two questions of a host that has just started.
const FIRST_ASK_PERIOD: Duration = Duration::from_millis(100);
/// Hosts that a host asks after its start, as some of them may have started just before.
const FIRST_ASKS: usize = 8;
/// Time between two questions after that, for hosts that missed notes while they were cut off.
const ASK_PERIOD: Duration = Duration::from_secs(5);
/// Greatest number of notes in a reply.
const MAX_NOTES: usize = 64;

/// Takes in the notes of other entry hosts from now on.
pub fn subscribe_crash_notes(context: &Arc<HostContext>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    // The mesh belongs to the context, which a strong reference would keep for ever.
    let context = Arc::downgrade(context);
    let handler: SoftStateHandler = Arc::new(move |_: &HostName, state: &SoftState| {
        if let (SoftState::Crash(note), Some(context)) = (state, context.upgrade()) {
            apply_crash_note(&context, note);
        }
    });
    mesh.on_soft_state(&handler);
}

/// Answers other hosts' questions for notes from now on, and asks for theirs until aborted.
///
/// Gossip reaches the hosts that run and can be reached when a server dies; the others ask.
pub async fn sync_crash_notes(context: Arc<HostContext>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    mesh.on_request(&note_handler(&context));
    let mut asked = BTreeSet::new();
    loop {
        let known = known_hosts(mesh);
        let starting = asked.len() < FIRST_ASKS;
        let fresh = known.iter().find(|host| starting && !asked.contains(*host));
        let seed = usize::try_from(context.next_seed()).unwrap_or_default();
        let any = known.get(seed % known.len().max(1));
        let period = if fresh.is_some() || known.is_empty() {
            FIRST_ASK_PERIOD
        } else {
            ASK_PERIOD
        };
        if let Some(peer) = fresh.or(any) {
            let reply = mesh.request(peer, PeerRequest::ReadCrashNotes).await;
            if let Ok(PeerReply::CrashNotes(notes)) = reply {
                learn_crash_notes(&context, &notes);
            }
            asked.insert(peer.clone());
        }
        context.timers.sleep(period).await;
    }
}

/// Returns the handler that tells another host the notes of this one.
fn note_handler(context: &Arc<HostContext>) -> RequestHandler {
    let context = Arc::downgrade(context);
    Arc::new(move |_, request| {
        if *request != PeerRequest::ReadCrashNotes {
            return None;
        }
        let context = context.upgrade()?;
        let now = context.timers.now();
        let quarantine = context.quarantine.lock();
        let notes = quarantine
            .unwrap_or_else(PoisonError::into_inner)
            .notes(MAX_NOTES, now);
        Some(Box::pin(std::future::ready(PeerReply::CrashNotes(notes))))
    })
}

/// Returns the names of the known live hosts.
fn known_hosts(mesh: &PeerMesh) -> Vec<HostName> {
    let members = mesh.members();
    let contacts = members.contacts.values();
    let contacts = contacts.filter(|record| record.is_live());
    let known = members.live_peers().chain(contacts);
    known.map(|record| record.name.clone()).collect()
}

/// Takes in the notes that another host kept.
fn learn_crash_notes(context: &HostContext, notes: &[CrashNote]) {
    let now = context.timers.now();
    let quarantine = context.quarantine.lock();
    let mut quarantine = quarantine.unwrap_or_else(PoisonError::into_inner);
    for note in notes {
        quarantine.merge_note(note, now);
    }
}

/// Tells other entry hosts of requests that servers died of.
pub fn share_crash_notes(context: &HostContext, notes: &[CrashNote]) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    for note in notes {
        let state = SoftState::Crash(note.clone());
        if let Err(error) = mesh.broadcast(PeerScope::Fleet, &state) {
            log_fault("quarantine", &error);
        }
    }
}

/// Takes in a note of another entry host.
fn apply_crash_note(context: &HostContext, note: &CrashNote) {
    let now = context.timers.now();
    context
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .apply_note(note, now);
}
