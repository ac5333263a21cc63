//! A second store for the hosts without a path to any server: it names addresses that refuse connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use galenamast_platform_standin::StandInStore;
use serde_json::{Value, json};
use tokio::net::TcpSocket;
use tokio::time::sleep;

use crate::soak_state::SoakState;

/// Kind of the entries by which hosts find one another.
const HOSTS_KIND: &str = "entry-hosts";
/// Time between two comparisons of the stores.
const MIRROR_PERIOD: Duration = Duration::from_millis(10);

/// A store that follows the main one but for the servers' addresses.
#[derive(Debug)]
pub(crate) struct SideStore {
    /// The store of the hosts without a path.
    pub(crate) store: StandInStore,
}

impl SideStore {
    /// Starts an empty store.
    pub(crate) async fn start() -> Self {
        Self {
            store: StandInStore::start().await,
        }
    }

    /// Keeps the stores alike; never returns.
    pub(crate) async fn mirror(&self, state: &SoakState) {
        let mut refusing: BTreeMap<String, TcpSocket> = BTreeMap::new();
        let mut version = Value::Null;
        loop {
            let configuration = state.store.get("config", "main");
            if let Some(specification) = configuration.map(|object| object["specification"].clone())
                && specification["version"] != version
            {
                version = specification["version"].clone();
                self.store.put("config", "main", &specification);
            }
            for server in state.servers.servers() {
                self.mirror_server(server.id(), &state.store, &mut refusing);
            }
            for host in &state.hosts {
                // A host's own process writes its entry to one of the stores.
                let (from, to) = if host.store == self.store.address() {
                    (&self.store, &state.store)
                } else {
                    (&state.store, &self.store)
                };
                copy(HOSTS_KIND, &host.name, from, to);
            }
            sleep(MIRROR_PERIOD).await;
        }
    }

    /// Copies a server's entry with an address that refuses connections.
    fn mirror_server(
        &self,
        id: &str,
        main: &StandInStore,
        refusing: &mut BTreeMap<String, TcpSocket>,
    ) {
        let listed = self.store.get("servers", id);
        let Some(object) = main.get("servers", id) else {
            if listed.is_some() {
                self.store.delete("servers", id);
            }
            return;
        };
        let socket = refusing
            .entry(id.to_owned())
            .or_insert_with(refusing_socket);
        let address = socket.local_addr().expect("the socket is bound");
        let mut entry = object["specification"].clone();
        entry["address"] = json!(address.to_string());
        if listed.is_none_or(|listed| listed["specification"] != entry) {
            self.store.put("servers", id, &entry);
        }
    }
}

/// Copies an object to another store if it differs there.
fn copy(kind: &str, name: &str, from: &StandInStore, to: &StandInStore) {
    let specification = |store: &StandInStore| {
        let object = store.get(kind, name);
        object.map(|object| object["specification"].clone())
    };
    let source = specification(from);
    if source == specification(to) {
        return;
    }
    match source {
        Some(source) => to.put(kind, name, &source),
        None => to.delete(kind, name),
    }
}

/// Returns a socket that holds a port and doesn't listen.
fn refusing_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket is created");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a port is free");
    socket
}
