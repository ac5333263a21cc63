//! Tests of an entry host's decisions, each under the load pattern that the decision must handle.

mod admission;
mod brittle;
mod budget;
mod cascade;
mod crashes;
mod crashing_parts;
mod events;
mod freshness;
mod limits;
mod outcomes;
mod paces;
mod pauses;
mod placement;
mod reach;
mod rollout_tracker;
mod routes;
mod speeds;
mod table;
mod trial;
