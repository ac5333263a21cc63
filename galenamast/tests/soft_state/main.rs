//! Load, quality and demand that entry hosts tell each other and that may be lost.

mod limits;
mod load_fleet;
mod load_sharing;
mod load_tracker;
mod quality;
mod traffic;
