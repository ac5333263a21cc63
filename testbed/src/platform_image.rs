//! Reads the configuration that is stored in the platform, for assertions.

use galenamast::coordination::config_documents::{
    CONFIG_KIND, EncodedObject, HEAD_KIND, HEAD_NAME,
};
use galenamast::coordination::{HeadDocument, ObjectKey, assemble_image};
use galenamast::protocol::ProtocolError;
use galenamast::state::ConfigImage;
use galenamast::transport::ObjectClient;
use galenamast::transport::TransportError;

/// Reads the head document and every object that it refers to; `None` if there is no head.
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
