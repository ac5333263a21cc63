//! Writes a configuration to the stand-in for the object API.

use galenamast::coordination::{ConfigObject, CoordinationError, HeadDocument};
use galenamast::state::ConfigGeneration;
use galenamast_fakes::FakeObjects;
use serde_json::json;

/// Writes the objects, then a head document of the given generation that refers to them by digest.
///
/// # Errors
///
/// Returns an error if an object cannot be encoded.
pub fn publish_config(
    store: &FakeObjects,
    generation: ConfigGeneration,
    documents: &[ConfigObject],
) -> Result<(), CoordinationError> {
    let mut head = HeadDocument {
        generation,
        ..Default::default()
    };
    for document in documents {
        let encoded = document.encode()?;
        head.entries
            .insert(document.entry_name(), encoded.digest.clone());
        store.put("config", &encoded.digest.0, json!(encoded));
    }
    store.put("head", "config", json!(head));
    Ok(())
}
