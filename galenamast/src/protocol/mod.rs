//! Messages and codecs of callers, model engines, operators, other entry hosts and the log.

pub mod caller_error;
pub mod chat_messages;
pub mod chat_stream;
pub mod chat_text;
pub mod decision_record;
pub mod headers;
pub mod log_explanation;
pub mod log_record;
pub mod operator_changes;
pub mod operator_json;
pub mod operator_objects;
pub mod operator_refusal;
pub mod operator_rollout;
pub mod operator_tokens;
pub mod peer_envelope;
pub mod peer_request;
pub mod protocol_error;
pub mod soft_state;
pub mod sse_reader;

pub use caller_error::{CallerError, ErrorCode};
pub use chat_messages::{ChatAnswer, ChatRequest, ChatUsage};
pub use chat_stream::{ChatEvent, END_MARKER, encode_event};
pub use chat_text::ChatText;
pub use decision_record::DecisionRecord;
pub use log_explanation::{LogExplanation, explain_log};
pub use log_record::{ChangeRecord, HostStatistics, LogRecord};
pub use peer_envelope::{PeerMessage, decode_frame, encode_frame};
pub use peer_request::{PeerReply, PeerRequest};
pub use protocol_error::ProtocolError;
pub use soft_state::SoftState;
pub use sse_reader::SseReader;
