//! Takes the news of the store into the host's beliefs.

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

/// Name of the object that holds the configuration.
const CONFIGURATION_NAME: &str = "main";

/// Part of the time in which a change binds the host that it rests after a change; the rest is for
/// the next call and for a slow store.
const SETTLE_FRACTION: f64 = 0.3;
/// Rest after a change of the roll-outs; well within the time in which a bad version must be left.
const ROLLOUTS_SETTLE_DELAY: Duration = Duration::from_millis(400);
/// Wait of the watch of the roll-outs while none is under way. A silent connection may hide an order
/// for so long; the servers of the new version show it.
const IDLE_WATCH_WAIT: Duration = Duration::from_secs(15);
/// Part of the time in which a silent connection may pass unnoticed that a watch waits; the rest is
/// for noticing, connecting and reading anew.
const WATCH_WAIT_FRACTION: f64 = 0.65;

/// Starts to follow the store.
pub(crate) fn start_store_feeds(context: &Arc<GatewayContext>) -> Vec<JoinHandle<()>> {
    let (images, servers) = (context.clone(), context.clone());
    let (rollouts, orders) = (context.clone(), context.clone());
    let bound = context.settings.configuration_bound;
    let binding_wait = watch_wait(context, bound);
    let order_wait = watch_wait(context, context.settings.rollback_bound);
    let follow = |followed, take: Box<dyn Fn(KindUpdate) + Send + Sync>| {
        tokio::spawn(follow_kind(context.clone(), followed, take))
    };
    vec![
        follow(
            KindFeed {
                kind: ObjectKind::Configuration,
                part: "configuration",
                rest: bound.mul_f64(SETTLE_FRACTION),
                wait: Box::new(move || binding_wait),
                leads: true,
                wake: Arc::default(),
            },
            Box::new(move |news| apply_configuration(&images, news)),
        ),
        follow(
            KindFeed {
                kind: ObjectKind::Servers,
                part: "servers",
                rest: bound.mul_f64(SETTLE_FRACTION),
                wait: Box::new(move || binding_wait),
                leads: false,
                wake: Arc::default(),
            },
            Box::new(move |news| apply_servers(&servers, news)),
        ),
        follow(
            KindFeed {
                kind: ObjectKind::Rollouts,
                part: "rollouts",
                rest: ROLLOUTS_SETTLE_DELAY,
                wait: Box::new(move || {
                    if orders.rollouts().has_open() {
                        order_wait
                    } else {
                        IDLE_WATCH_WAIT
                    }
                }),
                leads: false,
                wake: context.unknown_version_seen.clone(),
            },
            Box::new(move |news| apply_rollouts(&rollouts, news)),
        ),
    ]
}

/// Returns the longest wait of a watch whose news bind the host within a time.
fn watch_wait(context: &GatewayContext, bound: Duration) -> Duration {
    (context.settings.contact_timeout + bound).mul_f64(WATCH_WAIT_FRACTION)
}

/// Takes in news of the configuration.
fn apply_configuration(context: &GatewayContext, news: KindUpdate) {
    match news {
        KindUpdate::Listed(objects) => {
            objects
                .iter()
                .for_each(|object| adopt_configuration(context, object));
            context.note_configuration_confirmed();
        }
        KindUpdate::Changed(change) if !change.removed => {
            adopt_configuration(context, &change.object)
        }
        KindUpdate::Confirmed => context.note_configuration_confirmed(),
        KindUpdate::Changed(_) | KindUpdate::Lost => {}
    }
}

/// Puts a configuration into force unless a newer one is.
fn adopt_configuration(context: &GatewayContext, object: &StoredObject) {
    if *object.name != *CONFIGURATION_NAME {
        return;
    }
    match (context.format.read_snapshot)(object) {
        Ok(image) => adopt_image(context, image),
        Err(error) => log_fault("configuration", &error),
    }
}

/// Puts an image into force unless a newer one is.
fn adopt_image(context: &GatewayContext, image: ConfigSnapshot) {
    let is_newer = |current: &Arc<ConfigSnapshot>| image.version > current.version;
    if !context.image.load().as_ref().is_none_or(is_newer) {
        return;
    }
    let routes = image.routes.values().map(Vec::len).sum();
    let record = GatewayRecord::ConfigurationAdopted {
        version: image.version,
        routes,
    };
    context.image.store(Some(Arc::new(image)));
    context.metrics.increment("configurations_total");
    log_record(Level::Info, &record);
}

/// Reads the configuration once, outside the watch.
///
/// # Errors
///
/// Returns an error if the store does not answer.
pub(crate) async fn refresh_configuration(context: &GatewayContext) -> Result<(), StoreError> {
    let asked_at = context.now();
    let _turn = context.refresh_lock.lock().await;
    let confirmed_at = *context
        .confirmed_at
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    if confirmed_at.is_some_and(|at| at >= asked_at) {
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

/// Takes in news of the servers.
fn apply_servers(context: &GatewayContext, news: KindUpdate) {
    let now = context.now();
    let changes = match news {
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

/// Takes in a change of one server.
fn apply_server_change(context: &GatewayContext, entry: &ServerEntry, change: TableChange) {
    match change {
        TableChange::Same => return,
        TableChange::Appeared => {
            context.loads().reset(&entry.id);
            context.prompt_cache().forget(&entry.id);
            check_unknown_version(context, entry);
        }
        TableChange::Draining => context.pool.clear(entry.address),
        TableChange::Gone => {
            context.pool.clear(entry.address);
            context.loads().forget(&entry.id);
            context.prompt_cache().forget(&entry.id);
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

/// Asks for the roll-outs if a server appears whose version none is known to bring in.
fn check_unknown_version(context: &GatewayContext, entry: &ServerEntry) {
    let is_new = context
        .servers()
        .listed()
        .any(|other| other.service == entry.service && other.version != entry.version);
    if is_new && !context.rollouts().has_open() {
        context.unknown_version_seen.notify_one();
    }
}

/// Takes in news of roll-outs.
fn apply_rollouts(context: &GatewayContext, news: KindUpdate) {
    let objects = match news {
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

/// Logs a message that cannot be read.
fn log_fault(part: &'static str, error: &FormatError) {
    let record = GatewayRecord::Fault {
        part,
        message: error.to_string(),
    };
    log_record(Level::Warn, &record);
}
