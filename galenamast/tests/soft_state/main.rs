//! Tests of the soft state that entry hosts share: load, quality and demand. Its messages may be
//! lost.

mod limits;
mod load_fleet;
mod load_sharing;
mod load_tracker;
mod quality;
mod traffic;
