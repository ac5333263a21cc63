//! One direction of a connection over a link that can fail.

use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::address_map::AddressMap;
use crate::link_fault::LinkFault;
use crate::link_state::LinkState;

/// Time for which the begin of an address waits for its rest.
const REST_WAIT: Duration = Duration::from_millis(20);
/// Data that is read ahead, in bytes.
const PIECE: usize = 16 * 1024;

/// One direction of a connection.
#[derive(Debug)]
pub(crate) struct LinkDirection {
    /// Whether data goes to the side that accepts.
    pub(crate) goes_there: bool,
    /// State of the link when the connection was opened.
    pub(crate) begin: LinkState,
    /// Addresses that are replaced.
    pub(crate) map: Option<Arc<AddressMap>>,
    /// State of the link.
    pub(crate) state: watch::Receiver<LinkState>,
}

impl LinkDirection {
    /// Passes data on until its end, which is passed on as well; an error ends the connection.
    pub(crate) async fn copy(
        mut self,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
    ) -> Result<(), Error> {
        let mut data = Vec::with_capacity(PIECE);
        loop {
            let read = from.read_buf(&mut data).await;
            while self.holds_rest(&data) {
                match timeout(REST_WAIT, from.read_buf(&mut data)).await {
                    Ok(Ok(1..)) => {}
                    _ => break,
                }
            }
            self.wait_for_link().await?;
            if read? == 0 {
                return to.shutdown().await;
            }
            if let Some(map) = &self.map {
                map.replace(&mut data, self.goes_there);
            }
            to.write_all(&data).await?;
            data.clear();
        }
    }

    /// Returns whether data ends within an address.
    fn holds_rest(&self, data: &[u8]) -> bool {
        self.map.as_ref().is_some_and(|map| map.ends_within(data))
    }

    /// Waits until the link passes data on.
    async fn wait_for_link(&mut self) -> Result<(), Error> {
        let (begin, goes_there) = (self.begin, self.goes_there);
        let passes = |now: &LinkState| {
            now.mutes == begin.mutes && !now.fault.is_some_and(|fault| fault.holds(goes_there))
        };
        let now = *self
            .state
            .wait_for(passes)
            .await
            .map_err(|_| ErrorKind::ConnectionAborted)?;
        if let Some(LinkFault::Delay(millis)) = now.fault {
            sleep(Duration::from_millis(millis)).await;
        }
        Ok(())
    }
}
