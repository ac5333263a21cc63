//! Refusals of operator calls and their encoding in gRPC status details.

use std::fmt;

use prost::Message;

use crate::generated::operator as wire;
use crate::protocol::operator_json::snake_name;
use crate::protocol::protocol_error::ProtocolError;
use crate::state::ConfigGeneration;

pub use crate::generated::operator::RefusalCode;

/// A refused operator call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorRefusal {
    /// Stable code of the reason.
    pub code: RefusalCode,
    /// Human-readable explanation.
    pub message: String,
    /// Individual problems of an invalid change; empty for other refusals.
    pub problems: Vec<String>,
    /// Generation in force when the call was refused; 0 if unknown.
    pub generation: ConfigGeneration,
}

impl OperatorRefusal {
    /// Creates a refusal without a list of problems.
    ///
    /// ```
    /// use galenamast::protocol::operator_refusal::{OperatorRefusal, RefusalCode};
    ///
    /// let refusal = OperatorRefusal::new(RefusalCode::NotFound, "no such roll-out");
    /// assert_eq!(refusal.to_string(), "not_found: no such roll-out");
    /// assert_eq!(OperatorRefusal::decode(&refusal.encode()), Some(refusal));
    /// ```
    pub fn new(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            problems: Vec::new(),
            generation: ConfigGeneration::default(),
        }
    }

    /// Encodes the refusal for the details of a gRPC status.
    pub fn encode(&self) -> Vec<u8> {
        let refusal = wire::Refusal {
            code: self.code.into(),
            message: self.message.clone(),
            problems: self.problems.clone(),
            generation: self.generation.0,
        };
        refusal.encode_to_vec()
    }

    /// Decodes a refusal; `None` if the details are malformed or hold no code.
    pub fn decode(details: &[u8]) -> Option<Self> {
        let refusal = wire::Refusal::decode(details).ok()?;
        let code = refusal.code();
        if code == RefusalCode::Unspecified {
            return None;
        }
        Some(Self {
            code,
            message: refusal.message,
            problems: refusal.problems,
            generation: ConfigGeneration(refusal.generation),
        })
    }
}

impl fmt::Display for OperatorRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", snake_name(&self.code), self.message)?;
        for problem in &self.problems {
            write!(formatter, "\n  {problem}")?;
        }
        Ok(())
    }
}

impl From<ProtocolError> for OperatorRefusal {
    fn from(error: ProtocolError) -> Self {
        Self::new(RefusalCode::Invalid, error.to_string())
    }
}
