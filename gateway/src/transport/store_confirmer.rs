//! Confirms that what the host knows of the store is current, and reports it to the other hosts of
//! its failure domain.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::Level;
use rand::Rng;

use crate::protocol::{GatewayRecord, ObjectKind, ObjectQuery, PeerMessage};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::object_reads::read_page;
use crate::transport::record_log::log_record;
use crate::transport::store_client::StoreError;
use crate::transport::store_feeds::apply_current_rollouts;

/// Delay after the first failed confirmation. All delays here are reduced by a random part of up to
/// half.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Longest delay after failed confirmations.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(900);
/// Delay while the leading follower fails; this part relies on it to reach the store.
const LEADER_FAILING_DELAY: Duration = Duration::from_secs(6);
/// Parts of the bound on applying changes between which a host waits for its own watch to return
/// what another host reported.
const CATCH_UP_PARTS: std::ops::Range<f64> = 0.05..0.2;

/// Confirms the host's knowledge of the store, whenever no other host's report has, until the task
/// is dropped.
pub(crate) async fn confirm_store(context: Arc<GatewayContext>) {
    while !context.freshness().is_listed() {
        context.kind_listed.notified().await;
    }
    let mut is_first = true;
    let mut retry_delay = INITIAL_RETRY_DELAY;
    let mut is_reachable = true;
    loop {
        let due_in = context.freshness().confirmation_due_in(context.now());
        if !due_in.is_zero() {
            tokio::time::sleep(due_in).await;
            continue;
        }
        let confirmed = confirm_once(&context, is_reachable).await;
        if confirmed.is_ok() != is_reachable {
            is_reachable = confirmed.is_ok();
            record_contact_change(&context, confirmed.as_ref().err());
        }
        if confirmed.is_err() {
            wait_for_store(&context, retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            continue;
        }
        retry_delay = INITIAL_RETRY_DELAY;
        // A host that just started knows when kinds were listed, not when they last changed, so
        // that its report would make the others read them.
        if !std::mem::take(&mut is_first)
            && let Some(report) = context.freshness().report(context.now())
        {
            context.send_to_peers(PeerMessage::Freshness(report));
        }
    }
}

/// Reads the store's revision by a list of the roll-outs, which is short, and all kinds if any change
/// up to it is not known yet. The store is first asked by a cheaper call if it did not answer the
/// last time.
async fn confirm_once(context: &GatewayContext, is_reachable: bool) -> Result<(), StoreError> {
    let timeout = context.settings.store_timeout;
    let rollouts = |stale| {
        (context.format.query_path)(&ObjectQuery::List {
            kind: ObjectKind::Rollouts,
            after: None,
            stale,
        })
    };
    if !is_reachable {
        context.store.read(&rollouts(true), timeout).await?;
    }
    let started_at = context.now();
    let response = context.store.read(&rollouts(false), timeout).await?;
    let page = read_page(context, ObjectKind::Rollouts, &response)?;
    let revision = page.revision;
    if !page.has_more {
        apply_current_rollouts(context, page);
    }
    let followed_kinds = context.settings.followed_kinds();
    // Stale data usually contains the changes that are not known yet.
    for accepts_stale in [true, false] {
        if context.freshness().confirm_revision(revision, started_at) {
            return Ok(());
        }
        let reads = context
            .kind_reads
            .read(&followed_kinds, accepts_stale, timeout);
        if !reads.await {
            return Err(StoreError::TimedOut);
        }
    }
    Ok(())
}

/// Waits before the next confirmation: until a follower reaches the store again, or for the delay.
/// While the leading follower fails, which retries by cheaper calls, the delay is long.
async fn wait_for_store(context: &GatewayContext, retry_delay: Duration) {
    let mut store_recoveries = context.store_recoveries.subscribe();
    let retry_delay = if context.store_reachable.load(Ordering::Relaxed) {
        retry_delay
    } else {
        LEADER_FAILING_DELAY
    };
    let retry_delay = retry_delay.mul_f64(rand::rng().random_range(0.5..1.0));
    tokio::select! {
        () = tokio::time::sleep(retry_delay) => {}
        // The sender is never dropped.
        _ = store_recoveries.changed() => {}
    }
}

/// Logs that the store stopped confirming, with the error, or resumed. Wakes the followers when it
/// resumed, as their watches may hang on connections that died meanwhile.
fn record_contact_change(context: &GatewayContext, error: Option<&StoreError>) {
    let level = if error.is_some() {
        Level::Warn
    } else {
        Level::Info
    };
    let record = GatewayRecord::StoreContact {
        part: "freshness",
        answers: error.is_none(),
        reason: error.map(ToString::to_string).unwrap_or_default(),
    };
    log_record(level, &record);
    if error.is_none() {
        context.store_recoveries.send_modify(|count| *count += 1);
    }
}

/// Reads the kinds in which another host is ahead, unless this host's own watch returns the changes
/// first, until the task is dropped.
pub(crate) async fn catch_up_with_peers(context: Arc<GatewayContext>) {
    loop {
        context.peer_ahead.notified().await;
        let part = rand::rng().random_range(CATCH_UP_PARTS);
        tokio::time::sleep(context.settings.configuration_bound.mul_f64(part)).await;
        // Stale data usually contains what another host knows. If the store does not answer, the
        // next confirmation reads what is missed.
        for accepts_stale in [true, false] {
            let lagging = context.freshness().lagging_kinds(context.now());
            if lagging.is_empty() {
                break;
            }
            context.metrics.increment("reads_after_reports_total");
            let timeout = context.settings.store_timeout;
            let reads = context.kind_reads.read(&lagging, accepts_stale, timeout);
            if !reads.await {
                break;
            }
        }
    }
}
