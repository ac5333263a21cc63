//! Shared parts of the tests of the fleet.

use std::time::Duration;

use galenamast::coordination::{CallPriority, ConfigChange, ConfigObject};
use galenamast::state::PoolSpec;
use galenamast::transport::{CallLimits, ConfigWriter, HttpClient, ObjectClient, TimerService};
use std::net::SocketAddr;

/// Creates a client with a short timeout and a budget that never binds.
pub(crate) fn client_at(address: SocketAddr) -> ObjectClient {
    let limits = CallLimits {
        call_timeout: Duration::from_millis(400),
        calls_per_second: 10_000,
        ..Default::default()
    };
    let client =
        ObjectClient::with_limits(HttpClient::new(), address, limits, TimerService::system());
    client.with_priority(CallPriority::Claim)
}

/// Creates a configuration writer at an address.
pub(crate) fn writer_at(address: SocketAddr) -> ConfigWriter {
    ConfigWriter::new(&client_at(address), TimerService::system())
}

/// Builds a change that puts one pool.
pub(crate) fn pool_change(change_id: &str, pool: &str, slots: u32) -> ConfigChange {
    ConfigChange {
        change_id: change_id.into(),
        author: format!("author of {change_id}"),
        reason: "test".into(),
        puts: vec![ConfigObject::Pool(PoolSpec {
            name: pool.into(),
            slots_per_server: slots,
            ..Default::default()
        })],
        ..Default::default()
    }
}
