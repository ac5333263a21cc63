//! Stand-ins for the systems around an entry host, used by tests and examples only.
//!
//! Each stand-in listens on a free port of the loopback interface, serves a small part of the
//! protocol of the real system, and fails as its fault plan says.

pub mod crash_stream;
mod engine_answer;
pub mod engine_orders;
pub mod fake_engine;
pub mod fake_hosts;
pub mod fake_objects;
pub mod fake_rating;
pub mod fake_service;
pub mod fake_weights;
pub mod fault_plan;
pub mod listener;

pub use engine_orders::{
    EngineOrders, FakeOrders, OrderOptions, OrderState, OrderedVersion, ReceivedOrder,
};
pub use fake_engine::{EngineFaults, EngineOptions, EngineRun, FakeEngine};
pub use fake_hosts::{FakeHosts, ListedHost};
pub use fake_objects::{FakeObjects, ObjectEndpoint};
pub use fake_rating::FakeRating;
pub use fake_service::FakeService;
pub use fake_weights::FakeWeights;
pub use fault_plan::{FaultPlan, FaultSwitch};
