//! Decodes objects of the store and reports those that cannot be read.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use log::Level;

use crate::protocol::{
    FormatError, GatewayRecord, ObjectChanges, ObjectKind, ObjectPage, StoredObject,
};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;
use crate::transport::store_client::StoreResponse;

/// Decodes a page of a list.
///
/// # Errors
///
/// Returns an error if the response is no page; an unreadable object in it is reported instead.
pub(crate) fn read_page(
    context: &GatewayContext,
    kind: ObjectKind,
    response: &StoreResponse,
) -> Result<ObjectPage, FormatError> {
    let page = (context.format.read_page)(&response.body, response.era)?;
    for object in &page.objects {
        report_object(context, kind, object);
    }
    report_unnamed(context, kind, &page.unnamed);
    Ok(page)
}

/// Decodes the response to a watch.
///
/// # Errors
///
/// Returns an error if the response holds no changes; an unreadable object in it is reported instead.
pub(crate) fn read_changes(
    context: &GatewayContext,
    kind: ObjectKind,
    response: &StoreResponse,
) -> Result<ObjectChanges, FormatError> {
    let changes = (context.format.read_changes)(&response.body, response.era)?;
    for change in &changes.changes {
        if change.removed {
            context.defects().forget(kind, &change.object.name);
        } else {
            report_object(context, kind, &change.object);
        }
    }
    report_unnamed(context, kind, &changes.unnamed);
    Ok(changes)
}

/// Returns what was decoded from an object, or reports why it could not be.
pub(crate) fn accept_readable<T>(
    context: &GatewayContext,
    kind: ObjectKind,
    object: &StoredObject,
    decode: fn(&StoredObject) -> Result<T, FormatError>,
) -> Option<T> {
    // A panic would end the task that follows all objects of the kind.
    let decoded = catch_unwind(AssertUnwindSafe(|| decode(object)));
    match decoded.unwrap_or_else(|_| Err(FormatError::Panicked)) {
        Ok(decoded) => {
            if object.defect.is_none() {
                context.defects().forget(kind, &object.name);
            }
            Some(decoded)
        }
        Err(error) => {
            report_defect(context, kind, &object.name, &error.to_string());
            None
        }
    }
}

/// Reports an object whose content or status cannot be read.
fn report_object(context: &GatewayContext, kind: ObjectKind, object: &StoredObject) {
    if let Some(defect) = &object.defect {
        report_defect(context, kind, &object.name, defect);
    }
}

/// Reports objects whose names cannot be read; they share one report.
fn report_unnamed(context: &GatewayContext, kind: ObjectKind, reasons: &[String]) {
    for reason in reasons {
        report_defect(context, kind, &Arc::default(), reason);
    }
}

/// Logs and counts an unreadable object, unless it was reported before.
fn report_defect(context: &GatewayContext, kind: ObjectKind, name: &Arc<str>, reason: &str) {
    if !context.defects().record(kind, name) {
        return;
    }
    context.metrics.increment("objects_unreadable_total");
    let record = GatewayRecord::ObjectUnreadable {
        kind: kind.name(),
        name: name.clone(),
        reason: reason.to_owned(),
    };
    log_record(Level::Warn, &record);
}
