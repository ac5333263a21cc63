//! Tells other hosts, through the store, what this one has seen.

use std::sync::Arc;

use http::Method;
use log::Level;

use crate::protocol::{GatewayRecord, ObjectKind};
use crate::state::{HostNote, NoteContent};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;

/// Writes a note for the other hosts; without the store they go by what they see themselves.
pub(crate) fn tell_hosts(context: &Arc<GatewayContext>, content: NoteContent) {
    let context = context.clone();
    tokio::spawn(async move {
        let note = HostNote { host: context.settings.host.clone(), content };
        let body = (context.format.write_note)(&note);
        let path = (context.format.object_path)(ObjectKind::HostNotes, "");
        let timeout = context.settings.store_timeout;
        if let Err(error) = context.store.call(Method::POST, &path, body, timeout).await {
            let message = error.to_string();
            log_record(Level::Warn, &GatewayRecord::Fault { part: "host note", message });
        }
    });
}
