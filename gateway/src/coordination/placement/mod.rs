//! Which backend server runs a request.

mod load_book;
mod server_pick;
mod server_table;

pub use load_book::{LoadBook, LoadSettings, ServerLoad, ServerShare};
pub use server_pick::{PickQuery, PickSettings, ServerPick, pick_server};
pub use server_table::{ServerTable, TableChange};
