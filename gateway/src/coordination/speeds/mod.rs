//! Learns how fast each server is, compared with a typical one of its service.
//!
//! Load pattern: a third of the engines takes 1.7 times the usual time, two thirds take 0.7 times, and
//! each is 2.5 times slower for 600 ms at a time, 15 % of the time. A queue of equal length lasts more than
//! twice as long at a slow server, so placement that counts work alone makes requests late there while
//! fast servers are idle. Each of up to 295 hosts sees few answers of each server.

mod server_evidence;
mod server_speeds;
mod speed_report;
mod speed_settings;
mod typical_paces;

pub use server_speeds::{ServerSpeeds, SpeedChange};
pub use speed_report::SpeedReport;
pub use speed_settings::SpeedSettings;
pub use typical_paces::TypicalPaces;
