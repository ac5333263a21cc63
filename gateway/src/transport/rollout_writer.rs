//! Writes the reports of roll-outs to the store.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use log::Level;
use rand::Rng;

use crate::protocol::{GatewayRecord, ObjectKind};
use crate::state::{RolloutOrder, RolloutReport, RolloutState};
use crate::transport::gateway_context::{GatewayContext, stable_hash};
use crate::transport::record_log::log_record;
use crate::transport::store_client::StoreResponse;

/// Interval between checks for due reports.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest delay after failed writes. All hosts retry, and each also retries when a follower
/// reaches the store again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(3_200);
/// Longest time a host waits for another host to write the report first, for each known host.
const WRITE_DELAY_PER_HOST: Duration = Duration::from_millis(100);
/// Longest time a host waits for another host to write the report first.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(4);
/// Part of that time for the report of a bad version, which every host stops to use by itself.
const BAD_VERSION_DELAY_PART: f64 = 0.25;

/// Writes due reports until the task is dropped.
pub(crate) async fn write_reports(context: Arc<GatewayContext>) {
    let mut store_recoveries = context.store_recoveries.subscribe();
    let mut retry_delay = POLL_INTERVAL;
    loop {
        if !context.rollouts().has_open() {
            context.rollout_changed.notified().await;
        }
        let now = context.now();
        let due =
            context
                .rollouts()
                .due_reports(context.store.era(), now, context.timers.unix_millis());
        let mut failed = false;
        for (order, report) in due {
            // Usually the first host writes the report for all.
            tokio::time::sleep(write_delay(&context, &order, report.state)).await;
            let unix_ms = context.timers.unix_millis();
            let (era, now) = (context.store.era(), context.now());
            let still_due = context.rollouts().due_reports(era, now, unix_ms);
            let revision = order.revision;
            if still_due
                .iter()
                .any(|(order, due)| order.revision == revision && due.state == report.state)
            {
                failed |= !write_report(&context, &order, &report).await;
            }
        }
        if failed {
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            let jitter = rand::rng().random_range(0.5..1.0);
            tokio::select! {
                // The sender is never dropped.
                _ = store_recoveries.changed() => {}
                () = tokio::time::sleep(retry_delay.mul_f64(jitter)) => {}
            }
            continue;
        }
        retry_delay = POLL_INTERVAL;
        store_recoveries.mark_unchanged();
        tokio::select! {
            () = context.rollout_changed.notified() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Returns how long this host waits before a write. The order of hosts differs for each revision.
fn write_delay(context: &GatewayContext, order: &RolloutOrder, state: RolloutState) -> Duration {
    let host = context.settings.host.as_bytes();
    let permille = stable_hash(&[host, &order.revision.revision.to_le_bytes()]) % 1_000;
    let hosts = u32::try_from(context.peers().len()).unwrap_or(u32::MAX);
    let longest = WRITE_DELAY_PER_HOST
        .saturating_mul(hosts)
        .min(MAX_WRITE_DELAY);
    let part = match state {
        RolloutState::RolledBack => BAD_VERSION_DELAY_PART,
        _ => 1.0,
    };
    longest.mul_f64(part * permille as f64 / 1_000.0)
}

/// Writes one report, conditional on the revision of the order. Returns whether the store wrote it
/// or reported a conflict.
async fn write_report(
    context: &GatewayContext,
    order: &RolloutOrder,
    report: &RolloutReport,
) -> bool {
    let path = (context.format.status_path)(ObjectKind::Rollouts, &order.name);
    let body = (context.format.write_rollout)(order, report);
    let timeout = context.settings.store_timeout;
    let written = context.store.call(Method::PUT, &path, body, timeout).await;
    let message = match written {
        Ok(response) if response.status.is_success() || response.status == StatusCode::CONFLICT => {
            if apply_stored_order(context, &response) || response.status.is_success() {
                return true;
            }
            "the store reported a conflict with an order that cannot be read".to_owned()
        }
        Ok(response) => format!("the store responded with status {}", response.status),
        // The write may have been executed; the watch shows whether it was.
        Err(error) => error.to_string(),
    };
    log_record(
        Level::Warn,
        &GatewayRecord::Fault {
            part: "roll-out report",
            message,
        },
    );
    false
}

/// Applies the object that the store returned for a write or a conflict. Returns whether it contains an
/// order.
fn apply_stored_order(context: &GatewayContext, response: &StoreResponse) -> bool {
    let object = (context.format.read_object)(&response.body, response.era);
    let Ok(order) = object.and_then(|object| (context.format.read_rollout)(&object)) else {
        return false;
    };
    let now = context.now();
    if context.rollouts().apply_order(order.clone(), now) {
        let record = GatewayRecord::RolloutChanged {
            service: order.service.clone(),
            target: order.target,
            state: format!("{:?}", order.state),
            share: order.share,
            evidence: context.rollouts().evidence(&order.service),
        };
        log_record(Level::Info, &record);
    }
    true
}
