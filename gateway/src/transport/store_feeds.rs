//! Applies changes of the store's objects to the host's state.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tokio::task::JoinHandle;

use crate::coordination::placement::TableChange;
use crate::protocol::{
    GatewayRecord, ObjectKind, ObjectPage, ObjectQuery, PeerMessage, StoredObject,
};
use crate::state::{ConfigSnapshot, FollowedKind, ServerEntry};
use crate::transport::cold_notices::{adopt_cold_specs, record_cold_entries};
use crate::transport::evacuation_feed::apply_evacuations;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::object_reads::{accept_readable, read_page};
use crate::transport::record_log::log_record;
use crate::transport::server_watch::record_removal;
use crate::transport::store_client::StoreError;
use crate::transport::store_follower::{KindFeed, KindUpdate, follow_kind};

/// Name of the store object that holds the configuration.
const CONFIGURATION_NAME: &str = "main";

/// Fraction of the time within which a change must be applied that a follower pauses after a
/// change; the remainder is for the next call and for a slow store.
const SETTLE_FRACTION: f64 = 0.3;
/// Pause after a change of the roll-outs. It is short, as hosts that do not see yet that another
/// wrote a report write it too.
const ROLLOUTS_SETTLE_DELAY: Duration = Duration::from_millis(100);
/// Pause after a change of the evacuations, which are few.
const EVACUATIONS_SETTLE_DELAY: Duration = Duration::from_millis(100);
/// Starts the followers of the kinds of objects that the settings name.
pub(crate) fn start_store_feeds(context: &Arc<GatewayContext>) -> Vec<JoinHandle<()>> {
    let settle_delay = context
        .settings
        .configuration_bound
        .mul_f64(SETTLE_FRACTION);
    let spawn_feed = |feed, apply: fn(&GatewayContext, KindUpdate)| {
        let apply_context = context.clone();
        let apply_update = move |update| apply_guarded(&apply_context, update, apply);
        tokio::spawn(follow_kind(context.clone(), feed, apply_update))
    };
    let mut feeds = vec![
        spawn_feed(
            KindFeed {
                kind: FollowedKind::Configuration,
                part: "configuration",
                settle_delay,
                is_leader: true,
            },
            apply_configuration,
        ),
        spawn_feed(
            KindFeed {
                kind: FollowedKind::Servers,
                part: "servers",
                settle_delay,
                is_leader: false,
            },
            apply_servers,
        ),
        spawn_feed(
            KindFeed {
                kind: FollowedKind::Rollouts,
                part: "rollouts",
                settle_delay: ROLLOUTS_SETTLE_DELAY,
                is_leader: false,
            },
            apply_rollouts,
        ),
    ];
    if context.settings.evacuation_bound.is_some() {
        let feed = KindFeed {
            kind: FollowedKind::Evacuations,
            part: "evacuations",
            settle_delay: EVACUATIONS_SETTLE_DELAY,
            is_leader: false,
        };
        feeds.push(spawn_feed(feed, apply_evacuations));
    }
    feeds
}

/// Applies an update. A panic must not end the task that follows the kind, so the rest of the update is
/// dropped, and further ones are applied.
fn apply_guarded(
    context: &GatewayContext,
    update: KindUpdate,
    apply: fn(&GatewayContext, KindUpdate),
) {
    if catch_unwind(AssertUnwindSafe(|| apply(context, update))).is_ok() {
        return;
    }
    context.metrics.increment("updates_panicked_total");
    let record = GatewayRecord::Fault {
        part: "store",
        message: "an update could not be applied and was dropped".into(),
    };
    log_record(Level::Error, &record);
}

/// Applies an update of the configuration.
fn apply_configuration(context: &GatewayContext, update: KindUpdate) {
    match update {
        KindUpdate::Listed(objects, _) | KindUpdate::Restored(objects, _) => {
            objects
                .iter()
                .for_each(|object| adopt_configuration(context, object));
        }
        KindUpdate::Changed(change) if !change.removed => {
            adopt_configuration(context, &change.object);
        }
        KindUpdate::Changed(_) => {}
    }
}

/// Decodes the configuration from its object and puts it into force; other objects are ignored. While
/// it cannot be read, the last one stays in force.
fn adopt_configuration(context: &GatewayContext, object: &StoredObject) {
    if *object.name != *CONFIGURATION_NAME {
        return;
    }
    let (kind, decode) = (ObjectKind::Configuration, context.format.read_snapshot);
    if let Some(snapshot) = accept_readable(context, kind, object, decode) {
        adopt_snapshot(context, snapshot);
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
    adopt_cold_specs(context, &snapshot);
    context.put_into_force(snapshot);
    context.metrics.increment("configurations_total");
    log_record(Level::Info, &record);
}

/// Reads the configuration outside the watch, unless the store confirms it while this waits for
/// another such read. One read serves all requests that wait, also if it fails; after a failure, a
/// cheaper call asks first whether the store answers.
///
/// # Errors
///
/// Returns an error if the store cannot be read or its response cannot be decoded.
pub(crate) async fn refresh_configuration(context: &GatewayContext) -> Result<(), StoreError> {
    let requested_at = context.now();
    let mut failed_at = context.refresh_failed_at.lock().await;
    if failed_at.is_some_and(|at| at >= requested_at) {
        return Err(StoreError::TimedOut);
    }
    let waited = context.now().since(requested_at);
    if context.configuration_age().is_some_and(|age| age <= waited) {
        return Ok(());
    }
    let started_at = context.now();
    let read = read_current_configuration(context, failed_at.is_some()).await;
    *failed_at = read.is_err().then(|| context.now());
    let page = read?;
    let kind = FollowedKind::Configuration;
    record_current_page(context, kind, &page);
    let update = KindUpdate::Listed(page.objects, page.revision);
    apply_configuration(context, update);
    context.freshness().record_read(kind, started_at);
    Ok(())
}

/// Reads the configuration. If `probes_first`, a cheaper call is made before.
async fn read_current_configuration(
    context: &GatewayContext,
    probes_first: bool,
) -> Result<ObjectPage, StoreError> {
    let timeout = context.settings.store_timeout;
    let path = |kind, stale| {
        let after = None;
        (context.format.query_path)(&ObjectQuery::List { kind, after, stale })
    };
    if probes_first {
        let probe = path(ObjectKind::Rollouts, true);
        context.store.read(&probe, timeout).await?;
    }
    let current = path(ObjectKind::Configuration, false);
    let response = context.store.read(&current, timeout).await?;
    Ok(read_page(context, ObjectKind::Configuration, &response)?)
}

/// Applies the roll-outs that the store listed, all on one page and not stale.
pub(crate) fn apply_current_rollouts(context: &GatewayContext, page: ObjectPage) {
    record_current_page(context, FollowedKind::Rollouts, &page);
    apply_rollouts(context, KindUpdate::Listed(page.objects, page.revision));
}

/// Records that all changes of a kind up to the revision of its only page are known.
fn record_current_page(context: &GatewayContext, kind: FollowedKind, page: &ObjectPage) {
    let revisions = page.objects.iter().map(|object| object.revision);
    context
        .freshness()
        .record_changes(kind, revisions, page.revision);
}

/// Applies an update of the servers.
fn apply_servers(context: &GatewayContext, update: KindUpdate) {
    let now = context.now();
    let read = |object: &StoredObject| {
        accept_readable(
            context,
            ObjectKind::Servers,
            object,
            context.format.read_server,
        )
    };
    let read_all = |objects: &[StoredObject]| -> Vec<ServerEntry> {
        objects.iter().filter_map(read).collect()
    };
    let is_change = matches!(update, KindUpdate::Changed(_));
    let mut entries = Vec::new();
    let changes = match update {
        KindUpdate::Listed(objects, _) => {
            entries = read_all(&objects);
            context.servers().replace(entries.clone(), now)
        }
        KindUpdate::Restored(objects, _) => {
            entries = read_all(&objects);
            context.servers().restore(entries.clone(), now)
        }
        KindUpdate::Changed(change) => {
            // A server whose entry cannot be read any more is not used.
            let entry = (!change.removed).then(|| read(&change.object)).flatten();
            entries.extend(entry.clone());
            let mut servers = context.servers();
            match entry {
                Some(entry) => vec![servers.upsert(entry)],
                None => servers
                    .remove(&change.object.name, now)
                    .into_iter()
                    .collect(),
            }
        }
    };
    changes
        .iter()
        .for_each(|(entry, change)| apply_server_change(context, entry, *change));
    // The time for which a server is cold may change while nothing else in its entry does.
    record_cold_entries(context, &entries, is_change);
}

/// Applies a change of one server, and logs it.
fn apply_server_change(context: &GatewayContext, entry: &ServerEntry, change: TableChange) {
    match change {
        TableChange::Same => return,
        TableChange::Appeared => {
            context.loads().reset(&entry.id);
            context.liveness().record_start(&entry.id);
            context.prefix_cache().forget(&entry.id);
            let started_ms = entry.started_ms;
            let (id, service) = (&entry.id, &entry.service);
            let mut loads = context.loads();
            loads.speeds_mut().record_start(id, service, started_ms);
            drop(loads);
            context.permits().record_start(&entry.id, started_ms);
            check_unknown_version(context, entry);
        }
        TableChange::Draining => context.pool.clear(entry.address),
        TableChange::Gone => {
            context.pool.clear(entry.address);
            context.loads().forget(&entry.id);
            context.loads().speeds_mut().forget(&entry.id);
            context.prefix_cache().forget(&entry.id);
            let now = context.now();
            context.permits().record_removal(&entry.id, now);
            record_removal(context, &entry.id);
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
        // The follower applies and logs what it reads; the next confirmation reads what is missed.
        drop(context.kind_reads.request(FollowedKind::Rollouts, true));
    }
}

/// Applies an update of the roll-outs.
fn apply_rollouts(context: &GatewayContext, update: KindUpdate) {
    let objects = match update {
        KindUpdate::Listed(objects, _) | KindUpdate::Restored(objects, _) => objects,
        KindUpdate::Changed(change) if change.removed => {
            context.rollouts().remove_order(&change.object.name);
            return;
        }
        KindUpdate::Changed(change) => vec![change.object],
    };
    let now = context.now();
    // While an order cannot be read, the last one stays in force.
    let read = |object: &StoredObject| {
        accept_readable(
            context,
            ObjectKind::Rollouts,
            object,
            context.format.read_rollout,
        )
    };
    for order in objects.iter().filter_map(read) {
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
