//! Shares the lasting speeds of servers with other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use log::Level;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use crate::coordination::speeds::SpeedReport;
use crate::protocol::{GatewayRecord, PeerMessage};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::peer_gossip::is_listed;
use crate::transport::record_log::log_record;

/// Interval between computations of the factors, and between datagrams, each to one host. It bounds
/// the bytes to below 500 a second whatever the number of hosts.
const SPEED_INTERVAL: Duration = Duration::from_secs(1);

/// Periodically computes the factors of the servers, logs considerable changes, and sends a random
/// host what this one's samples show.
pub(crate) async fn send_speeds(context: &GatewayContext, socket: &UdpSocket) {
    loop {
        tokio::time::sleep(SPEED_INTERVAL).await;
        let now = context.now();
        let changes = context.loads().refresh_speeds(now);
        for change in changes {
            context.metrics.increment("server_speeds_changed_total");
            let record = GatewayRecord::ServerSpeed {
                server: change.server,
                from: change.from,
                to: change.to,
                samples: change.samples,
            };
            log_record(Level::Info, &record);
        }
        let Some((peer, hosts)) = random_peer(context) else {
            continue;
        };
        let reports = context.loads().speeds_mut().reports(hosts, now);
        if reports.is_empty() {
            continue;
        }
        if let Some(message) = PeerMessage::Speeds(reports).encode() {
            // A lost datagram only delays what one host learns.
            let _ = socket.send_to(&message, peer).await;
        }
    }
}

/// Applies what another host reports about the speeds of servers.
pub(crate) fn apply_speeds(context: &GatewayContext, peer: SocketAddr, reports: &[SpeedReport]) {
    if !is_listed(context, peer) {
        context.metrics.increment("datagrams_of_strangers_total");
        return;
    }
    let now = context.now();
    let mut loads = context.loads();
    for report in reports {
        if !loads.speeds_mut().record_report(peer, report, now) {
            context.metrics.increment("speed_reports_refused_total");
        }
    }
}

/// Returns the address of a random other host, and the number of other hosts.
fn random_peer(context: &GatewayContext) -> Option<(SocketAddr, usize)> {
    let peers = context.peers();
    let others = peers
        .values()
        .filter(|peer| peer.host != context.settings.host);
    let count = others.clone().count();
    let peer = others.choose(&mut rand::rng())?;
    Some((peer.address, count))
}
