//! Messages and codecs: callers, engines, the platform's services and log lines.

pub mod caller_error;
pub mod chat_messages;
pub mod decision_record;
pub mod headers;
pub mod log_explanation;
pub mod log_record;
pub mod protocol_error;

pub use caller_error::{CallerError, ErrorCode};
pub use chat_messages::{ChatAnswer, ChatRequest, ChatUsage};
pub use decision_record::DecisionRecord;
pub use log_explanation::{LogExplanation, explain_log};
pub use log_record::LogRecord;
pub use protocol_error::ProtocolError;
