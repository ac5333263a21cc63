//! Shares crash notes between entry hosts: fingerprints of requests during which servers crashed.

use std::collections::BTreeSet;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use crate::coordination::{CrashNote, PeerScope};
use crate::logging::log_fault;
use crate::protocol::{PeerReply, PeerRequest, SoftState};
use crate::state::HostName;
use crate::transport::host_context::HostContext;
use crate::transport::peer_mesh::{PeerMesh, RequestHandler, SoftStateHandler};

/// Time between two requests for notes while a host is starting.
const STARTUP_SYNC_PERIOD: Duration = Duration::from_millis(100);
/// Number of hosts to ask after the start, as some of them may have just started themselves.
const STARTUP_SYNC_HOSTS: usize = 8;
/// Time between two requests for notes after that, to catch up on notes missed while cut off.
const SYNC_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of notes in a reply.
const MAX_REPLY_NOTES: usize = 64;

/// Subscribes to the crash notes of other entry hosts.
pub fn subscribe_crash_notes(context: &Arc<HostContext>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    // The context owns the mesh; a strong reference in its handler would leak both.
    let context = Arc::downgrade(context);
    let handler: SoftStateHandler = Arc::new(move |_: &HostName, state: &SoftState| {
        if let (SoftState::Crash(note), Some(context)) = (state, context.upgrade()) {
            apply_crash_note(&context, note);
        }
    });
    mesh.on_soft_state(&handler);
}

/// Answers requests for crash notes, and requests those of other hosts until aborted.
///
/// Gossip only reaches hosts that are up and reachable when a server crashes. Hosts that start or
/// reconnect later request the notes that they missed.
pub async fn sync_crash_notes(context: Arc<HostContext>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    mesh.on_request(&crash_note_handler(&context));
    let mut asked = BTreeSet::new();
    loop {
        let known = known_hosts(mesh);
        let starting = asked.len() < STARTUP_SYNC_HOSTS;
        let unasked = known.iter().find(|host| starting && !asked.contains(*host));
        let seed = usize::try_from(context.next_seed()).unwrap_or_default();
        let random = known.get(seed % known.len().max(1));
        let period = if unasked.is_some() || known.is_empty() {
            STARTUP_SYNC_PERIOD
        } else {
            SYNC_PERIOD
        };
        if let Some(peer) = unasked.or(random) {
            let reply = mesh.request(peer, PeerRequest::ReadCrashNotes).await;
            if let Ok(PeerReply::CrashNotes(notes)) = reply {
                merge_crash_notes(&context, &notes);
            }
            asked.insert(peer.clone());
        }
        context.timers.sleep(period).await;
    }
}

/// Returns the handler that answers requests for this host's notes.
fn crash_note_handler(context: &Arc<HostContext>) -> RequestHandler {
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
            .notes(MAX_REPLY_NOTES, now);
        Some(Box::pin(std::future::ready(PeerReply::CrashNotes(notes))))
    })
}

/// Returns the live hosts of this failure domain and the live contacts in others.
fn known_hosts(mesh: &PeerMesh) -> Vec<HostName> {
    let members = mesh.members();
    let contacts = members.contacts.values();
    let contacts = contacts.filter(|record| record.is_live());
    let known = members.live_peers().chain(contacts);
    known.map(|record| record.name.clone()).collect()
}

/// Merges notes that were requested from another host.
fn merge_crash_notes(context: &HostContext, notes: &[CrashNote]) {
    let now = context.timers.now();
    let quarantine = context.quarantine.lock();
    let mut quarantine = quarantine.unwrap_or_else(PoisonError::into_inner);
    for note in notes {
        quarantine.merge_note(note, now);
    }
}

/// Broadcasts crash notes to all entry hosts.
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

/// Adds a broadcast note of another entry host to the quarantine.
fn apply_crash_note(context: &HostContext, note: &CrashNote) {
    let now = context.timers.now();
    context
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .apply_note(note, now);
}
