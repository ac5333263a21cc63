//! What must always hold, over several entry hosts of several failure domains that fail.

mod backends;
mod cuts;
mod ledger_check;
mod pairs;
mod placement;
mod platform;
mod replacement;
mod starting;
mod support;
mod traffic;
mod withdrawal;
