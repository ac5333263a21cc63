//! Decides how many bytes may arrive on a connection without bringing its message further.
//!
//! Load pattern: peers that send bytes without end which are no data, such as interim heads, leading zeros of
//! a chunk's size, chunk extensions and blank lines, as fast as they are read.

/// Settings of the allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllowanceSettings {
    /// Bytes that may arrive without any data. Several reads may arrive before the data of the first is
    /// taken.
    pub max_idle_bytes: u64,
    /// Bytes of framing that each byte of data allows.
    pub framing_factor: u64,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        Self {
            max_idle_bytes: 48 * 1_024,
            framing_factor: 16,
        }
    }
}

/// The bytes that may still arrive before data has to.
///
/// ```
/// use galenamast::coordination::{AllowanceSettings, ReadAllowance};
///
/// let settings = AllowanceSettings { max_idle_bytes: 100, framing_factor: 16 };
/// let mut allowance = ReadAllowance::new(settings);
/// allowance.spend(90);
/// allowance.earn(1);
/// assert_eq!(allowance.left(), 26);
/// allowance.spend(26);
/// assert!(allowance.is_spent());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReadAllowance {
    settings: AllowanceSettings,
    left: u64,
}

impl ReadAllowance {
    /// Creates a whole allowance.
    pub const fn new(settings: AllowanceSettings) -> Self {
        Self {
            settings,
            left: settings.max_idle_bytes,
        }
    }

    /// Returns the number of bytes that may still arrive.
    pub const fn left(&self) -> u64 {
        self.left
    }

    /// Returns whether no more bytes may arrive.
    pub const fn is_spent(&self) -> bool {
        self.left == 0
    }

    /// Records that bytes arrived.
    pub const fn spend(&mut self, bytes: u64) {
        self.left = self.left.saturating_sub(bytes);
    }

    /// Records that bytes of data were taken from those that arrived. A spent allowance stays spent.
    pub fn earn(&mut self, bytes: u64) {
        if !self.is_spent() {
            let earned = bytes.saturating_mul(self.settings.framing_factor);
            self.left = self
                .left
                .saturating_add(earned)
                .min(self.settings.max_idle_bytes);
        }
    }

    /// Begins with another message. A spent allowance stays spent.
    pub const fn renew(&mut self) {
        if !self.is_spent() {
            self.left = self.settings.max_idle_bytes;
        }
    }
}
