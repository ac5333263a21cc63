//! The open connections of callers and to servers, and room for further ones.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use galenamast::state::TimePoint;
use log::Level;

use crate::coordination::callers::{ConnectionProgress, ConnectionStage, pick_evictions};
use crate::coordination::memory::ConnectionCosts;
use crate::protocol::GatewayRecord;
use crate::transport::connection_activity::ConnectionActivity;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::host_memory::{MemoryKind, MemoryShare};
use crate::transport::record_log::log_record;

/// Divisor of a bound that gives what is freed at once, so that connections are not ranked for each one that
/// arrives.
const BATCH_DIVISOR: usize = 32;
/// Number of turns for which a connection waits for others that give way.
const RELEASE_TURNS: usize = 4;
/// Longest time for which a request waits for connections that give way.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which no connection is looked for after none could give way.
const FRUITLESS_PAUSE: Duration = Duration::from_millis(10);
/// Shortest time between two log lines on connections that gave way.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Connections that gave way, by stage.
type EvictionCounts = [usize; ConnectionStage::ALL.len()];

/// The connections and what gave way.
#[derive(Debug, Default)]
struct ConnectionTable {
    callers: BTreeMap<u64, Arc<ConnectionActivity>>,
    next_id: u64,
    // Those that gave way since the last log line, and when that was written.
    evicted: EvictionCounts,
    reported_at: Option<TimePoint>,
    // Until when no connection is looked for, as none could give way.
    fruitless_until: TimePoint,
}

/// The open connections of a host.
#[derive(Debug, Default)]
pub struct OpenConnections {
    table: Mutex<ConnectionTable>,
    callers: AtomicUsize,
    probes: AtomicUsize,
    servers: AtomicUsize,
}

/// Who opened a connection that is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPurpose {
    /// Requests of a caller, or of another host for its callers.
    Requests,
    /// Readiness and metrics.
    Probes,
}

/// What is needed for a further connection or request.
#[derive(Clone, Copy, Debug, Default)]
struct NeededRoom {
    /// Connections of callers.
    callers: usize,
    /// Bytes of memory.
    bytes: usize,
    /// Bytes of the memory for bodies.
    body_bytes: usize,
}

impl OpenConnections {
    /// Returns the number of connections of callers.
    pub fn callers(&self) -> usize {
        self.callers.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that are accepted, for whatever purpose.
    fn accepted(&self) -> usize {
        self.callers() + self.probes.load(Ordering::Relaxed)
    }

    /// Returns the counter of a purpose.
    const fn counter(&self, purpose: ConnectionPurpose) -> &AtomicUsize {
        match purpose {
            ConnectionPurpose::Requests => &self.callers,
            ConnectionPurpose::Probes => &self.probes,
        }
    }

    /// Returns the number of connections to servers and other hosts.
    pub fn servers(&self) -> usize {
        self.servers.load(Ordering::Relaxed)
    }

    /// Returns lines of the metrics page.
    pub fn render(&self) -> String {
        format!(
            "connections_open{{kind=\"callers\"}} {}\nconnections_open{{kind=\"servers\"}} {}\n",
            self.callers(),
            self.servers()
        )
    }

    /// Locks the table; one whose holder panicked is used as it is.
    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection of a caller, which counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct CallerSlot {
    context: Arc<GatewayContext>,
    id: u64,
    purpose: ConnectionPurpose,
    share: MemoryShare,
    /// What is in progress on it.
    pub(crate) activity: Arc<ConnectionActivity>,
}

impl CallerSlot {
    /// Takes room for a connection, for which others give way; `None` if there is none.
    pub(crate) async fn take(
        context: &Arc<GatewayContext>,
        purpose: ConnectionPurpose,
    ) -> Option<Self> {
        let bytes = connection_costs(context).caller;
        let needed = NeededRoom {
            callers: 1,
            bytes,
            body_bytes: 0,
        };
        let mut share = MemoryShare::new(&context.memory, MemoryKind::Connections);
        for turn in 0..=RELEASE_TURNS {
            let connections = &context.connections;
            let has_slot = connections.accepted() < context.settings.max_caller_connections;
            let is_calm = turn > 0 || context.memory.is_calm(bytes);
            if has_slot && is_calm && share.try_add(bytes) {
                break;
            }
            if turn == RELEASE_TURNS {
                return None;
            }
            if turn == 0 {
                evict(context, needed);
            }
            tokio::task::yield_now().await;
        }
        let activity = Arc::new(ConnectionActivity::new(context.now()));
        activity.set_connection_bytes(bytes);
        let mut table = context.connections.lock();
        let id = table.next_id;
        table.next_id += 1;
        table.callers.insert(id, activity.clone());
        drop(table);
        let counter = context.connections.counter(purpose);
        counter.fetch_add(1, Ordering::Relaxed);
        Some(Self {
            context: context.clone(),
            id,
            purpose,
            share,
            activity,
        })
    }

    /// Counts what the buffers of the connection take, whether or not there is room; others give way if
    /// there is none.
    pub(crate) fn set_buffers(&mut self, is_reading: bool, is_blocked: bool) {
        let costs = connection_costs(&self.context);
        let reading = if is_reading { costs.reading } else { 0 };
        let blocked = if is_blocked { costs.blocked } else { 0 };
        let bytes = costs.caller + reading + blocked;
        if bytes == self.share.bytes() {
            return;
        }
        let has_grown = bytes > self.share.bytes();
        self.share.set(bytes);
        self.activity.set_connection_bytes(bytes);
        if has_grown && !self.context.memory.is_calm(0) {
            evict(&self.context, NeededRoom::default());
        }
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        self.context.connections.lock().callers.remove(&self.id);
        let counter = self.context.connections.counter(self.purpose);
        counter.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection to a server or another host, which counts as open until it is dropped.
#[derive(Debug)]
pub struct ServerSlot {
    context: Arc<GatewayContext>,
    _share: MemoryShare,
}

impl ServerSlot {
    /// Takes room for a connection, for which idle ones are closed and callers give way; `None` if there is
    /// none.
    pub(crate) async fn take(context: &Arc<GatewayContext>) -> Option<Self> {
        let connections = &context.connections;
        let is_full = || connections.servers() >= context.settings.max_server_connections;
        if is_full() {
            context.pool.clear_all();
            tokio::task::yield_now().await;
        }
        let bytes = connection_costs(context).server;
        let has_room = || context.memory.all() + bytes <= context.memory.budget().open;
        if is_full() || !release_memory(context, bytes, has_room).await {
            return None;
        }
        let mut share = MemoryShare::new(&context.memory, MemoryKind::Servers);
        share.set(bytes);
        connections.servers.fetch_add(1, Ordering::Relaxed);
        Some(Self {
            context: context.clone(),
            _share: share,
        })
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        self.context
            .connections
            .servers
            .fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until there is room, for which connections give way; returns whether there is.
pub(crate) async fn release_memory(
    context: &Arc<GatewayContext>,
    bytes: usize,
    has_room: impl Fn() -> bool,
) -> bool {
    if context.memory.is_calm(bytes) {
        return has_room();
    }
    let needed = NeededRoom {
        bytes,
        ..NeededRoom::default()
    };
    evict(context, needed);
    let waiting = context.memory.wait_until(has_room);
    tokio::time::timeout(RELEASE_TIMEOUT, waiting).await.is_ok()
}

/// Counts further bytes of a request's body, for which other bodies give way; returns whether there is room.
/// The connection may itself be among those that give way.
pub(crate) async fn add_body_evicting(
    context: &Arc<GatewayContext>,
    share: &mut MemoryShare,
    bytes: usize,
) -> bool {
    if share.try_add(bytes) {
        return true;
    }
    evict(
        context,
        NeededRoom {
            body_bytes: bytes,
            ..NeededRoom::default()
        },
    );
    tokio::time::timeout(RELEASE_TIMEOUT, share.add_within(bytes))
        .await
        .is_ok()
}

/// Returns the memory of connections under the limits in force.
pub(crate) fn connection_costs(context: &GatewayContext) -> ConnectionCosts {
    let settings = &context.settings;
    ConnectionCosts::new(
        settings.caller_receive_bytes,
        settings.server_receive_bytes,
        context.caller_limits().header_bytes,
    )
}

/// Has connections of callers give way so that the needed room becomes free, and some more. What gives way
/// already counts as free.
fn evict(context: &GatewayContext, needed: NeededRoom) {
    let (connections, settings) = (&context.connections, &context.settings);
    let now = context.now();
    let mut table = connections.lock();
    if now < table.fruitless_until {
        return;
    }
    let (mut open, mut leaving) = (Vec::new(), Vec::new());
    for (id, activity) in &table.callers {
        let progress = activity.progress(*id, now);
        let is_leaving = activity.evicted.is_cancelled();
        let side = if is_leaving { &mut leaving } else { &mut open };
        side.extend(progress);
    }
    if open.is_empty() && leaving.is_empty() {
        table.fruitless_until = now + FRUITLESS_PAUSE;
        return;
    }
    let budget = context.memory.budget();
    let excess = |used: usize, bound: usize, batch: usize| match used > bound {
        true => used - bound + batch,
        false => 0,
    };
    let leaving_bytes: usize = leaving.iter().map(|progress| progress.held).sum();
    let bytes = excess(
        (context.memory.all() + needed.bytes).saturating_sub(leaving_bytes),
        budget.pressure,
        budget.pressure / BATCH_DIVISOR,
    );
    let max_callers = settings.max_caller_connections;
    let count = excess(
        (connections.accepted() + needed.callers).saturating_sub(leaving.len()),
        max_callers,
        max_callers / BATCH_DIVISOR,
    );
    let mut picked = pick_evictions(open.clone(), count, bytes, &settings.eviction);
    if needed.body_bytes > 0 {
        let is_body = |progress: &ConnectionProgress| progress.stage == ConnectionStage::Body;
        let leaving_bodies = leaving.iter().filter(|progress| is_body(progress));
        let freed: usize = leaving_bodies.map(|progress| progress.held).sum();
        let bodies = open.iter().copied().filter(is_body).collect();
        let bytes = needed.body_bytes.saturating_sub(freed);
        picked.extend(pick_evictions(bodies, 0, bytes, &settings.eviction));
    }
    let stages: BTreeMap<u64, ConnectionStage> = open
        .iter()
        .map(|progress| (progress.id, progress.stage))
        .collect();
    for id in picked {
        let (Some(activity), Some(stage)) = (table.callers.get(&id), stages.get(&id)) else {
            continue;
        };
        if activity.evicted.is_cancelled() {
            continue;
        }
        activity.evicted.cancel();
        table.evicted[*stage as usize] += 1;
        let counter = format!("connections_evicted_{}_total", stage.name());
        context.metrics.increment(&counter);
    }
    report(context, &mut table, now);
}

/// Logs how many connections gave way, once for each interval.
fn report(context: &GatewayContext, table: &mut ConnectionTable, now: TimePoint) {
    let is_due = table
        .reported_at
        .is_none_or(|reported_at| now.since(reported_at) >= REPORT_INTERVAL);
    if !is_due || table.evicted.iter().all(|count| *count == 0) {
        return;
    }
    table.reported_at = Some(now);
    let counts = std::mem::take(&mut table.evicted);
    let stages = ConnectionStage::ALL.iter().zip(counts);
    let record = GatewayRecord::ConnectionsEvicted {
        evicted: stages
            .filter(|(_, count)| *count > 0)
            .map(|(stage, count)| (stage.name(), count))
            .collect(),
        open: context.connections.callers(),
        max_open: context.settings.max_caller_connections,
        held_bytes: context.memory.all(),
        pressure_bytes: context.memory.budget().pressure,
    };
    log_record(Level::Warn, &record);
}
