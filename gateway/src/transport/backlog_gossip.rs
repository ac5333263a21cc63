//! Reports the requests that wait at this host to the other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::net::UdpSocket;

use crate::coordination::backlog::{BacklogReport, report_round, sample_weight};
use crate::protocol::PeerMessage;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::peer_gossip::{DATAGRAM_HEADER_BYTES, PeerScope, peer_addresses};

/// Sends a group of hosts what waits at this one while anything does, and that nothing waits at the
/// end. With more hosts than the traffic allows, it goes to some of them each time.
pub(crate) async fn send_backlogs(context: &GatewayContext, socket: &UdpSocket, scope: PeerScope) {
    let mut busy = context.backlog.watch_busy();
    loop {
        if busy.wait_for(|busy| *busy).await.is_err() {
            return;
        }
        let mut queue = Vec::new();
        while *busy.borrow_and_update() {
            let reports = context.backlog.reports(context.now());
            if queue.is_empty() {
                queue = shuffled_peers(context, scope);
            }
            let pause = send_round(context, socket, scope, &mut queue, reports).await;
            tokio::time::sleep(pause).await;
        }
        let lifetime = context.settings.backlog.fleet.report_lifetime;
        let ends_at = context.now() + lifetime;
        queue = shuffled_peers(context, scope);
        while !queue.is_empty() && !*busy.borrow() && context.now() < ends_at {
            let pause = send_round(context, socket, scope, &mut queue, Vec::new()).await;
            tokio::time::sleep(pause).await;
        }
    }
}

/// Sends reports to the next hosts of a list, as many as the traffic allows. Returns the time until
/// the next round.
async fn send_round(
    context: &GatewayContext,
    socket: &UdpSocket,
    scope: PeerScope,
    queue: &mut Vec<SocketAddr>,
    reports: Vec<BacklogReport>,
) -> Duration {
    let settings = &context.settings.backlog.fleet;
    let interval = match scope {
        PeerScope::OwnDomain => settings.own_domain_interval,
        PeerScope::OtherDomains => settings.other_domains_interval,
    };
    let Some(message) = PeerMessage::Backlog(reports).encode() else {
        return interval;
    };
    let bytes = message.len() + DATAGRAM_HEADER_BYTES;
    let (count, pause) = report_round(queue.len(), bytes, interval, settings);
    let recipients = queue.split_off(queue.len() - count);
    for peer in &recipients {
        // The next report makes up for a lost one.
        let _ = socket.send_to(&message, peer).await;
    }
    pause
}

/// Returns the addresses of a group of hosts in random order.
fn shuffled_peers(context: &GatewayContext, scope: PeerScope) -> Vec<SocketAddr> {
    let mut peers = peer_addresses(context, scope);
    peers.shuffle(&mut rand::rng());
    peers
}

/// Records the report of another host, which came in a datagram of `bytes` bytes. A host that is not
/// listed is ignored.
pub(crate) fn record_backlog(
    context: &GatewayContext,
    peer: SocketAddr,
    reports: &[BacklogReport],
    bytes: usize,
) {
    let recipients = {
        let peers = context.peers();
        let Some(sender) = peers.values().find(|host| host.address == peer) else {
            drop(peers);
            context.metrics.increment("datagrams_of_strangers_total");
            return;
        };
        let own = &context.settings.domain;
        let is_own_domain = sender.domain == *own;
        let in_scope = peers
            .values()
            .filter(|host| (host.domain == sender.domain) == is_own_domain);
        // The sender does not report to itself.
        in_scope.count().saturating_sub(usize::from(is_own_domain))
    };
    let settings = &context.settings.backlog.fleet;
    let weight = sample_weight(recipients, bytes + DATAGRAM_HEADER_BYTES, settings);
    let now = context.now();
    context.backlog.record_report(peer, reports, weight, now);
    context.backlog.wake_after_report(now);
}
