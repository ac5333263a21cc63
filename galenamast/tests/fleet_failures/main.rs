//! Guarantees to callers while hosts, servers, the platform and network links fail, tested on
//! fleets of entry hosts in several failure domains.

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
