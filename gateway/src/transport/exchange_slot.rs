//! Memory of requests in progress, by route and workspace.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::coordination::memory::{ConnectionCosts, ExchangeUse, may_begin};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::host_memory::{MemoryKind, MemoryShare};
use crate::transport::open_connections::{connection_costs, release_memory};
use crate::transport::request_admission::Admission;

/// Who requests are counted for.
type ShareName = (&'static str, Arc<str>);

/// Memory of requests in progress by route and by workspace, in bytes.
#[derive(Debug, Default)]
pub(crate) struct ExchangeShares(Mutex<BTreeMap<ShareName, usize>>);

impl ExchangeShares {
    /// Locks the shares; they are used as they are if a holder panicked.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ShareName, usize>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is held under a name.
    fn held(&self, name: &ShareName) -> usize {
        self.lock().get(name).copied().unwrap_or(0)
    }

    /// Counts bytes under a name.
    fn add(&self, name: &ShareName, bytes: usize) {
        *self.lock().entry(name.clone()).or_default() += bytes;
    }

    /// Discounts bytes under a name.
    fn remove(&self, name: &ShareName, bytes: usize) {
        let mut shares = self.lock();
        let held = shares.get(name).copied().unwrap_or(0);
        if held <= bytes {
            shares.remove(name);
        } else {
            shares.insert(name.clone(), held - bytes);
        }
    }
}

/// Memory of a request in progress besides its body, until it is dropped.
#[derive(Debug)]
pub(crate) struct ExchangeSlot {
    context: Arc<GatewayContext>,
    share: MemoryShare,
    names: [ShareName; 2],
}

impl ExchangeSlot {
    /// Takes room for a request with a head of `head_bytes`, for which connections give way; `None` if there
    /// is none.
    pub(crate) async fn take(
        context: &Arc<GatewayContext>,
        admission: &Admission,
        head_bytes: usize,
    ) -> Option<Self> {
        let bytes = ConnectionCosts::exchange(head_bytes);
        let workspace = admission.workspace.as_ref();
        let workspace = workspace.map(|entry| entry.name.clone());
        let names = [
            ("route", admission.route.name.clone()),
            ("workspace", workspace.unwrap_or_default()),
        ];
        // A request needs a connection to a server too.
        let needed = bytes + connection_costs(context).server;
        let has_room = || {
            let held = ExchangeUse {
                all: context.memory.all(),
                exchanges: context.memory.held(MemoryKind::Exchanges),
                route: context.exchanges.held(&names[0]),
                workspace: context.exchanges.held(&names[1]),
            };
            may_begin(&held, needed, context.memory.budget())
        };
        if !release_memory(context, needed, has_room).await {
            return None;
        }
        let mut share = MemoryShare::new(&context.memory, MemoryKind::Exchanges);
        share.set(bytes);
        for name in &names {
            context.exchanges.add(name, bytes);
        }
        Some(Self {
            context: context.clone(),
            share,
            names,
        })
    }

    /// Returns the bytes that are held.
    pub(crate) fn bytes(&self) -> usize {
        self.share.bytes()
    }
}

impl Drop for ExchangeSlot {
    fn drop(&mut self) {
        for name in &self.names {
            self.context.exchanges.remove(name, self.share.bytes());
        }
    }
}
