//! Conversion of changes, receipts and refusals between the operator protocol and coordination.

use crate::coordination::config_documents::SESSION_KEYS_ENTRY;
use crate::coordination::{ChangeReceipt, ChangeRefusal, ConfigChange, ConfigObject};
use crate::generated::operator as wire;
use crate::protocol::operator_objects::{image_objects, invalid};
use crate::protocol::operator_refusal::{OperatorRefusal, RefusalCode};
use crate::protocol::operator_tokens::OperatorIdentity;
use crate::protocol::protocol_error::ProtocolError;
use crate::state::{ConfigGeneration, ConfigImage};

/// Maximum length of a change identifier, an author and a reason, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// Converts the fields common to all changes; the caller adds the objects.
///
/// # Errors
///
/// Returns an error if the identifier or the reason is empty, or if a text is too long.
pub fn change_from_wire(
    change: &wire::Change,
    operator: &OperatorIdentity,
) -> Result<ConfigChange, ProtocolError> {
    require_text("change_id", &change.change_id)?;
    require_text("reason", &change.reason)?;
    let author = author_of(&change.author, operator);
    require_text("author", &author)?;
    Ok(ConfigChange {
        change_id: change.change_id.clone(),
        author,
        reason: change.reason.clone(),
        based_on: change.based_on_generation.map(ConfigGeneration),
        ..Default::default()
    })
}

/// Returns the author of a change: the operator, and the person or program it acts for, if any.
fn author_of(author: &str, operator: &OperatorIdentity) -> String {
    if author.is_empty() || author == operator.name {
        return operator.name.clone();
    }
    format!("{author} via {}", operator.name)
}

/// Checks that a text is neither blank nor too long.
fn require_text(field: &str, text: &str) -> Result<(), ProtocolError> {
    if text.trim().is_empty() {
        return Err(invalid("change", format!("{field} must not be empty")));
    }
    if text.len() > MAX_TEXT_BYTES {
        let reason = format!("{field} must take at most {MAX_TEXT_BYTES} bytes");
        return Err(invalid("change", reason));
    }
    Ok(())
}

/// Converts the receipt of a change; `image` tells created entries from updated ones.
pub fn receipt_to_wire(
    change: &ConfigChange,
    receipt: &ChangeReceipt,
    dry_run: bool,
    image: &ConfigImage,
) -> wire::ChangeReceipt {
    let mut known: Vec<String> = image_objects(image)
        .iter()
        .map(ConfigObject::entry_name)
        .collect();
    if image.session_keys.is_some() {
        known.push(SESSION_KEYS_ENTRY.into());
    }
    let action = |entry: &String| {
        if change.removals.contains(entry) {
            return wire::EntryAction::Remove;
        }
        match known.contains(entry) {
            true => wire::EntryAction::Update,
            false => wire::EntryAction::Create,
        }
    };
    let entries = receipt.entries.iter().map(|entry| wire::EntryChange {
        entry: entry.clone(),
        action: match receipt.repeated {
            true => wire::EntryAction::Unspecified.into(),
            false => action(entry).into(),
        },
    });
    wire::ChangeReceipt {
        generation: receipt.generation.0,
        entries: entries.collect(),
        repeated: receipt.repeated,
        dry_run,
    }
}

/// Converts the refusal of a change to the refusal of the operator call.
pub fn convert_refusal(refusal: &ChangeRefusal) -> OperatorRefusal {
    let code = match refusal {
        ChangeRefusal::UnknownEntry(_) => RefusalCode::NotFound,
        ChangeRefusal::Overtaken { .. } | ChangeRefusal::UnknownBase { .. } => {
            RefusalCode::Conflict
        }
        ChangeRefusal::Unavailable { .. } => RefusalCode::Unavailable,
        ChangeRefusal::Indeterminate { .. } => RefusalCode::OutcomeUnknown,
        _ => RefusalCode::Invalid,
    };
    match refusal {
        ChangeRefusal::Invalid(errors) => OperatorRefusal {
            problems: errors.iter().map(ToString::to_string).collect(),
            ..OperatorRefusal::new(code, "the configuration would be invalid")
        },
        refusal => OperatorRefusal::new(code, refusal.to_string()),
    }
}
