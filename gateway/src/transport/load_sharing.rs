//! Tells other hosts by datagram what this one has sent where.
//!
//! The word of other hosts is a hint: it is used for a second or two, and nothing depends on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use rand::Rng;
use tokio::net::UdpSocket;

use crate::protocol::{GatewayRecord, PeerMessage};
use crate::state::{HostNote, HostPresence, NoteContent};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::host_notes::write_note;
use crate::transport::record_log::log_record;

/// Time between datagrams to a host of the own failure domain.
const NEAR_PERIOD: Duration = Duration::from_millis(100);
/// Rounds of the own failure domain for one round of the others, whose bytes are dear.
const FAR_ROUNDS: u32 = 4;
/// Bytes that a host may send in a second for this; more hosts are told more seldom.
const BYTES_PER_SECOND: usize = 19_000;
/// Bytes of a datagram beside its content.
const DATAGRAM_HEAD: usize = 28;
/// Greatest size of a datagram that is read.
const MAX_DATAGRAM: usize = 8 * 1_024;
/// Sessions that one datagram tells of.
const SESSIONS_PER_DATAGRAM: usize = 100;
/// Pause before the presence is announced again after a failed call.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(2);

/// Announces the host, tells others what it sent where and takes in what they tell.
pub(crate) async fn share_loads(context: Arc<GatewayContext>, socket: Arc<UdpSocket>) {
    let receiving = take_shares(&context, &socket);
    let telling = tell_shares(&context, &socket);
    let announcing = announce(&context, &socket);
    let holding = tell_held(&context, &socket);
    tokio::join!(receiving, telling, announcing, holding);
}

/// Writes the host's address to the store, once.
async fn announce(context: &GatewayContext, socket: &UdpSocket) {
    let Ok(address) = socket.local_addr() else {
        return;
    };
    let presence = HostPresence { address, domain: context.settings.domain.clone() };
    let note = HostNote {
        host: context.settings.host.clone(),
        content: NoteContent::Presence(presence),
    };
    while let Err(error) = write_note(context, &note).await {
        let message = error.to_string();
        log_record(Level::Warn, &GatewayRecord::Fault { part: "presence", message });
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
    }
}

/// Takes in what other hosts tell.
async fn take_shares(context: &GatewayContext, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, peer)) = socket.recv_from(&mut buffer).await else {
            // An error is the echo of a datagram to a host that is gone.
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(PeerMessage::Loads(shares)) => {
                context.loads().note_told(peer, &shares, context.now());
            }
            Ok(PeerMessage::HeldSessions(sessions)) => {
                context.rollouts().take_held(&sessions, context.now());
            }
            Err(_) => context.metrics.count("datagrams_unreadable_total"),
        }
    }
}

/// Tells other hosts what this one has sent where.
async fn tell_shares(context: &GatewayContext, socket: &UdpSocket) {
    let mut round = rand::rng().random_range(0..FAR_ROUNDS);
    let mut said_nothing = false;
    loop {
        let shares = context.loads().own_shares();
        let is_idle = shares.is_empty();
        let Ok(message) = postcard::to_stdvec(&PeerMessage::Loads(shares)) else {
            return;
        };
        let is_far_round = round % FAR_ROUNDS == 0;
        let peers = peers_of_round(context, is_far_round);
        // A host without requests says so once.
        if !(is_idle && said_nothing) {
            for peer in peers.keys() {
                // A datagram that is lost is followed by the next one.
                let _ = socket.send_to(&message, peer).await;
            }
        }
        said_nothing = is_idle && (is_far_round || said_nothing);
        round = round.wrapping_add(1);
        let bytes = peers.len() * (message.len() + DATAGRAM_HEAD);
        let least = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND as f64);
        tokio::time::sleep(NEAR_PERIOD.max(least)).await;
    }
}

/// Tells other hosts of sessions that the version before a roll-out serves.
async fn tell_held(context: &GatewayContext, socket: &UdpSocket) {
    let Some(mut receiver) = context.take_held() else {
        return;
    };
    while let Some(sessions) = receiver.recv().await {
        for part in sessions.chunks(SESSIONS_PER_DATAGRAM) {
            let Ok(message) = postcard::to_stdvec(&PeerMessage::HeldSessions(part.to_vec())) else {
                continue;
            };
            for peer in peers_of_round(context, true).keys() {
                // A datagram that is lost may move a session; few are.
                let _ = socket.send_to(&message, peer).await;
            }
        }
    }
}

/// Returns the hosts that are told in a round.
fn peers_of_round(context: &GatewayContext, is_far_round: bool) -> BTreeMap<SocketAddr, ()> {
    let peers = context.peers();
    let own = &context.settings.host;
    let domain = &context.settings.domain;
    let told = peers.iter().filter(|(host, presence)| {
        *host != own && (is_far_round || presence.domain == *domain)
    });
    told.map(|(_, presence)| (presence.address, ())).collect()
}
