//! Tests of the guarantees that must hold under faults.

mod claim_faults;
mod claims;
mod duties;
mod fencing;
mod memory_objects;
mod placement;
mod platform;
mod rollouts;
mod sessions;
mod support;
mod usage;
mod usage_faults;
