//! Writes configuration changes to the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::coordination::config_documents::{CONFIG_KIND, EncodedObject, HEAD_KIND, HEAD_NAME};
use crate::coordination::{
    CallPriority, ChangeReceipt, ChangeRefusal, ConfigChange, ConfigObject, HeadDocument,
    ObjectDigest, ObjectKey, ObjectRecord, PlannedChange, WriteCondition, WriteOutcome,
    assemble_image, check_image,
};
use crate::protocol::ProtocolError;
use crate::transport::object_client::ObjectClient;
use crate::transport::timer_service::TimerService;
use crate::transport::transport_error::TransportError;

/// Time limit for one change, and for each object written in it.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before the next attempt after a lost race or a write with an unknown outcome.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Decoded objects of a configuration by digest.
type ObjectCache = BTreeMap<ObjectDigest, Arc<ConfigObject>>;

/// Writes configuration changes: first the objects, then the head that references them.
#[derive(Debug)]
pub struct ConfigWriter {
    objects: ObjectClient,
    timers: TimerService,
    cache: ArcSwap<ObjectCache>,
}

/// The head as it was read; without a condition if it does not exist yet.
#[derive(Debug, Default)]
struct ReadHead {
    condition: Option<WriteCondition>,
    document: HeadDocument,
}

impl ConfigWriter {
    /// Creates a writer whose calls have [`CallPriority::Config`].
    pub fn new(objects: &ObjectClient, timers: TimerService) -> Self {
        Self {
            objects: objects.with_priority(CallPriority::Config),
            timers,
            cache: ArcSwap::default(),
        }
    }

    /// Applies a change, or only checks it in a dry run.
    ///
    /// The change is accepted once the write of the head took effect. If the answer to that write
    /// is lost, the head is read again and searched for the change's identifier. If another change
    /// was written in between, this one is planned again on top of it, unless both touch the same
    /// entries.
    ///
    /// # Errors
    ///
    /// Returns why the change was not accepted, or [`ChangeRefusal::Indeterminate`] if it is not
    /// known whether it was.
    pub async fn apply(
        &self,
        change: &ConfigChange,
        dry_run: bool,
    ) -> Result<ChangeReceipt, ChangeRefusal> {
        let deadline = self.timers.now() + CHANGE_TIMEOUT;
        let mut base = change.based_on;
        let mut indeterminate = false;
        loop {
            let read = self.read_head().await;
            let head = read.map_err(|error| refuse_unavailable(change, indeterminate, &error))?;
            if let Some(receipt) = change.find_receipt(&head.document) {
                return Ok(receipt);
            }
            let base = *base.get_or_insert(head.document.generation);
            let planned = change.plan(&head.document, base).map_err(|refusal| {
                if indeterminate {
                    keep_indeterminate(change, refusal)
                } else {
                    refusal
                }
            })?;
            let checked = self.check(change, &planned).await;
            checked.map_err(|refusal| {
                if indeterminate {
                    keep_indeterminate(change, refusal)
                } else {
                    refusal
                }
            })?;
            if dry_run {
                return Ok(receipt_of(change, planned));
            }
            self.write_objects(&planned)
                .await
                .map_err(|error| refuse_unavailable(change, indeterminate, &error))?;
            match self.write_head(&head, &planned).await {
                Ok(WriteOutcome::Applied(_)) => return Ok(receipt_of(change, planned)),
                Ok(WriteOutcome::Conflict) => {}
                Ok(WriteOutcome::Indeterminate) => indeterminate = true,
                Ok(WriteOutcome::Rejected) => {
                    return Err(refuse_unavailable(
                        change,
                        indeterminate,
                        &"the platform rejected the write of the head",
                    ));
                }
                Err(error) => return Err(refuse_unavailable(change, indeterminate, &error)),
            }
            if self.timers.now() >= deadline {
                return Err(refuse_unavailable(
                    change,
                    indeterminate,
                    &"the change was not written within its time limit",
                ));
            }
            self.timers.sleep(RETRY_DELAY).await;
        }
    }

    /// Reads the head; a missing head stands for the empty configuration.
    async fn read_head(&self) -> Result<ReadHead, TransportError> {
        let record = self.objects.read(&head_key()).await?;
        let Some(record) = record else {
            return Ok(ReadHead::default());
        };
        Ok(ReadHead {
            condition: Some(WriteCondition::At(record.version)),
            document: decode_head(record)?,
        })
    }

    /// Validates the configuration that would result from a change.
    async fn check(
        &self,
        change: &ConfigChange,
        planned: &PlannedChange,
    ) -> Result<(), ChangeRefusal> {
        let mut cache = ObjectCache::clone(&self.cache.load());
        for (object, encoded) in change.puts.iter().zip(&planned.objects) {
            cache.insert(encoded.digest.clone(), Arc::new(object.clone()));
        }
        let entries = &planned.head.entries;
        for digest in entries.values() {
            if cache.contains_key(digest) {
                continue;
            }
            let read = read_object(&self.objects, digest).await;
            let object = read.map_err(|error| ChangeRefusal::Unavailable {
                reason: error.to_string(),
            })?;
            cache.insert(digest.clone(), Arc::new(object));
        }
        cache.retain(|digest, _| entries.values().any(|entry| entry == digest));
        let objects = cache.values().map(|object| ConfigObject::clone(object));
        let image = assemble_image(planned.head.generation, objects);
        self.cache.store(Arc::new(cache));
        let errors = check_image(&image);
        if errors.is_empty() {
            return Ok(());
        }
        Err(ChangeRefusal::Invalid(errors))
    }

    /// Writes the objects of a change.
    async fn write_objects(&self, planned: &PlannedChange) -> Result<(), TransportError> {
        for encoded in &planned.objects {
            self.write_object(encoded).await?;
        }
        Ok(())
    }

    /// Writes one object; one that exists is written again, which raises its version.
    ///
    /// The clean-up deletes an object only at the version that it listed, so the raised version
    /// protects the object from a clean-up under way.
    async fn write_object(&self, encoded: &EncodedObject) -> Result<(), TransportError> {
        let key = ObjectKey::new(CONFIG_KIND, &encoded.digest.0);
        let value = encode_value(encoded)?;
        let deadline = self.timers.now() + CHANGE_TIMEOUT;
        loop {
            let found = self.objects.read(&key).await?;
            let condition = match found {
                Some(record) => WriteCondition::At(record.version),
                None => WriteCondition::Absent,
            };
            match self.objects.write(&key, condition, &value).await? {
                WriteOutcome::Applied(_) => return Ok(()),
                WriteOutcome::Conflict | WriteOutcome::Indeterminate
                    if self.timers.now() < deadline =>
                {
                    self.timers.sleep(RETRY_DELAY).await;
                }
                _ => {
                    return Err(ProtocolError::Invalid {
                        what: "configuration object",
                        reason: format!("the platform did not accept object {}", encoded.digest),
                    }
                    .into());
                }
            }
        }
    }

    /// Writes the planned head on the condition that the head is still as it was read.
    async fn write_head(
        &self,
        read: &ReadHead,
        planned: &PlannedChange,
    ) -> Result<WriteOutcome, TransportError> {
        let condition = read.condition.unwrap_or(WriteCondition::Absent);
        let value = encode_value(&planned.head)?;
        self.objects.write(&head_key(), condition, &value).await
    }
}

/// Returns the object key of the head.
pub(crate) fn head_key() -> ObjectKey {
    ObjectKey::new(HEAD_KIND, HEAD_NAME)
}

/// Decodes the head from its object.
///
/// # Errors
///
/// Returns an error if the head is malformed.
pub(crate) fn decode_head(record: ObjectRecord) -> Result<HeadDocument, ProtocolError> {
    let what = "head";
    serde_json::from_value(record.value).map_err(|source| ProtocolError::Json { what, source })
}

/// Reads and decodes the configuration object of a digest.
async fn read_object(
    client: &ObjectClient,
    digest: &ObjectDigest,
) -> Result<ConfigObject, TransportError> {
    let key = ObjectKey::new(CONFIG_KIND, &digest.0);
    let record = client.read(&key).await?;
    let record = record.ok_or_else(|| ProtocolError::Invalid {
        what: "head",
        reason: format!("object {digest} does not exist"),
    })?;
    let what = "configuration object";
    let encoded: EncodedObject = serde_json::from_value(record.value)
        .map_err(|source| ProtocolError::Json { what, source })?;
    Ok(encoded.decode()?)
}

/// Encodes a document as an object value.
fn encode_value(document: &impl serde::Serialize) -> Result<serde_json::Value, ProtocolError> {
    let what = "configuration document";
    serde_json::to_value(document).map_err(|source| ProtocolError::Json { what, source })
}

/// Returns the receipt of a change that was planned and, unless in a dry run, written.
fn receipt_of(change: &ConfigChange, planned: PlannedChange) -> ChangeReceipt {
    ChangeReceipt {
        change_id: change.change_id.clone(),
        generation: planned.head.generation,
        repeated: false,
        entries: planned.entries,
    }
}

/// Returns the refusal for a failed call; indeterminate if an earlier write of the head had an
/// unknown outcome.
fn refuse_unavailable(
    change: &ConfigChange,
    indeterminate: bool,
    reason: &impl ToString,
) -> ChangeRefusal {
    let reason = reason.to_string();
    let refusal = ChangeRefusal::Unavailable { reason };
    if indeterminate {
        return keep_indeterminate(change, refusal);
    }
    refusal
}

/// Makes a refusal indeterminate if it does not tell whether an earlier write took effect.
fn keep_indeterminate(change: &ConfigChange, refusal: ChangeRefusal) -> ChangeRefusal {
    match refusal {
        ChangeRefusal::Unavailable { .. } | ChangeRefusal::UnknownBase { .. } => {
            ChangeRefusal::Indeterminate {
                change_id: change.change_id.clone(),
            }
        }
        refusal => refusal,
    }
}
