//! Tracks how current the host's knowledge of the store is.

mod store_freshness;

pub use store_freshness::{FreshnessSettings, StoreFreshness};
