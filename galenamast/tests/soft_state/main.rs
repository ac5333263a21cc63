//! Load, quality and demand that entry hosts tell each other and that may be lost.

mod limits;
mod load_board;
mod load_fleet;
mod load_sharing;
mod quality;
mod traffic;
