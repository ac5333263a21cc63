//! Where a host learns that a server is cold.

/// Where a host learned that a server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// The list of servers.
    List,
    /// An answer of the server.
    Answer,
    /// Another host.
    Host,
}

impl ColdSource {
    /// Returns the name that log records use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Answer => "answer",
            Self::Host => "host",
        }
    }
}
