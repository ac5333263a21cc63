//! Tests of what must always hold, by promise, under faults.

mod claim_faults;
mod claims;
mod memory_objects;
mod platform;
mod sessions;
mod support;
mod usage;
mod usage_faults;
