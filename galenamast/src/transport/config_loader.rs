//! Reads the configuration in force from the platform.

use crate::coordination::config_documents::{CONFIG_KIND, EncodedObject, HEAD_KIND, HEAD_NAME};
use crate::coordination::{HeadDocument, ObjectKey, assemble_image};
use crate::protocol::ProtocolError;
use crate::state::ConfigImage;
use crate::transport::object_client::ObjectClient;
use crate::transport::transport_error::TransportError;

/// Reads the head and every object that it names.
///
/// # Errors
///
/// Returns an error if the platform cannot be read or an object is missing or malformed.
pub async fn load_config(client: &ObjectClient) -> Result<Option<ConfigImage>, TransportError> {
    let Some(record) = client.read(&ObjectKey::new(HEAD_KIND, HEAD_NAME)).await? else {
        return Ok(None);
    };
    let head: HeadDocument =
        serde_json::from_value(record.value).map_err(|source| ProtocolError::Json {
            what: "head",
            source,
        })?;
    let mut objects = Vec::with_capacity(head.entries.len());
    for (entry, digest) in &head.entries {
        let key = ObjectKey::new(CONFIG_KIND, &digest.0);
        let record = client
            .read(&key)
            .await?
            .ok_or_else(|| ProtocolError::Invalid {
                what: "head",
                reason: format!("object {digest} of {entry} does not exist"),
            })?;
        let encoded: EncodedObject =
            serde_json::from_value(record.value).map_err(|source| ProtocolError::Json {
                what: "configuration object",
                source,
            })?;
        objects.push(encoded.decode()?);
    }
    Ok(Some(assemble_image(head.generation, objects)))
}
