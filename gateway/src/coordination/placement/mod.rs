//! Which backend server runs a request.

mod kept_parts;
mod load_book;
mod prompt_path;
mod server_pick;
mod server_table;
mod server_tag;

pub use kept_parts::{KeptParts, KeptSettings, PartRead};
pub use load_book::{LoadBook, LoadSettings, ServerLoad, ServerShare};
pub use prompt_path::{PromptPath, PromptPrefix};
pub use server_pick::{PickQuery, PickSettings, ServerPick, pick_server};
pub use server_table::{ServerTable, TableChange};
pub use server_tag::server_tag;
