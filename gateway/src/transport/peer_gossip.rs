//! Gossip with other hosts by UDP: the load that this host puts on servers, and what it has
//! learned.
//!
//! What other hosts send is only a hint, and their loads expire after a second or two. No guarantee
//! depends on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use http::{Method, StatusCode};
use log::Level;
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use crate::protocol::{
    DatagramError, GatewayRecord, ObjectKind, ObjectQuery, PeerMessage, StoredObject, WIRE_VERSION,
};
use crate::state::{
    ColdReport, DemandReport, EvacuationReport, FreshnessReport, HostPresence, StorePosition,
};
use crate::transport::cold_notices::{
    add_recent_use, apply_cold_reports, record_peer_use, run_cold_notices, used_in_domain,
};
use crate::transport::crash_reports::{
    REFUSAL_REPORT_INTERVAL, apply_answer_reports, apply_crash_report, apply_refusal_reports,
    apply_request_reports,
};
use crate::transport::evacuation_feed::{
    EVACUATION_REPORT_INTERVAL, EVACUATIONS_PER_DATAGRAM, apply_evacuation_reports,
};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::object_reads::{accept_readable, read_changes, read_page};
use crate::transport::record_log::log_record;
use crate::transport::server_demands::{apply_demand_change, send_due_reports};
use crate::transport::speed_gossip::{apply_speeds, send_speeds};
use crate::transport::store_client::StoreError;

/// Interval between datagrams to each host in this failure domain.
const SAME_DOMAIN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between datagrams to each host in another failure domain, where traffic is expensive.
const OTHER_DOMAIN_INTERVAL: Duration = Duration::from_millis(400);
/// Most bytes a host sends per second within its failure domain; with more hosts, the interval
/// grows. Together with the limit across domains this stays within the 19 KB per second that a host
/// may spend on control traffic.
const SAME_DOMAIN_BYTES_PER_SECOND: f64 = 13_000.0;
/// Most bytes a host sends per second to other failure domains.
const OTHER_DOMAIN_BYTES_PER_SECOND: f64 = 4_000.0;
/// Bytes of the IP and UDP headers of a datagram.
pub(crate) const DATAGRAM_HEADER_BYTES: usize = 28;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1_024;
/// Largest number of sessions in one datagram.
const SESSIONS_PER_DATAGRAM: usize = 100;
/// Copies sent of a queued message other than held sessions.
const MESSAGE_COPIES: usize = 2;
/// Number of hosts that get each report of refused prompt parts, suspected requests or evacuated
/// domains.
const FEW_RECIPIENTS: usize = 3;
/// Interval between reports of the servers in use to hosts of other failure domains.
const USED_SERVERS_INTERVAL: Duration = Duration::from_secs(1);
/// Most hosts that get each such report.
const USED_SERVERS_RECIPIENTS: usize = 5;
/// Most bytes of such reports in an interval, unless a single one is larger.
const USED_SERVERS_BYTES: usize = 1_000;
/// Pause after the first read of the hosts' addresses, while all hosts start. It doubles after each
/// read.
const INITIAL_HOSTS_PAUSE: Duration = Duration::from_millis(1_500);
/// Longest pause between reads of the hosts' addresses.
const MAX_HOSTS_PAUSE: Duration = Duration::from_secs(8);
/// Wait of the watch of the hosts' addresses.
const HOSTS_WATCH_WAIT: Duration = Duration::from_secs(25);

/// A group of other hosts that datagrams are sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerScope {
    /// Hosts in this failure domain.
    OwnDomain,
    /// Hosts in all other failure domains.
    OtherDomains,
}

/// Announces the host in the store, and sends gossip to the other hosts and receives theirs.
pub(crate) async fn run_peer_gossip(context: Arc<GatewayContext>, socket: Arc<UdpSocket>) {
    let receiving = keep_receiving(&context, &socket);
    let same_domain = send_loads(&context, &socket, PeerScope::OwnDomain);
    let other_domains = send_loads(&context, &socket, PeerScope::OtherDomains);
    let following = follow_hosts(&context, &socket);
    let queued = send_outbox(&context, &socket);
    let refusals = send_refusals(&context, &socket);
    let cold_notices = run_cold_notices(&context);
    let used_servers = send_used_servers(&context, &socket);
    let speeds = send_speeds(&context, &socket);
    tokio::join!(
        receiving,
        same_domain,
        other_domains,
        following,
        queued,
        refusals,
        send_evacuations(&context, &socket),
        cold_notices,
        used_servers,
        speeds
    );
}

/// Writes the host's address to the store, and periodically reads the addresses of all hosts.
async fn follow_hosts(context: &GatewayContext, socket: &UdpSocket) {
    let Ok(address) = socket.local_addr() else {
        return;
    };
    let (host, domain) = (
        context.settings.host.clone(),
        context.settings.domain.clone(),
    );
    let presence = HostPresence {
        host,
        address,
        domain,
        wire_version: WIRE_VERSION,
    };
    let mut is_announced = false;
    // Position to watch from; `None` if the hosts must be listed.
    let mut position: Option<StorePosition> = None;
    let mut pause = INITIAL_HOSTS_PAUSE;
    loop {
        let is_outdated = |position: StorePosition| position.era < context.store.era();
        if position.is_some_and(is_outdated) {
            // The store returned from a copy, which may lack the entry.
            (position, is_announced) = (None, false);
        }
        position = match position {
            Some(position) => tokio::select! {
                watched = watch_hosts(context, position) => log_failure(&watched),
                _ = context.store.later_era(position.era) => continue,
            },
            None => log_failure(&list_hosts(context).await),
        };
        // A process that takes over from an earlier one of this host finds its entry in the list.
        is_announced |= context.peers().get(&presence.host) == Some(&presence);
        if !is_announced {
            is_announced = log_failure(&announce(context, &presence).await).is_some();
        }
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::select! {
            () = tokio::time::sleep(pause.mul_f64(jitter)) => {}
            _ = context.store.later_era(context.store.era()) => pause = INITIAL_HOSTS_PAUSE,
        }
        pause = (pause * 2).min(MAX_HOSTS_PAUSE);
    }
}

/// Writes the host's address to the store, replacing the entry of an earlier process of this host.
async fn announce(context: &GatewayContext, presence: &HostPresence) -> Result<(), StoreError> {
    let body = (context.format.write_presence)(presence);
    let timeout = context.settings.store_timeout;
    let path = (context.format.object_path)(ObjectKind::Hosts, "");
    let response = context
        .store
        .call(Method::POST, &path, body.clone(), timeout)
        .await?;
    if response.status.is_success() {
        return Ok(());
    }
    if response.status != StatusCode::CONFLICT {
        return Err(StoreError::Status(response.status));
    }
    let stored = (context.format.read_object)(&response.body, response.era);
    let stored = stored.and_then(|object| (context.format.read_presence)(&object));
    if stored.is_ok_and(|stored| stored == *presence) {
        return Ok(());
    }
    let path = (context.format.object_path)(ObjectKind::Hosts, &presence.host);
    let response = context
        .store
        .call(Method::PUT, &path, body, timeout)
        .await?;
    if response.status.is_success() {
        return Ok(());
    }
    Err(StoreError::Status(response.status))
}

/// Lists the addresses of all hosts, and returns the position to watch from; data that is seconds
/// old is good enough.
async fn list_hosts(context: &GatewayContext) -> Result<StorePosition, StoreError> {
    let mut after = None;
    let mut peers = BTreeMap::new();
    let mut position: Option<StorePosition> = None;
    loop {
        let query = ObjectQuery::List {
            kind: ObjectKind::Hosts,
            after,
            stale: true,
        };
        let path = (context.format.query_path)(&query);
        let response = context
            .store
            .read(&path, context.settings.store_timeout)
            .await?;
        let page = read_page(context, ObjectKind::Hosts, &response)?;
        if position.is_some_and(|position| position.era != response.era) {
            return Err(StoreError::EraChanged(response.era));
        }
        let objects = page.objects.iter();
        let presences = objects.filter_map(|object| read_presence(context, object));
        peers.extend(presences.map(|presence| (presence.host.clone(), presence)));
        let lowest = position.map_or(page.revision, |position| position.min(page.revision));
        position = Some(lowest);
        after = page.objects.last().map(|object| object.name.to_string());
        if !page.has_more || after.is_none() {
            *context.peers() = peers;
            context.share_hosts();
            return Ok(lowest);
        }
    }
}

/// Waits for changes of the hosts' addresses, and returns the position to go on from.
async fn watch_hosts(
    context: &GatewayContext,
    position: StorePosition,
) -> Result<StorePosition, StoreError> {
    let path = (context.format.query_path)(&ObjectQuery::Watch {
        kind: ObjectKind::Hosts,
        revision: position,
        wait: HOSTS_WATCH_WAIT,
        stale: true,
    });
    let timeout = HOSTS_WATCH_WAIT + context.settings.store_timeout;
    let response = context.store.watch(&path, timeout).await?;
    if response.era != position.era {
        return Err(StoreError::EraChanged(response.era));
    }
    let changes = read_changes(context, ObjectKind::Hosts, &response)?;
    let mut peers = context.peers();
    for change in &changes.changes {
        let presence = (!change.removed).then(|| read_presence(context, &change.object));
        match presence.flatten() {
            Some(presence) => peers.insert(presence.host.clone(), presence),
            None => peers.remove(&change.object.name),
        };
    }
    drop(peers);
    if !changes.changes.is_empty() {
        context.share_hosts();
    }
    Ok(changes.revision.max(position))
}

/// Decodes the address of a host, or reports why it cannot be read.
fn read_presence(context: &GatewayContext, object: &StoredObject) -> Option<HostPresence> {
    accept_readable(
        context,
        ObjectKind::Hosts,
        object,
        context.format.read_presence,
    )
}

/// Logs the error of a failed call; returns its value if it succeeded.
fn log_failure<T: Copy>(result: &Result<T, StoreError>) -> Option<T> {
    if let Err(error) = result {
        let record = GatewayRecord::Fault {
            part: "hosts",
            message: error.to_string(),
        };
        log_record(Level::Warn, &record);
    }
    result.as_ref().ok().copied()
}

/// Receives messages of other hosts. A panic upon a malformed one must not end the exchange with all
/// hosts, so the message is dropped and the next one is read.
async fn keep_receiving(context: &GatewayContext, socket: &UdpSocket) {
    loop {
        let receiving = AssertUnwindSafe(receive_messages(context, socket));
        if receiving.catch_unwind().await.is_ok() {
            return;
        }
        context.metrics.increment("datagrams_unreadable_total");
        let record = GatewayRecord::Fault {
            part: "datagrams",
            message: "a datagram could not be applied and was dropped".into(),
        };
        log_record(Level::Error, &record);
    }
}

/// Receives messages of other hosts and applies them.
async fn receive_messages(context: &GatewayContext, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, peer)) = socket.recv_from(&mut buffer).await else {
            // The error reports an earlier datagram to a host that no longer listens.
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        match PeerMessage::decode(&buffer[..length]) {
            Ok(PeerMessage::Loads { loads, reads }) => {
                let now = context.now();
                context.loads().record_remote(peer, &loads, now);
                context.prefix_cache().record_remote(&reads, now);
                record_peer_use(context, loads.iter().map(|load| load.server));
            }
            Ok(
                message @ (PeerMessage::Crash(_)
                | PeerMessage::AnsweredParts(_)
                | PeerMessage::RefusedParts(_)
                | PeerMessage::SuspectedRequests(_)),
            ) => apply_crash_message(context, peer, &message),
            Ok(PeerMessage::LostPaths(services)) => {
                let now = context.now();
                context.reach().record_peer(peer, &services, now);
            }
            Ok(PeerMessage::Trial(report)) => {
                context.rollouts().record_report(peer, &report);
                context.rollout_changed.notify_one();
            }
            Ok(PeerMessage::HeldSessions(sessions)) => {
                context
                    .rollouts()
                    .record_held_sessions(&sessions, context.now());
            }
            Ok(PeerMessage::Demand(report)) => record_peer_demand(context, peer, &report),
            Ok(PeerMessage::Evacuations(reports)) => record_evacuations(context, peer, &reports),
            Ok(PeerMessage::Freshness(report)) => record_freshness(context, peer, &report),
            Ok(PeerMessage::UsedServers(used)) => record_used_servers(context, peer, used),
            Ok(PeerMessage::ColdServers(reports)) => record_cold_servers(context, peer, &reports),
            Ok(PeerMessage::Speeds(reports)) => apply_speeds(context, peer, &reports),
            // Decoding refuses them.
            Ok(PeerMessage::RetiredFreshness | PeerMessage::RetiredBacklog) => {}
            Err(error) => record_skipped(context, peer, error),
        }
    }
}

/// Counts a datagram that was skipped, by the version of the host that sent it.
fn record_skipped(context: &GatewayContext, peer: SocketAddr, error: DatagramError) {
    match error {
        DatagramError::Malformed => context.metrics.increment("datagrams_unreadable_total"),
        DatagramError::UnknownKind(_) => match peer_version(context, peer) {
            Some(version) => context
                .metrics
                .increment(&format!("datagrams_skipped_version_{version}_total")),
            None => context.metrics.increment("datagrams_of_strangers_total"),
        },
    }
}

/// Returns the wire version of a listed host.
fn peer_version(context: &GatewayContext, peer: SocketAddr) -> Option<u8> {
    let peers = context.peers();
    let host = peers.values().find(|host| host.address == peer)?;
    Some(host.wire_version)
}

/// Applies what another host reports about crashes of servers.
fn apply_crash_message(context: &GatewayContext, peer: SocketAddr, message: &PeerMessage) {
    if !is_listed(context, peer) {
        context.metrics.increment("datagrams_of_strangers_total");
        return;
    }
    match message {
        PeerMessage::Crash(report) => apply_crash_report(context, report),
        PeerMessage::AnsweredParts(reports) => apply_answer_reports(context, reports),
        PeerMessage::RefusedParts(reports) => apply_refusal_reports(context, reports),
        PeerMessage::SuspectedRequests(reports) => apply_request_reports(context, reports),
        _ => {}
    }
}

/// Applies what another host knows of evacuated domains.
fn record_evacuations(context: &GatewayContext, peer: SocketAddr, reports: &[EvacuationReport]) {
    if !is_listed(context, peer) {
        context.metrics.increment("datagrams_of_strangers_total");
        return;
    }
    apply_evacuation_reports(context, reports);
}

/// Returns whether an address is that of a listed host.
pub(crate) fn is_listed(context: &GatewayContext, peer: SocketAddr) -> bool {
    context.peers().values().any(|host| host.address == peer)
}

/// Applies the report of another host of this failure domain about what it knows of the store.
fn record_freshness(context: &GatewayContext, peer: SocketAddr, report: &FreshnessReport) {
    if !peer_addresses(context, PeerScope::OwnDomain).contains(&peer) {
        context.metrics.increment("datagrams_of_strangers_total");
        return;
    }
    let is_behind = context.freshness().record_report(report, context.now());
    if is_behind {
        context.peer_ahead.notify_one();
    }
}

/// Applies the report of another host about what a server asks of the hosts.
fn record_peer_demand(context: &GatewayContext, peer: SocketAddr, report: &DemandReport) {
    if !is_listed(context, peer) {
        context.metrics.increment("datagrams_of_strangers_total");
        return;
    }
    let now = context.now();
    let change = context.permits().record_report(report, now);
    if let Some(change) = change {
        apply_demand_change(context, &report.server, change, "host");
    }
}

/// Applies the report of a host of another failure domain about the servers in use there.
fn record_used_servers(context: &GatewayContext, peer: SocketAddr, used: Vec<u32>) {
    if is_listed(context, peer) {
        record_peer_use(context, used.into_iter());
    } else {
        context.metrics.increment("datagrams_of_strangers_total");
    }
}

/// Applies the reports of another host about cold servers.
fn record_cold_servers(context: &GatewayContext, peer: SocketAddr, reports: &[ColdReport]) {
    if is_listed(context, peer) {
        apply_cold_reports(context, reports);
    } else {
        context.metrics.increment("datagrams_of_strangers_total");
    }
}

/// Periodically sends a group of hosts the load that this host puts on servers, and which prompts
/// it sent to which engine since the last datagram.
async fn send_loads(context: &GatewayContext, socket: &UdpSocket, scope: PeerScope) {
    let (interval, bytes_per_second) = match scope {
        PeerScope::OwnDomain => (SAME_DOMAIN_INTERVAL, SAME_DOMAIN_BYTES_PER_SECOND),
        PeerScope::OtherDomains => (OTHER_DOMAIN_INTERVAL, OTHER_DOMAIN_BYTES_PER_SECOND),
    };
    let mut sent_idle = false;
    let mut sent_reads = 0;
    let mut reported_at = context.now();
    loop {
        send_due_reports(context);
        let mut loads = context.loads().local_loads();
        add_recent_use(context, &mut loads, reported_at);
        reported_at = context.now();
        let (reads, count) = context.prefix_cache().local_reads_since(sent_reads);
        sent_reads = count;
        let is_idle = loads.is_empty() && reads.is_empty();
        let Some(message) = (PeerMessage::Loads { loads, reads }).encode() else {
            return;
        };
        let peers = peer_addresses(context, scope);
        // A host without requests sends one empty message, then none.
        if !(is_idle && sent_idle) {
            for peer in &peers {
                // The next datagram makes up for a lost one.
                let _ = socket.send_to(&message, peer).await;
            }
        }
        sent_idle = is_idle;
        let bytes = peers.len() * (message.len() + DATAGRAM_HEADER_BYTES);
        let min_interval = Duration::from_secs_f64(bytes as f64 / bytes_per_second);
        tokio::time::sleep(interval.max(min_interval)).await;
    }
}

/// Periodically sends a few hosts the prompt parts that this host refuses and the requests that it
/// holds crashes against, for those that started since or missed the reports.
async fn send_refusals(context: &GatewayContext, socket: &UdpSocket) {
    loop {
        tokio::time::sleep(REFUSAL_REPORT_INTERVAL).await;
        let now = context.now();
        let (parts, requests) = {
            let mut crashes = context.crashes();
            (crashes.refusal_reports(now), crashes.request_reports(now))
        };
        let parts = (!parts.is_empty()).then_some(PeerMessage::RefusedParts(parts));
        let requests = (!requests.is_empty()).then_some(PeerMessage::SuspectedRequests(requests));
        for message in [parts, requests].into_iter().flatten() {
            let Some(datagram) = message.encode() else {
                return;
            };
            send_to_few(context, socket, &datagram).await;
        }
    }
}

/// Periodically sends a few hosts the domains that are evacuated, for those that have no contact to the
/// store and missed the reports.
async fn send_evacuations(context: &GatewayContext, socket: &UdpSocket) {
    while context.settings.evacuation_bound.is_some() {
        tokio::time::sleep(EVACUATION_REPORT_INTERVAL).await;
        let reports = context.evacuations().reports(context.now());
        for part in reports.chunks(EVACUATIONS_PER_DATAGRAM) {
            let Some(message) = PeerMessage::Evacuations(part.to_vec()).encode() else {
                return;
            };
            send_to_few(context, socket, &message).await;
        }
    }
}

/// Sends a message to a few random hosts; other hosts send the same.
async fn send_to_few(context: &GatewayContext, socket: &UdpSocket, message: &[u8]) {
    let mut peers = peer_addresses(context, PeerScope::OwnDomain);
    peers.extend(peer_addresses(context, PeerScope::OtherDomains));
    let chosen = peers.choose_multiple(&mut rand::rng(), FEW_RECIPIENTS);
    for peer in chosen.copied().collect::<Vec<SocketAddr>>() {
        // A lost datagram is made up for by the next.
        let _ = socket.send_to(message, peer).await;
    }
}

/// Periodically sends a few hosts of other failure domains which servers of this one are in use. Load
/// reports reach them too rarely to show it.
async fn send_used_servers(context: &GatewayContext, socket: &UdpSocket) {
    if context.settings.cold.is_none() {
        return;
    }
    loop {
        tokio::time::sleep(USED_SERVERS_INTERVAL).await;
        let used = used_in_domain(context);
        if used.is_empty() {
            continue;
        }
        let Some(message) = PeerMessage::UsedServers(used).encode() else {
            return;
        };
        let peers = peer_addresses(context, PeerScope::OtherDomains);
        let affordable = USED_SERVERS_BYTES / (message.len() + DATAGRAM_HEADER_BYTES);
        let count = affordable.clamp(1, USED_SERVERS_RECIPIENTS);
        let chosen = peers.choose_multiple(&mut rand::rng(), count);
        for peer in chosen.copied().collect::<Vec<SocketAddr>>() {
            // Other hosts send the same.
            let _ = socket.send_to(&message, peer).await;
        }
    }
}

/// Sends queued messages to other hosts. All but held sessions go out more than once, because
/// datagrams may be lost and these messages are not repeated later.
async fn send_outbox(context: &GatewayContext, socket: &UdpSocket) {
    let Some(mut receiver) = context.take_peer_outbox() else {
        return;
    };
    while let Some(queued) = receiver.recv().await {
        let copies = if matches!(queued, PeerMessage::HeldSessions(_)) {
            1
        } else {
            MESSAGE_COPIES
        };
        for part in split_message(queued) {
            let Some(message) = part.encode() else {
                continue;
            };
            for _ in 0..copies {
                for peer in recipients(context, &part) {
                    // Losing a datagram only loses a hint.
                    let _ = socket.send_to(&message, peer).await;
                }
            }
        }
    }
}

/// Returns the addresses of the hosts that a queued message goes to.
fn recipients(context: &GatewayContext, message: &PeerMessage) -> Vec<SocketAddr> {
    let mut addresses = peer_addresses(context, PeerScope::OwnDomain);
    if !matches!(
        message,
        PeerMessage::Freshness(_) | PeerMessage::LostPaths(_)
    ) {
        addresses.extend(peer_addresses(context, PeerScope::OtherDomains));
    }
    addresses
}

/// Splits a message that may not fit in one datagram.
fn split_message(message: PeerMessage) -> Vec<PeerMessage> {
    match message {
        PeerMessage::HeldSessions(sessions) => sessions
            .chunks(SESSIONS_PER_DATAGRAM)
            .map(|part| PeerMessage::HeldSessions(part.to_vec()))
            .collect(),
        PeerMessage::Evacuations(reports) => reports
            .chunks(EVACUATIONS_PER_DATAGRAM)
            .map(|part| PeerMessage::Evacuations(part.to_vec()))
            .collect(),
        other => vec![other],
    }
}

/// Returns the addresses of a group of other hosts.
pub(crate) fn peer_addresses(context: &GatewayContext, scope: PeerScope) -> Vec<SocketAddr> {
    let (host, domain) = (&context.settings.host, &context.settings.domain);
    let peers = context.peers();
    let recipients = peers.values().filter(|peer| {
        let is_same_domain = peer.domain == *domain;
        peer.host != *host && is_same_domain == (scope == PeerScope::OwnDomain)
    });
    recipients.map(|peer| peer.address).collect()
}
