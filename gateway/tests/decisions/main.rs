//! The decisions of an entry host, each under the load pattern that it answers.

mod budget;
mod cascade;
mod crashes;
mod events;
mod outcomes;
mod placement;
mod rollout_tracker;
mod routes;
mod table;
mod trial;
