//! Authentication, configuration changes and answers, shared by all operator calls.

use std::sync::Arc;

use log::Level;
use tonic::{Code, Request, Response, Status};

use crate::coordination::config_documents::{HEAD_KIND, HEAD_NAME};
use crate::coordination::{
    ChangeReceipt, ChangeRefusal, ConfigChange, ConfigObject, CoordinationError, HeadDocument,
    ObjectKey,
};
use crate::generated::operator as wire;
use crate::logging::log_record;
use crate::protocol::operator_changes::{change_from_wire, convert_refusal, receipt_to_wire};
use crate::protocol::operator_json::snake_name;
use crate::protocol::operator_refusal::{OperatorRefusal, RefusalCode};
use crate::protocol::operator_tokens::{OperatorIdentity, OperatorRole, TokenTable};
use crate::protocol::{ChangeRecord, LogRecord, ProtocolError};
use crate::state::{ConfigGeneration, ConfigImage, KeyDigest};
use crate::transport::config_writer::ConfigWriter;
use crate::transport::host_context::HostContext;
use crate::transport::transport_error::TransportError;

/// State that all operator calls of a host share.
#[derive(Debug)]
pub struct OperatorContext {
    pub(crate) host: Arc<HostContext>,
    tokens: TokenTable,
    writer: Option<ConfigWriter>,
}

/// Objects and removals that a call derives from the configuration in force.
#[derive(Debug, Default)]
pub(crate) struct ChangePlan {
    pub(crate) puts: Vec<ConfigObject>,
    pub(crate) removals: Vec<String>,
}

impl From<Vec<ConfigObject>> for ChangePlan {
    fn from(puts: Vec<ConfigObject>) -> Self {
        Self {
            puts,
            removals: Vec::new(),
        }
    }
}

impl OperatorContext {
    /// Creates the shared state and reads the tokens file.
    ///
    /// # Errors
    ///
    /// Returns an error if the tokens file cannot be read or is malformed.
    pub fn new(host: Arc<HostContext>) -> Result<Arc<Self>, TransportError> {
        let tokens = match &host.settings.operators.tokens_file {
            None => TokenTable::default(),
            Some(path) => {
                let file = path.display().to_string();
                let text =
                    std::fs::read_to_string(path).map_err(|error| ProtocolError::Invalid {
                        what: "tokens file",
                        reason: format!("cannot read {file}: {error}"),
                    })?;
                TokenTable::parse(&file, &text)?
            }
        };
        let objects = host.objects.as_ref();
        let writer = objects.map(|objects| ConfigWriter::new(objects, host.timers.clone()));
        Ok(Arc::new(Self {
            host,
            tokens,
            writer,
        }))
    }

    /// Returns the operator of a request if the role is sufficient.
    pub(crate) fn authorise<T>(
        &self,
        request: &Request<T>,
        needed: OperatorRole,
    ) -> Result<OperatorIdentity, OperatorRefusal> {
        let identity = self.identify(request).ok_or_else(|| {
            let message = match self.tokens.is_empty() {
                true => {
                    "this host accepts no operator: [operators] tokens_file is not set or empty"
                }
                false => "present a known token or client certificate",
            };
            OperatorRefusal::new(RefusalCode::Unauthenticated, message)
        })?;
        if identity.role >= needed {
            return Ok(identity.clone());
        }
        let message = format!(
            "operator `{}` has the role {}, and the call needs {needed}",
            identity.name, identity.role
        );
        Err(OperatorRefusal::new(RefusalCode::RoleTooLow, message))
    }

    /// Finds the operator by bearer token or by the digest of the client certificate.
    fn identify<T>(&self, request: &Request<T>) -> Option<&OperatorIdentity> {
        let header = request.metadata().get("authorization");
        let token = header
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        if let Some(token) = token {
            return self.tokens.find(&KeyDigest::of_key(token));
        }
        let certificates = request.peer_certs()?;
        let certificate = certificates.first()?;
        self.tokens.find(&KeyDigest::of_bytes(certificate))
    }

    /// Plans and writes the change that a call asks for, based on the configuration in force.
    ///
    /// If a change with the same identifier was made before, its receipt is returned and nothing is
    /// planned, so that a repeated call is not planned on top of its own result.
    pub(crate) async fn change(
        &self,
        operator: &OperatorIdentity,
        change: Option<&wire::Change>,
        plan: impl FnOnce(&ConfigImage) -> Result<ChangePlan, OperatorRefusal>,
    ) -> Result<wire::ChangeReceipt, OperatorRefusal> {
        let image = self.host.image.load_full();
        let wire_change = change.cloned().unwrap_or_default();
        let mut change = change_from_wire(&wire_change, operator)?;
        let base = change.based_on.unwrap_or(image.generation);
        change.based_on = Some(base.min(image.generation));
        let Some(writer) = &self.writer else {
            let message = "this host has no object API: [platform] objects is not set";
            return Err(OperatorRefusal::new(RefusalCode::Unavailable, message));
        };
        if let Some(receipt) = self.find_receipt(&change).await? {
            return Ok(self.answer_change(&change, receipt, wire_change.dry_run, &image));
        }
        let planned = plan(&image)?;
        change.puts = planned.puts;
        change.removals = planned.removals;
        let result = writer.apply(&change, wire_change.dry_run).await;
        let receipt = result.map_err(|refusal| self.refuse_change(&refusal))?;
        Ok(self.answer_change(&change, receipt, wire_change.dry_run, &image))
    }

    /// Returns the receipt of an earlier call with the same change identifier.
    ///
    /// A change of that identifier by another author or for another reason is refused.
    async fn find_receipt(
        &self,
        change: &ConfigChange,
    ) -> Result<Option<ChangeReceipt>, OperatorRefusal> {
        let Some(objects) = &self.host.objects else {
            return Ok(None);
        };
        let read = objects.read(&ObjectKey::new(HEAD_KIND, HEAD_NAME)).await;
        let unavailable = |error: String| OperatorRefusal::new(RefusalCode::Unavailable, error);
        let record = read.map_err(|error| unavailable(error.to_string()))?;
        let Some(record) = record else {
            return Ok(None);
        };
        let head: HeadDocument = serde_json::from_value(record.value)
            .map_err(|error| unavailable(format!("the head is malformed: {error}")))?;
        let note = head
            .changes
            .iter()
            .find(|note| note.change_id == change.change_id);
        if let Some(note) = note
            && (note.author != change.author || note.reason != change.reason)
        {
            let message = format!(
                "change identifier `{}` was used by {} in generation {} for another change",
                note.change_id, note.author, note.generation
            );
            return Err(OperatorRefusal::new(RefusalCode::ChangeIdReused, message));
        }
        Ok(change.find_receipt(&head))
    }

    /// Logs an accepted change and converts its receipt.
    fn answer_change(
        &self,
        change: &ConfigChange,
        receipt: ChangeReceipt,
        dry_run: bool,
        image: &ConfigImage,
    ) -> wire::ChangeReceipt {
        let answer = receipt_to_wire(change, &receipt, dry_run, image);
        let record = ChangeRecord {
            change_id: receipt.change_id,
            author: change.author.clone(),
            reason: change.reason.clone(),
            generation: receipt.generation,
            entries: receipt.entries,
            dry_run,
            repeated: receipt.repeated,
        };
        log_record(Level::Info, &LogRecord::ConfigChanged(record));
        answer
    }

    /// Converts the refusal of a change and adds the generation in force.
    fn refuse_change(&self, refusal: &ChangeRefusal) -> OperatorRefusal {
        OperatorRefusal {
            generation: self.generation(),
            ..convert_refusal(refusal)
        }
    }

    /// Returns the generation in force.
    pub(crate) fn generation(&self) -> ConfigGeneration {
        self.host.image.load().generation
    }
}

/// Converts the result of a call to its answer and logs a refusal.
#[allow(clippy::result_large_err)] // The generated traits fix the error type.
pub(crate) fn answer<T>(
    call: &str,
    result: Result<T, OperatorRefusal>,
) -> Result<Response<T>, Status> {
    result.map(Response::new).map_err(|refusal| {
        let record = LogRecord::CallRefused {
            call: call.into(),
            code: snake_name(&refusal.code),
            message: refusal.message.clone(),
        };
        log_record(Level::Warn, &record);
        Status::from(refusal)
    })
}

impl From<OperatorRefusal> for Status {
    fn from(refusal: OperatorRefusal) -> Self {
        let code = match refusal.code {
            RefusalCode::Unauthenticated => Code::Unauthenticated,
            RefusalCode::RoleTooLow => Code::PermissionDenied,
            RefusalCode::Invalid => Code::InvalidArgument,
            RefusalCode::NotFound => Code::NotFound,
            RefusalCode::WrongState => Code::FailedPrecondition,
            RefusalCode::Conflict => Code::Aborted,
            RefusalCode::Unavailable => Code::Unavailable,
            RefusalCode::OutcomeUnknown | RefusalCode::Unspecified => Code::Unknown,
            RefusalCode::ChangeIdReused => Code::AlreadyExists,
        };
        let details = refusal.encode();
        Status::with_details(code, refusal.message, details.into())
    }
}

/// Converts the error of a roll-out step to a refusal.
pub(crate) fn refuse_step(error: &CoordinationError) -> OperatorRefusal {
    OperatorRefusal::new(RefusalCode::WrongState, error.to_string())
}
