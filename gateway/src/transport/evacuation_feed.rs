//! Applies, logs and reports evacuations of failure domains.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use rand::Rng;

use crate::protocol::{GatewayRecord, PeerMessage, StoredObject};
use crate::state::{EvacuationReport, ServerEntry, StorePosition};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;
use crate::transport::store_follower::KindUpdate;

/// Interval at which a host reports the domains that are evacuated to a few others.
pub(crate) const EVACUATION_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Largest number of domains in one datagram.
pub(crate) const EVACUATIONS_PER_DATAGRAM: usize = 32;
/// Longest delay before a change that the store stated is reported, so that usually one host reports it.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(100);
/// Wait while no report is planned and no evacuation ends by itself; an event ends it earlier.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Applies an update of the evacuations from the store.
pub(crate) fn apply_evacuations(context: &GatewayContext, update: KindUpdate) {
    let now = context.now();
    let read_all = |objects: &[StoredObject]| -> Vec<(Arc<str>, StorePosition)> {
        let read = |object| Some(((context.format.read_evacuation)(object)?, object.revision));
        objects.iter().filter_map(read).collect()
    };
    let changes = match update {
        KindUpdate::Listed(objects, position) => {
            let list = read_all(&objects);
            context.evacuations().replace(&list, position, now)
        }
        KindUpdate::Restored(objects, position) => {
            let list = read_all(&objects);
            context.evacuations().restore(&list, position, now)
        }
        KindUpdate::Changed(change) => {
            let (object, evacuated) = (&change.object, !change.removed);
            let Some(domain) = (context.format.read_evacuation)(object) else {
                return;
            };
            let mut evacuations = context.evacuations();
            let change = evacuations.record_change(&domain, evacuated, object.revision, now);
            change.into_iter().collect()
        }
    };
    for change in changes {
        let delay = MAX_REPORT_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
        context
            .evacuations()
            .plan_report(&change.domain, now + delay);
        apply_change(context, &change, "store");
    }
    context.evacuations_due.notify_one();
}

/// Applies what another host reports, unless this host follows no evacuations.
pub(crate) fn apply_evacuation_reports(context: &GatewayContext, reports: &[EvacuationReport]) {
    if context.settings.evacuation_bound.is_none() {
        return;
    }
    let now = context.now();
    for report in reports {
        let change = context.evacuations().record_report(report, now);
        if let Some(change) = change {
            apply_change(context, &change, "host");
        }
    }
}

/// Sends planned reports to the other hosts, and ends evacuations that the store lost, until the task is
/// dropped.
pub(crate) async fn run_evacuations(context: Arc<GatewayContext>) {
    loop {
        let now = context.now();
        let due_at = context.evacuations().next_due();
        let wait = due_at.map_or(IDLE_WAIT, |due_at| due_at.since(now));
        tokio::select! {
            () = context.timers.sleep(wait) => {}
            () = context.evacuations_due.notified() => continue,
        }
        let now = context.now();
        let ended = context.evacuations().expire(now);
        for change in ended {
            apply_change(&context, &change, "store");
        }
        let due = context.evacuations().due_reports(now);
        if !due.is_empty() {
            context.send_to_peers(PeerMessage::Evacuations(due));
        }
    }
}

/// Logs a change of one domain, which the host learned from `source`, and closes idle connections to its
/// servers. They may be cold at the end of an evacuation.
fn apply_change(context: &GatewayContext, change: &EvacuationReport, source: &'static str) {
    let concerned: Vec<ServerEntry> = {
        let servers = context.servers();
        let in_domain = servers.listed().filter(|e| e.domain == change.domain);
        in_domain.cloned().collect()
    };
    let (state, counter) = if change.evacuated {
        ("evacuated", "evacuations_total")
    } else {
        ("ended", "evacuations_ended_total")
    };
    for entry in &concerned {
        context.pool.clear(entry.address);
    }
    if !change.evacuated {
        let ids: Vec<Arc<str>> = concerned.iter().map(|entry| entry.id.clone()).collect();
        let now = context.now();
        context.permits().cold().suspect(&ids, now);
    }
    context.metrics.increment(counter);
    let record = GatewayRecord::EvacuationChanged {
        domain: change.domain.clone(),
        state,
        source,
        servers: concerned.len(),
    };
    log_record(Level::Warn, &record);
}
