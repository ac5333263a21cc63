//! Writes the reports of roll-outs.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use log::Level;
use rand::Rng;

use crate::protocol::{GatewayRecord, ObjectKind};
use crate::state::{RolloutOrder, RolloutReport, RolloutState};
use crate::transport::gateway_context::{GatewayContext, stable_hash};
use crate::transport::record_log::log_record;

/// Time between looks at the roll-outs.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest pause after failed writes; all hosts try, and each waits for the store's return too.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(3_200);
/// Longest time that a host leaves the others to write first.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(900);

/// Writes due reports for as long as the process runs.
pub(crate) async fn write_reports(context: Arc<GatewayContext>) {
    let mut returns = context.store_recoveries.subscribe();
    let mut pause = POLL_INTERVAL;
    loop {
        if !context.rollouts().has_open() {
            context.rollout_changed.notified().await;
        }
        let now = context.now();
        let due = context
            .rollouts()
            .due_reports(now, context.timers.unix_millis());
        let mut failed = false;
        for (order, report) in due {
            // A bad version is stopped at once; for the rest, one host of many writes.
            if report.state != RolloutState::RolledBack {
                tokio::time::sleep(write_delay(&context, &order)).await;
            }
            let unix_ms = context.timers.unix_millis();
            let still_due = context.rollouts().due_reports(context.now(), unix_ms);
            let revision = order.revision;
            if still_due
                .iter()
                .any(|(order, due)| order.revision == revision && due.state == report.state)
            {
                failed |= !write_report(&context, &order, &report).await;
            }
        }
        if failed {
            pause = (pause * 2).min(MAX_RETRY_DELAY);
            let spread = rand::rng().random_range(0.5..1.0);
            tokio::select! {
                // The sender lives as long as the process.
                _ = returns.changed() => {}
                () = tokio::time::sleep(pause.mul_f64(spread)) => {}
            }
            continue;
        }
        pause = POLL_INTERVAL;
        returns.mark_unchanged();
        tokio::select! {
            () = context.rollout_changed.notified() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Returns how long this host leaves a write to others; the order of hosts changes each time.
fn write_delay(context: &GatewayContext, order: &RolloutOrder) -> Duration {
    let host = context.settings.host.as_bytes();
    let point = stable_hash(&[host, &order.revision.to_le_bytes()]) % 1_000;
    MAX_WRITE_DELAY.mul_f64(point as f64 / 1_000.0)
}

/// Writes one report on condition of the revision that it rests on; returns whether the store
/// answered.
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
        Ok((status, body)) if status.is_success() || status == StatusCode::CONFLICT => {
            apply_stored_order(context, &body);
            return true;
        }
        Ok((status, _)) => format!("the store answered with status {status}"),
        // The write may have been executed; the watch tells.
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

/// Takes in the object as it is after a write or a refused one.
fn apply_stored_order(context: &GatewayContext, body: &[u8]) {
    let object = (context.format.read_object)(body).ok();
    let Some(order) = object.and_then(|object| (context.format.read_rollout)(&object)) else {
        return;
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
}
