//! Addresses of servers, replaced in a host's traffic with the store.

use std::net::SocketAddr;

/// Pairs of a server's address and the address of its proxy for one host. Both have the same length as
/// text, so that no length in the traffic changes.
#[derive(Debug, Default)]
pub(crate) struct AddressMap {
    pairs: Vec<[Vec<u8>; 2]>,
}

impl AddressMap {
    /// Creates a map from addresses to addresses; pairs of different lengths are left out.
    pub(crate) fn new(pairs: impl Iterator<Item = (SocketAddr, SocketAddr)>) -> Self {
        let texts = pairs.map(|(server, proxy)| {
            [server, proxy].map(|address| format!("\"{address}\"").into_bytes())
        });
        Self {
            pairs: texts
                .filter(|[server, proxy]| server.len() == proxy.len())
                .collect(),
        }
    }

    /// Replaces the servers' addresses in data from the store, and the proxies' in data that goes there.
    pub(crate) fn replace(&self, data: &mut [u8], goes_there: bool) {
        for [server, proxy] in &self.pairs {
            let (old, new) = if goes_there {
                (proxy, server)
            } else {
                (server, proxy)
            };
            let mut start = 0;
            while let Some(at) = find(&data[start..], old) {
                start += at;
                data[start..start + old.len()].copy_from_slice(new);
                start += old.len();
            }
        }
    }

    /// Returns whether data ends within an address.
    pub(crate) fn ends_within(&self, data: &[u8]) -> bool {
        let length = self.pairs.first().map_or(0, |pair| pair[0].len());
        (1..length.min(data.len() + 1)).any(|size| {
            let end = &data[data.len() - size..];
            self.pairs
                .iter()
                .flatten()
                .any(|address| address.starts_with(end))
        })
    }
}

/// Returns where a text begins in data.
fn find(data: &[u8], text: &[u8]) -> Option<usize> {
    data.windows(text.len()).position(|window| window == text)
}
