//! Selects the backend server that runs a request.

mod domain_reach;
mod load_estimator;
mod prefix_cache_index;
mod prompt_prefixes;
mod server_pick;
mod server_table;
mod short_server_id;

pub use domain_reach::{DomainReach, DomainReachSettings};
pub use load_estimator::{HostLoad, LoadEstimator, LoadSettings, ServerEstimate, ServerLoad};
pub use prefix_cache_index::{PrefixCacheIndex, PrefixCacheSettings, PrefixRead};
pub use prompt_prefixes::{PromptPrefix, PromptPrefixes};
pub use server_pick::{PickQuery, PickSettings, ServerPick, pick_server};
pub use server_table::{ServerTable, TableChange};
pub use short_server_id::short_server_id;
