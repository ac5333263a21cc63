//! Tests of what must always hold, by promise, under faults.

mod sessions;
mod support;
