//! Applies changed settings without a restart.

use std::sync::{Arc, PoisonError};

use crate::config::{CallersSettings, RoutingSettings, Settings};
use crate::transport::caller_tls::load_tls;
use crate::transport::host_context::HostContext;
use crate::transport::transport_error::TransportError;

/// Applies the settings that may change while the host runs.
///
/// These are the keys of the sections `[callers]`, `[routing]` and `[shutdown]` that are documented
/// as reloadable.
///
/// # Errors
///
/// Returns an error if the certificate for callers cannot be loaded; nothing is changed then.
pub fn reload_settings(context: &HostContext, changed: &Settings) -> Result<(), TransportError> {
    let tls = load_tls(&changed.callers)?;
    let current = context.current_settings();
    let merged = merge_settings(&current, changed);
    context.queue.set_limit(merged.routing.max_queued as usize);
    context
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .set_quarantine_time(merged.routing.quarantine_time);
    context.caller_tls.store(tls);
    context.replace_live(Arc::new(merged));
    Ok(())
}

/// Returns the current settings with the reloadable ones replaced by the changed ones.
///
/// ```
/// use galenamast::config::Settings;
/// use galenamast::transport::settings_reload::merge_settings;
///
/// let current = Settings::default();
/// let mut changed = current.clone();
/// changed.callers.max_streams = 7;
/// changed.callers.max_header_bytes = 9_000;
/// let merged = merge_settings(&current, &changed);
/// assert_eq!(merged.callers.max_streams, 7);
/// assert_eq!(merged.callers.max_header_bytes, current.callers.max_header_bytes);
/// ```
pub fn merge_settings(current: &Settings, changed: &Settings) -> Settings {
    Settings {
        callers: CallersSettings {
            listen: current.callers.listen,
            max_header_bytes: current.callers.max_header_bytes,
            ..changed.callers.clone()
        },
        routing: RoutingSettings {
            load_period: current.routing.load_period,
            leaving_bound: current.routing.leaving_bound,
            claim_retention: current.routing.claim_retention,
            ..changed.routing.clone()
        },
        shutdown: changed.shutdown.clone(),
        ..current.clone()
    }
}
