//! Applies changes of the store's objects to the host's state.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tokio::task::JoinHandle;

use crate::coordination::placement::TableChange;
use crate::protocol::{
    FormatError, GatewayRecord, ObjectKind, ObjectQuery, PeerMessage, StoredObject,
};
use crate::state::{ConfigSnapshot, ServerEntry};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;
use crate::transport::store_client::StoreError;
use crate::transport::store_follower::{KindFeed, KindUpdate, follow_kind};

/// Name of the store object that holds the configuration.
const CONFIGURATION_NAME: &str = "main";

/// Fraction of the time within which a change must be applied that a follower pauses after a
/// change; the remainder is for the next call and for a slow store.
const SETTLE_FRACTION: f64 = 0.3;
/// Pause after a change of the roll-outs; far below the time within which a bad version must be
/// left.
const ROLLOUTS_SETTLE_DELAY: Duration = Duration::from_millis(400);
/// Wait of the roll-out watch while no roll-out is under way. A broken connection may go unnoticed,
/// and hide an order, for this long; servers of the new version reveal the order earlier.
const IDLE_WATCH_WAIT: Duration = Duration::from_secs(15);
/// Fraction of the time for which a broken connection may go unnoticed that a watch waits; the
/// remainder is for noticing it, reconnecting and reading again.
const WATCH_WAIT_FRACTION: f64 = 0.65;

/// Starts the followers of the configuration, the servers and the roll-outs.
pub(crate) fn start_store_feeds(context: &Arc<GatewayContext>) -> Vec<JoinHandle<()>> {
    let (config_context, server_context) = (context.clone(), context.clone());
    let (rollout_context, wait_context) = (context.clone(), context.clone());
    let bound = context.settings.configuration_bound;
    let config_wait = watch_wait(context, bound);
    let rollout_wait = watch_wait(context, context.settings.rollback_bound);
    let spawn_feed = |feed, apply: Box<dyn Fn(KindUpdate) + Send + Sync>| {
        tokio::spawn(follow_kind(context.clone(), feed, apply))
    };
    vec![
        spawn_feed(
            KindFeed {
                kind: ObjectKind::Configuration,
                part: "configuration",
                settle_delay: bound.mul_f64(SETTLE_FRACTION),
                wait: Box::new(move || config_wait),
                is_leader: true,
                relist: Arc::default(),
            },
            Box::new(move |update| apply_configuration(&config_context, update)),
        ),
        spawn_feed(
            KindFeed {
                kind: ObjectKind::Servers,
                part: "servers",
                settle_delay: bound.mul_f64(SETTLE_FRACTION),
                wait: Box::new(move || config_wait),
                is_leader: false,
                relist: Arc::default(),
            },
            Box::new(move |update| apply_servers(&server_context, update)),
        ),
        spawn_feed(
            KindFeed {
                kind: ObjectKind::Rollouts,
                part: "rollouts",
                settle_delay: ROLLOUTS_SETTLE_DELAY,
                wait: Box::new(move || {
                    if wait_context.rollouts().has_open() {
                        rollout_wait
                    } else {
                        IDLE_WATCH_WAIT
                    }
                }),
                is_leader: false,
                relist: context.unknown_version_seen.clone(),
            },
            Box::new(move |update| apply_rollouts(&rollout_context, update)),
        ),
    ]
}

/// Returns the longest wait of a watch whose changes must be applied within `bound`.
fn watch_wait(context: &GatewayContext, bound: Duration) -> Duration {
    (context.settings.contact_timeout + bound).mul_f64(WATCH_WAIT_FRACTION)
}

/// Applies an update of the configuration.
fn apply_configuration(context: &GatewayContext, update: KindUpdate) {
    match update {
        KindUpdate::Listed(objects) => {
            objects
                .iter()
                .for_each(|object| adopt_configuration(context, object));
            context.record_configuration_confirmed();
        }
        KindUpdate::Changed(change) if !change.removed => {
            adopt_configuration(context, &change.object);
        }
        KindUpdate::Confirmed => context.record_configuration_confirmed(),
        KindUpdate::Changed(_) | KindUpdate::Lost => {}
    }
}

/// Decodes the configuration from its object and puts it into force; other objects are ignored.
fn adopt_configuration(context: &GatewayContext, object: &StoredObject) {
    if *object.name != *CONFIGURATION_NAME {
        return;
    }
    match (context.format.read_snapshot)(object) {
        Ok(snapshot) => adopt_snapshot(context, snapshot),
        Err(error) => log_format_error("configuration", &error),
    }
}

/// Puts a configuration into force unless the current one is as new or newer.
fn adopt_snapshot(context: &GatewayContext, snapshot: ConfigSnapshot) {
    let is_newer = |current: &Arc<ConfigSnapshot>| snapshot.version > current.version;
    if !context.snapshot.load().as_ref().is_none_or(is_newer) {
        return;
    }
    let routes = snapshot.routes.values().map(Vec::len).sum();
    let record = GatewayRecord::ConfigurationAdopted {
        version: snapshot.version,
        routes,
    };
    context.snapshot.store(Some(Arc::new(snapshot)));
    context.metrics.increment("configurations_total");
    log_record(Level::Info, &record);
}

/// Reads the configuration outside the watch, unless the store confirms it while this waits for
/// another such read.
///
/// # Errors
///
/// Returns an error if the store cannot be read or its response cannot be decoded.
pub(crate) async fn refresh_configuration(context: &GatewayContext) -> Result<(), StoreError> {
    let requested_at = context.now();
    let _guard = context.refresh_lock.lock().await;
    let confirmed_at = *context
        .confirmed_at
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    if confirmed_at.is_some_and(|at| at >= requested_at) {
        return Ok(());
    }
    let query = ObjectQuery::List {
        kind: ObjectKind::Configuration,
        after: None,
        stale: false,
    };
    let path = (context.format.query_path)(&query);
    let body = context
        .store
        .read(&path, context.settings.store_timeout)
        .await?;
    let page = (context.format.read_page)(&body)?;
    apply_configuration(context, KindUpdate::Listed(page.objects));
    Ok(())
}

/// Applies an update of the servers.
fn apply_servers(context: &GatewayContext, update: KindUpdate) {
    let now = context.now();
    let changes = match update {
        KindUpdate::Listed(objects) => {
            let entries = objects
                .iter()
                .filter_map(|object| (context.format.read_server)(object));
            context.servers().replace(entries.collect(), now)
        }
        KindUpdate::Changed(change) => {
            let entry = (context.format.read_server)(&change.object).filter(|_| !change.removed);
            let mut servers = context.servers();
            match entry {
                Some(entry) => vec![servers.upsert(entry)],
                None => servers
                    .remove(&change.object.name, now)
                    .into_iter()
                    .collect(),
            }
        }
        KindUpdate::Confirmed => {
            context.servers().confirm(now);
            Vec::new()
        }
        KindUpdate::Lost => Vec::new(),
    };
    changes
        .iter()
        .for_each(|(entry, change)| apply_server_change(context, entry, *change));
}

/// Applies a change of one server, and logs it.
fn apply_server_change(context: &GatewayContext, entry: &ServerEntry, change: TableChange) {
    match change {
        TableChange::Same => return,
        TableChange::Appeared => {
            context.loads().reset(&entry.id);
            context.prefix_cache().forget(&entry.id);
            check_unknown_version(context, entry);
        }
        TableChange::Draining => context.pool.clear(entry.address),
        TableChange::Gone => {
            context.pool.clear(entry.address);
            context.loads().forget(&entry.id);
            context.prefix_cache().forget(&entry.id);
        }
    }
    let record = GatewayRecord::ServerChanged {
        server: entry.id.clone(),
        service: entry.service.clone(),
        version: entry.version.clone(),
        state: change.name(),
    };
    log_record(Level::Info, &record);
}

/// Has the roll-outs read again if a server has another version than the rest of its service while
/// no roll-out is known to be under way.
fn check_unknown_version(context: &GatewayContext, entry: &ServerEntry) {
    let is_new = context
        .servers()
        .listed()
        .any(|other| other.service == entry.service && other.version != entry.version);
    if is_new && !context.rollouts().has_open() {
        context.unknown_version_seen.notify_one();
    }
}

/// Applies an update of the roll-outs.
fn apply_rollouts(context: &GatewayContext, update: KindUpdate) {
    let objects = match update {
        KindUpdate::Listed(objects) => objects,
        KindUpdate::Changed(change) if change.removed => {
            context.rollouts().remove_order(&change.object.name);
            return;
        }
        KindUpdate::Changed(change) => vec![change.object],
        KindUpdate::Confirmed | KindUpdate::Lost => return,
    };
    let now = context.now();
    for order in objects
        .iter()
        .filter_map(|object| (context.format.read_rollout)(object))
    {
        let mut rollouts = context.rollouts();
        if rollouts.apply_order(order.clone(), now) {
            let record = GatewayRecord::RolloutChanged {
                service: order.service.clone(),
                target: order.target.clone(),
                state: format!("{:?}", order.state),
                share: order.share,
                evidence: rollouts.evidence(&order.service),
            };
            log_record(Level::Info, &record);
            let held = rollouts.held_sessions(&order.service, now);
            if !held.is_empty() {
                context.send_to_peers(PeerMessage::HeldSessions(held));
            }
        }
    }
    context.rollout_changed.notify_one();
}

/// Logs an object that cannot be decoded.
fn log_format_error(part: &'static str, error: &FormatError) {
    let record = GatewayRecord::Fault {
        part,
        message: error.to_string(),
    };
    log_record(Level::Warn, &record);
}
