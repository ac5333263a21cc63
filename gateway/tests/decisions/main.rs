//! Tests of an entry host's decisions, each under the load pattern that the decision must handle.

mod admission;
mod brittle;
mod budget;
mod cascade;
mod cold_servers;
mod crashes;
mod crashing_parts;
mod evacuations;
mod events;
mod exchange_steps;
mod freshness;
mod limits;
mod liveness;
mod memory;
mod outcomes;
mod paces;
mod pauses;
mod placement;
mod reach;
mod responses;
mod rollout_tracker;
mod routes;
mod shutdown;
mod speeds;
mod table;
mod trial;
