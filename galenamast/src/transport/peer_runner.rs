//! Runs the peer mesh of an entry host: connections, membership and gossip.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use rand::seq::IteratorRandom;
use tokio::sync::mpsc;

use crate::config::PeersSettings;
use crate::coordination::{
    MemberAction, MemberEvent, MemberMachine, MemberRecord, MemberSettings, PeerTarget,
};
use crate::logging::{log_fault, log_record};
use crate::protocol::{LogRecord, PeerMessage, PeerReply, PeerRequest, decode_frame, encode_frame};
use crate::transport::peer_links::PeerLink;
use crate::transport::peer_mesh::{MAX_REQUEST_BYTES, PeerMesh, lock};
use crate::transport::transport_error::TransportError;

/// Ticks of the membership machine per probe period.
const TICKS_PER_PROBE: u32 = 10;
/// Time between gossip rounds.
const GOSSIP_PERIOD: Duration = Duration::from_millis(100);
/// Hosts of the own failure domain that each gossip round sends to.
const GOSSIP_FANOUT: usize = 2;
/// Maximum size of the soft state in one message, in bytes.
const MAX_GOSSIP_BYTES: usize = 1_050;

impl PeerMesh {
    /// Opens a connection and spawns the task that reads it.
    pub(crate) async fn connect(
        &self,
        address: std::net::SocketAddr,
        expected: Option<&crate::state::HostName>,
    ) -> Result<PeerLink, TransportError> {
        let link = self.shared.links.connect(address, expected).await?;
        tokio::spawn(read_link(self.clone(), link.clone()));
        Ok(link)
    }
}

/// Runs the mesh until the task is aborted.
pub async fn run_mesh(
    mesh: PeerMesh,
    events: mpsc::Receiver<MemberEvent>,
    settings: PeersSettings,
) {
    tokio::join!(
        accept_links(mesh.clone()),
        run_membership(mesh.clone(), events, settings),
        run_gossip(mesh)
    );
}

/// Accepts connections from other hosts and spawns a task that reads each.
async fn accept_links(mesh: PeerMesh) {
    while let Some(result) = mesh.shared.links.accept().await {
        match result {
            Ok(link) => drop(tokio::spawn(read_link(mesh.clone(), link))),
            Err(error) => log_fault("peers", &error),
        }
    }
}

/// Reads the messages and requests of a connection until it closes.
async fn read_link(mesh: PeerMesh, link: PeerLink) {
    loop {
        tokio::select! {
            datagram = link.connection.read_datagram() => match datagram {
                Ok(bytes) => read_message(&mesh, &link, &bytes),
                Err(_) => return,
            },
            stream = link.connection.accept_bi() => match stream {
                Ok((sender, receiver)) => {
                    let serving = serve_request(mesh.clone(), link.clone(), sender, receiver);
                    tokio::spawn(serving);
                }
                Err(_) => return,
            },
        }
    }
}

/// Handles one datagram; those from a blocked address are ignored.
fn read_message(mesh: &PeerMesh, link: &PeerLink, bytes: &[u8]) {
    if mesh
        .shared
        .links
        .is_blocked(&link.connection.remote_address())
    {
        return;
    }
    mesh.count_received(bytes.len());
    match decode_frame::<PeerMessage>(bytes) {
        Ok(Some(PeerMessage::Member(message))) if message.sender.name == link.host => {
            // If the queue is full the message is dropped, which the membership protocol tolerates.
            let _ = mesh.shared.events.try_send(MemberEvent::Received(message));
        }
        Ok(Some(PeerMessage::Gossip(items))) => {
            let hosts = mesh.members().live().count();
            for item in items {
                let fresh = lock(&mesh.shared.gossip).insert(item.clone(), hosts);
                if fresh && item.origin != *mesh.own() {
                    mesh.deliver(&item);
                }
            }
        }
        Ok(Some(PeerMessage::Loads(entries))) => mesh.deliver_loads(entries),
        _ => mesh.count_unreadable(),
    }
}

/// Reads one request from a stream and writes the reply.
async fn serve_request(
    mesh: PeerMesh,
    link: PeerLink,
    mut sender: quinn::SendStream,
    mut receiver: quinn::RecvStream,
) {
    let Ok(bytes) = receiver.read_to_end(MAX_REQUEST_BYTES).await else {
        mesh.count_unreadable();
        return;
    };
    let Ok(Some(request)) = decode_frame::<PeerRequest>(&bytes) else {
        mesh.count_unreadable();
        return reply_unsupported(sender).await;
    };
    if !request.scales_with_traffic() {
        mesh.count_received(bytes.len());
    }
    let reply = answer(&mesh, &link, &request).await;
    let Ok(bytes) = encode_frame(&reply) else {
        return;
    };
    mesh.throttle(&request, bytes.len()).await;
    if sender.write_all(&bytes).await.is_ok() {
        let _ = sender.finish();
    }
}

/// Replies to a request that this release cannot decode.
async fn reply_unsupported(mut sender: quinn::SendStream) {
    let Ok(bytes) = encode_frame(&PeerReply::Unsupported) else {
        return;
    };
    if sender.write_all(&bytes).await.is_ok() {
        let _ = sender.finish();
    }
}

/// Returns the reply of the first handler that answers the request.
async fn answer(mesh: &PeerMesh, link: &PeerLink, request: &PeerRequest) -> PeerReply {
    let handlers = mesh.request_handlers();
    let taken = handlers
        .iter()
        .find_map(|handler| handler(&link.host, request));
    match taken {
        Some(reply) => reply.await,
        None => PeerReply::Unsupported,
    }
}

/// Passes events and ticks to the membership machine, starting with the seeds.
async fn run_membership(
    mesh: PeerMesh,
    mut events: mpsc::Receiver<MemberEvent>,
    settings: PeersSettings,
) {
    let machine_settings = MemberSettings {
        probe_period: settings.probe_period,
        suspicion_time: settings.suspicion_time,
    };
    let own = mesh.shared.own.clone();
    let mut machine = MemberMachine::new(own, machine_settings, rand::random());
    let timers = mesh.shared.timers.clone();
    let mut ticks = timers.subscribe(settings.probe_period / TICKS_PER_PROBE);
    let seeds = settings
        .seeds
        .iter()
        .map(|seed| MemberEvent::Contact(*seed));
    for event in seeds {
        let actions = machine.handle(event, timers.now());
        perform(&mesh, &machine, actions);
    }
    let mut ticks_since_check = 0;
    loop {
        let event = tokio::select! {
            event = events.recv() => match event {
                Some(event) => event,
                None => return,
            },
            _ = ticks.tick() => MemberEvent::Tick,
        };
        if event == MemberEvent::Tick {
            ticks_since_check += 1;
        }
        let actions = machine.handle(event, timers.now());
        perform(&mesh, &machine, actions);
        // Every five probe periods, a host without live peers contacts its seeds again.
        if ticks_since_check >= TICKS_PER_PROBE * 5 {
            ticks_since_check = 0;
            if mesh.members().live_peers().next().is_none() {
                for seed in &settings.seeds {
                    let actions = machine.handle(MemberEvent::Contact(*seed), timers.now());
                    perform(&mesh, &machine, actions);
                }
            }
        }
    }
}

/// Performs the actions of the membership machine.
fn perform(mesh: &PeerMesh, machine: &MemberMachine, actions: Vec<MemberAction>) {
    for action in actions {
        match action {
            MemberAction::Send(target, message) => {
                mesh.send(&target, &PeerMessage::Member(message));
            }
            MemberAction::Disconnect(name) => {
                if let Some(record) = mesh.members().find(&name) {
                    mesh.shared.links.close(record.address);
                }
            }
            MemberAction::Publish => publish(mesh, machine),
        }
    }
}

/// Publishes the member table and logs each member that became live or is no longer live.
fn publish(mesh: &PeerMesh, machine: &MemberMachine) {
    let table = machine.table();
    let before = mesh.members();
    for (name, record) in &table.members {
        let was_live = before.members.get(name).is_some_and(MemberRecord::is_live);
        if was_live != record.is_live() {
            let record = LogRecord::MemberChanged {
                host: name.clone(),
                status: record.status,
            };
            log_record(Level::Info, &record);
        }
    }
    mesh.shared.table.store(Arc::new(table));
}

/// Sends queued soft state to a few hosts per round: some in the own failure domain, one outside.
async fn run_gossip(mesh: PeerMesh) {
    let mut ticks = mesh.shared.timers.subscribe(GOSSIP_PERIOD);
    loop {
        ticks.tick().await;
        if lock(&mesh.shared.gossip).is_empty() {
            continue;
        }
        let table = mesh.members();
        let domain_peers = table.live_peers();
        let domain_peers = domain_peers.choose_multiple(&mut rand::rng(), GOSSIP_FANOUT);
        for record in domain_peers {
            send_gossip(&mesh, record, false);
        }
        let contacts = table.contacts.values();
        let contacts = contacts.filter(|record| record.is_live());
        if let Some(record) = contacts.choose(&mut rand::rng()) {
            send_gossip(&mesh, record, true);
        }
    }
}

/// Sends queued soft state to one host; `cross_domain` if that is in another failure domain.
fn send_gossip(mesh: &PeerMesh, record: &MemberRecord, cross_domain: bool) {
    let items = lock(&mesh.shared.gossip).take(cross_domain, MAX_GOSSIP_BYTES);
    if items.is_empty() {
        return;
    }
    let target = PeerTarget {
        name: Some(record.name.clone()),
        address: record.address,
    };
    mesh.send(&target, &PeerMessage::Gossip(items));
}
