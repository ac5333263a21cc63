//! State of a link.

use crate::link_fault::LinkFault;

/// The fault of a link, and what its connections went through.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkState {
    /// The fault, if there is one.
    pub(crate) fault: Option<LinkFault>,
    /// How often the connections that were open were reset.
    pub(crate) resets: u64,
    /// How often the connections that were open fell silent for good.
    pub(crate) mutes: u64,
}
