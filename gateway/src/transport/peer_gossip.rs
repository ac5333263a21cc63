//! Tells other hosts by datagram what this one has sent where and what it has found out.
//!
//! The word of other hosts is a hint: it is used for a second or two, and nothing depends on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use log::Level;
use rand::Rng;
use tokio::net::UdpSocket;

use crate::protocol::{GatewayRecord, ObjectKind, ObjectQuery, PeerMessage};
use crate::state::HostPresence;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;
use crate::transport::store_client::StoreError;

/// Time between datagrams to a host of the own failure domain.
const SAME_DOMAIN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between datagrams to a host of another failure domain, to which bytes are dear.
const OTHER_DOMAIN_INTERVAL: Duration = Duration::from_millis(400);
/// Bytes that a host sends in a second within its failure domain; more hosts are told more seldom.
/// With those across it stays within the 19 KB that a host may spend on control.
const SAME_DOMAIN_BYTES_PER_SECOND: f64 = 13_000.0;
/// Bytes that a host sends in a second across failure domains.
const OTHER_DOMAIN_BYTES_PER_SECOND: f64 = 4_000.0;
/// Bytes of a datagram beside its content.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Greatest size of a datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 8 * 1_024;
/// Sessions that one datagram tells of.
const SESSIONS_PER_DATAGRAM: usize = 100;
/// Copies of news that are told once.
const MESSAGE_COPIES: usize = 2;
/// Pause between the first two reads of the hosts' addresses, when all hosts start.
const INITIAL_HOSTS_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longest pause between reads of the hosts' addresses.
const MAX_HOSTS_INTERVAL: Duration = Duration::from_secs(8);

/// Hosts that are told something together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerScope {
    /// Those of the own failure domain.
    OwnDomain,
    /// Those of all others.
    OtherDomains,
}

/// Announces the host, tells others what it sent where and takes in what they tell.
pub(crate) async fn run_peer_gossip(context: Arc<GatewayContext>, socket: Arc<UdpSocket>) {
    let receiving = receive_messages(&context, &socket);
    let near = send_loads(&context, &socket, PeerScope::OwnDomain);
    let far = send_loads(&context, &socket, PeerScope::OtherDomains);
    let following = follow_hosts(&context, &socket);
    let news = send_outbox(&context, &socket);
    tokio::join!(receiving, near, far, following, news);
}

/// Writes the host's address to the store, and reads those of the others from time to time.
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
    };
    let mut is_announced = false;
    let mut pause = INITIAL_HOSTS_INTERVAL;
    loop {
        if !is_announced {
            is_announced = log_failure(&announce(context, &presence).await);
        }
        log_failure(&read_hosts(context).await);
        let spread = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(pause.mul_f64(spread)).await;
        pause = (pause * 2).min(MAX_HOSTS_INTERVAL);
    }
}

/// Writes the host's address; what an earlier process of the host wrote is replaced.
async fn announce(context: &GatewayContext, presence: &HostPresence) -> Result<(), StoreError> {
    let body = (context.format.write_presence)(presence);
    let timeout = context.settings.store_timeout;
    let path = (context.format.object_path)(ObjectKind::Hosts, "");
    let (status, _) = context
        .store
        .call(Method::POST, &path, body.clone(), timeout)
        .await?;
    if status.is_success() {
        return Ok(());
    }
    if status != StatusCode::CONFLICT {
        return Err(StoreError::Status(status));
    }
    let path = (context.format.object_path)(ObjectKind::Hosts, &presence.host);
    match context
        .store
        .call(Method::PUT, &path, body, timeout)
        .await?
    {
        (status, _) if status.is_success() => Ok(()),
        (status, _) => Err(StoreError::Status(status)),
    }
}

/// Reads the addresses of all hosts; seconds of age do no harm.
async fn read_hosts(context: &GatewayContext) -> Result<(), StoreError> {
    let mut after = None;
    let mut peers = BTreeMap::new();
    loop {
        let query = ObjectQuery::List {
            kind: ObjectKind::Hosts,
            after,
            stale: true,
        };
        let path = (context.format.query_path)(&query);
        let body = context
            .store
            .read(&path, context.settings.store_timeout)
            .await?;
        let page = (context.format.read_page)(&body)?;
        let presences = page.objects.iter().filter_map(context.format.read_presence);
        peers.extend(presences.map(|presence| (presence.host.clone(), presence)));
        after = page.objects.last().map(|object| object.name.to_string());
        if !page.has_more || after.is_none() {
            *context.peers() = peers;
            return Ok(());
        }
    }
}

/// Logs a failed call; returns whether it succeeded.
fn log_failure(result: &Result<(), StoreError>) -> bool {
    if let Err(error) = result {
        let record = GatewayRecord::Fault {
            part: "hosts",
            message: error.to_string(),
        };
        log_record(Level::Warn, &record);
    }
    result.is_ok()
}

/// Takes in what other hosts tell.
async fn receive_messages(context: &GatewayContext, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, peer)) = socket.recv_from(&mut buffer).await else {
            // An error is the echo of a datagram to a host that is gone.
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(PeerMessage::Loads { loads, reads }) => {
                let now = context.now();
                context.loads().record_remote(peer, &loads, now);
                context.prompt_cache().record_remote(&reads, now);
            }
            Ok(PeerMessage::Crash(note)) => {
                context
                    .crashes()
                    .record_remote(note.fingerprint, note.crashes, context.now());
            }
            Ok(PeerMessage::Trial(note)) => {
                context.rollouts().record_report(peer, &note);
                context.rollout_changed.notify_one();
            }
            Ok(PeerMessage::HeldSessions(sessions)) => {
                context
                    .rollouts()
                    .record_held_sessions(&sessions, context.now());
            }
            Err(_) => context.metrics.increment("datagrams_unreadable_total"),
        }
    }
}

/// Tells some of the other hosts, again and again, what this one has sent where.
async fn send_loads(context: &GatewayContext, socket: &UdpSocket, reach: PeerScope) {
    let (period, bytes_per_second) = match reach {
        PeerScope::OwnDomain => (SAME_DOMAIN_INTERVAL, SAME_DOMAIN_BYTES_PER_SECOND),
        PeerScope::OtherDomains => (OTHER_DOMAIN_INTERVAL, OTHER_DOMAIN_BYTES_PER_SECOND),
    };
    let mut sent_idle = false;
    let mut sent_reads = 0;
    loop {
        let loads = context.loads().local_loads();
        let (reads, count) = context.prompt_cache().local_reads_since(sent_reads);
        sent_reads = count;
        let is_idle = loads.is_empty() && reads.is_empty();
        let Ok(message) = postcard::to_stdvec(&PeerMessage::Loads { loads, reads }) else {
            return;
        };
        let peers = peer_addresses(context, reach);
        // A host without requests says so once.
        if !(is_idle && sent_idle) {
            for peer in &peers {
                // A datagram that is lost is followed by the next one.
                let _ = socket.send_to(&message, peer).await;
            }
        }
        sent_idle = is_idle;
        let bytes = peers.len() * (message.len() + DATAGRAM_HEADER_BYTES);
        let least = Duration::from_secs_f64(bytes as f64 / bytes_per_second);
        tokio::time::sleep(period.max(least)).await;
    }
}

/// Tells all other hosts what is not repeated by itself, more than once against loss.
async fn send_outbox(context: &GatewayContext, socket: &UdpSocket) {
    let Some(mut receiver) = context.take_peer_outbox() else {
        return;
    };
    while let Some(news) = receiver.recv().await {
        let copies = if matches!(news, PeerMessage::HeldSessions(_)) {
            1
        } else {
            MESSAGE_COPIES
        };
        for part in split_message(news) {
            let Ok(message) = postcard::to_stdvec(&part) else {
                continue;
            };
            for _ in 0..copies {
                let near = peer_addresses(context, PeerScope::OwnDomain);
                for peer in near
                    .iter()
                    .chain(&peer_addresses(context, PeerScope::OtherDomains))
                {
                    // A datagram that is lost is a hint less.
                    let _ = socket.send_to(&message, peer).await;
                }
            }
        }
    }
}

/// Splits news that do not fit one datagram.
fn split_message(news: PeerMessage) -> Vec<PeerMessage> {
    match news {
        PeerMessage::HeldSessions(sessions) => sessions
            .chunks(SESSIONS_PER_DATAGRAM)
            .map(|part| PeerMessage::HeldSessions(part.to_vec()))
            .collect(),
        other => vec![other],
    }
}

/// Returns the addresses of other hosts.
fn peer_addresses(context: &GatewayContext, reach: PeerScope) -> Vec<SocketAddr> {
    let (host, domain) = (&context.settings.host, &context.settings.domain);
    let peers = context.peers();
    let told = peers.values().filter(|peer| {
        let is_near = peer.domain == *domain;
        peer.host != *host && is_near == (reach == PeerScope::OwnDomain)
    });
    told.map(|peer| peer.address).collect()
}
