//! Tracks which failure domains the operator has evacuated.

mod domain_evacuations;

pub use domain_evacuations::{DomainEvacuations, EvacuationSettings};
