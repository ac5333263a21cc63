//! The proxies on the links of a host.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::address_map::AddressMap;
use crate::host_link::HostLink;
use crate::link_fault::LinkFault;
use crate::link_proxy::LinkProxy;

/// The proxies on the links of one host.
#[derive(Debug)]
pub(crate) struct HostLinks {
    callers: LinkProxy,
    store: LinkProxy,
    servers: Vec<LinkProxy>,
}

impl HostLinks {
    /// Opens a host's proxies on free addresses that `free` returns. `callers` and `store` are the proxies'
    /// addresses and targets.
    pub(crate) fn open(
        callers: [SocketAddr; 2],
        store: [SocketAddr; 2],
        servers: &[SocketAddr],
        mut free: impl FnMut() -> SocketAddr,
    ) -> Self {
        let pairs: Vec<_> = servers.iter().map(|server| (*server, free())).collect();
        let map = Arc::new(AddressMap::new(pairs.iter().copied()));
        Self {
            callers: LinkProxy::open(callers[0], callers[1], None),
            store: LinkProxy::open(store[0], store[1], Some(map)),
            servers: pairs
                .into_iter()
                .map(|(server, proxy)| LinkProxy::open(proxy, server, None))
                .collect(),
        }
    }

    /// Returns the number of links to single servers.
    pub(crate) fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Sets the fault of a link; `None` heals it.
    pub(crate) fn set_fault(&self, link: HostLink, fault: Option<LinkFault>) {
        match link {
            HostLink::Callers => self.callers.set_fault(fault),
            HostLink::Store => self.store.set_fault(fault),
            HostLink::Server(number) => self.servers[number].set_fault(fault),
            HostLink::Servers => {
                for server in &self.servers {
                    server.set_fault(fault);
                }
            }
        }
    }
}
