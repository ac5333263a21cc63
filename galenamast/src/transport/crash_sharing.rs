//! Shares the fingerprints of requests that servers died of between entry hosts.

use std::sync::{Arc, PoisonError};

use crate::coordination::{CrashNote, PeerScope};
use crate::logging::log_fault;
use crate::protocol::SoftState;
use crate::state::HostName;
use crate::transport::host_context::HostContext;
use crate::transport::peer_mesh::SoftHandler;

/// Takes in the notes of other entry hosts from now on.
pub fn follow_crash_notes(context: &Arc<HostContext>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    // The mesh belongs to the context, which a strong reference would keep for ever.
    let context = Arc::downgrade(context);
    let handler: SoftHandler = Arc::new(move |_: &HostName, state: &SoftState| {
        if let (SoftState::Crash(note), Some(context)) = (state, context.upgrade()) {
            apply_crash_note(&context, note);
        }
    });
    mesh.on_soft_state(&handler);
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
