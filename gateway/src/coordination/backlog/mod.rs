//! Queues requests in the hosts instead of the engines: which waiting request is next, when it may
//! be sent, and what the other hosts hold.

mod backlog_order;
mod backlog_queue;
mod backlog_settings;
mod fleet_backlog;
mod release_pacer;
mod turn_decision;
mod waiting_request;
mod workspace_work;

pub use backlog_queue::BacklogQueue;
pub use backlog_settings::BacklogSettings;
pub use fleet_backlog::{
    BacklogReport, FleetBacklog, FleetSettings, SentWork, report_round, sample_weight,
};
pub use release_pacer::{PacerSettings, ReleasePacer};
pub use turn_decision::{TurnInputs, TurnSettings, TurnVerdict, decide_pass, decide_turn};
pub use waiting_request::{BacklogLevel, BacklogPlace, BacklogRefusal, Ticket, WaitingRequest};
