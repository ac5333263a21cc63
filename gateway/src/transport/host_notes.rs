//! Tells other hosts, through the store, what this one has seen.

use std::sync::Arc;

use http::{Method, StatusCode};
use log::Level;

use crate::protocol::{GatewayRecord, ObjectKind};
use crate::state::{HostNote, NoteContent};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;
use crate::transport::store_client::StoreError;

/// Writes a note for the other hosts; without the store they go by what they see themselves.
pub(crate) fn tell_hosts(context: &Arc<GatewayContext>, content: NoteContent) {
    let context = context.clone();
    tokio::spawn(async move {
        let note = HostNote { host: context.settings.host.clone(), content };
        if let Err(error) = write_note(&context, &note).await {
            let message = error.to_string();
            log_record(Level::Warn, &GatewayRecord::Fault { part: "host note", message });
        }
    });
}

/// Writes a note; one that is there with the same name is replaced.
///
/// # Errors
///
/// Returns an error if the store does not confirm the note.
pub(crate) async fn write_note(
    context: &GatewayContext,
    note: &HostNote,
) -> Result<(), StoreError> {
    let (name, body) = (context.format.write_note)(note);
    let timeout = context.settings.store_timeout;
    let path = (context.format.object_path)(ObjectKind::HostNotes, "");
    let (status, _) = context.store.call(Method::POST, &path, body.clone(), timeout).await?;
    if status.is_success() {
        return Ok(());
    }
    if status != StatusCode::CONFLICT {
        return Err(StoreError::Status(status));
    }
    let path = (context.format.object_path)(ObjectKind::HostNotes, &name);
    match context.store.call(Method::PUT, &path, body, timeout).await? {
        (status, _) if status.is_success() => Ok(()),
        (status, _) => Err(StoreError::Status(status)),
    }
}
