//! Links of a host.

/// A link of a host, as the host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostLink {
    /// From the callers.
    Callers,
    /// To the store.
    Store,
    /// To one server, by its number.
    Server(usize),
    /// To all servers.
    Servers,
}

impl HostLink {
    /// Returns whether two links of a host have a connection in common.
    pub(crate) fn overlaps(self, other: Self) -> bool {
        self == other
            || matches!(
                (self, other),
                (Self::Servers, Self::Server(_)) | (Self::Server(_), Self::Servers)
            )
    }
}
