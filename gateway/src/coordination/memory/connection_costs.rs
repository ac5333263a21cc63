//! Memory that connections and requests in progress take, besides bodies.

/// Task, protocol state and first read buffer of a connection, in bytes.
const CONNECTION_BYTES: usize = 20 * 1_024;
/// State of a request in progress, in bytes.
const EXCHANGE_BYTES: usize = 32 * 1_024;
/// Largest block of a response that is written at once, in bytes.
const WRITE_BLOCK_BYTES: usize = 16 * 1_024;
/// Factor by which Linux allocates more than the size that is asked for as receive buffer.
const RECEIVE_FACTOR: usize = 2;
/// Factor by which a buffer that grows may exceed what it holds.
const GROWTH_FACTOR: usize = 2;

/// Memory that connections and requests in progress take, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCosts {
    /// A connection of a caller, with bytes received and not read.
    pub caller: usize,
    /// What its read buffer takes in addition once it grows.
    pub reading: usize,
    /// What its write buffer takes in addition while the caller reads nothing.
    pub blocked: usize,
    /// A connection to a server, with bytes received and not read.
    pub server: usize,
}

impl ConnectionCosts {
    /// Returns the costs, given the receive buffers of connections from callers and to servers and the
    /// size of the largest head, in bytes.
    ///
    /// ```
    /// use galenamast_gateway::coordination::memory::ConnectionCosts;
    ///
    /// let costs = ConnectionCosts::new(8_192, 16_384, 16_384);
    /// assert_eq!(costs.caller, 36 * 1_024);
    /// assert_eq!(costs.server, 52 * 1_024);
    /// ```
    pub const fn new(caller_receive: u32, server_receive: u32, header_bytes: usize) -> Self {
        Self {
            caller: CONNECTION_BYTES + caller_receive as usize * RECEIVE_FACTOR,
            reading: header_bytes * GROWTH_FACTOR,
            blocked: header_bytes + WRITE_BLOCK_BYTES,
            server: CONNECTION_BYTES + server_receive as usize * RECEIVE_FACTOR,
        }
    }

    /// Returns the memory of a request in progress with a head of `head_bytes`, which is held as read and
    /// as sent to a server.
    pub const fn exchange(head_bytes: usize) -> usize {
        EXCHANGE_BYTES + head_bytes * GROWTH_FACTOR
    }
}
