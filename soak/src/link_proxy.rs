//! A proxy on one link, which can fail.

use std::io::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use crate::address_map::AddressMap;
use crate::link_direction::LinkDirection;
use crate::link_fault::LinkFault;
use crate::link_state::LinkState;

/// Length of the queue of new connections.
const BACKLOG: u32 = 1024;
/// Pause before another try to open the port.
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// A proxy that accepts connections and passes their data on to a target.
#[derive(Debug)]
pub(crate) struct LinkProxy {
    state: watch::Sender<LinkState>,
    _serving: AbortOnDropHandle<()>,
}

impl LinkProxy {
    /// Opens a proxy; `map` replaces addresses in the data.
    pub(crate) fn open(
        address: SocketAddr,
        target: SocketAddr,
        map: Option<Arc<AddressMap>>,
    ) -> Self {
        let state = watch::Sender::new(LinkState::default());
        let serving = serve(address, target, map, state.subscribe());
        Self {
            state,
            _serving: AbortOnDropHandle::new(tokio::spawn(serving)),
        }
    }

    /// Sets the link's fault; `None` heals it.
    pub(crate) fn set_fault(&self, fault: Option<LinkFault>) {
        self.state.send_modify(|state| {
            let resets = matches!(fault, Some(LinkFault::Reset | LinkFault::ResetRefuse));
            state.resets += u64::from(resets);
            state.mutes += u64::from(fault == Some(LinkFault::Mute));
            state.fault = fault;
        });
    }
}

/// Accepts connections as long as the link establishes any; never returns.
async fn serve(
    address: SocketAddr,
    target: SocketAddr,
    map: Option<Arc<AddressMap>>,
    mut state: watch::Receiver<LinkState>,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let fault = state.borrow_and_update().fault;
        if fault.is_some_and(LinkFault::refuses) {
            let _ = state.changed().await;
            continue;
        }
        let hangs = fault.is_some_and(LinkFault::hangs);
        let Ok(listener) = listen(address, if hangs { 0 } else { BACKLOG }) else {
            sleep(BIND_PAUSE).await;
            continue;
        };
        if hangs {
            // With a full queue, the packets that open further connections are dropped.
            let fill = async {
                let _filler = TcpStream::connect(address).await;
                std::future::pending::<()>().await;
            };
            let is_over = |now: &LinkState| !now.fault.is_some_and(LinkFault::hangs);
            tokio::select! {
                () = fill => {}
                _ = state.wait_for(is_over) => {}
            }
            continue;
        }
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    connections.spawn(pass(stream, target, map.clone(), state.clone()));
                },
                _ = state.changed() => {
                    let fault = state.borrow().fault;
                    if fault.is_some_and(|fault| fault.refuses() || fault.hangs()) {
                        break;
                    }
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }
}

/// Opens the port.
fn listen(address: SocketAddr, backlog: u32) -> Result<TcpListener, Error> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Passes data on until either side ends or the link resets the connection.
async fn pass(
    mut near: TcpStream,
    target: SocketAddr,
    map: Option<Arc<AddressMap>>,
    mut state: watch::Receiver<LinkState>,
) {
    let begin = *state.borrow_and_update();
    let far = TcpStream::connect(target).await;
    let Ok(mut far) = far else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let there = LinkDirection {
        goes_there: true,
        begin,
        map: map.clone(),
        state: state.clone(),
    };
    let back = LinkDirection {
        goes_there: false,
        begin,
        map,
        state: state.clone(),
    };
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let is_whole = tokio::select! {
        _ = state.wait_for(|now| now.resets > begin.resets) => false,
        ended = async { tokio::try_join!(there.copy(near_read, far_write), back.copy(far_read, near_write)) } => ended.is_ok(),
    };
    if !is_whole {
        let _ = (near.set_zero_linger(), far.set_zero_linger());
    }
}
