//! Messages between callers, entry hosts, backend servers and the platform's store, and log
//! records.

mod datagram_error;
mod event_reader;
mod event_splitter;
mod event_stream;
mod forwarded_headers;
mod gateway_record;
mod peer_message;
mod platform_format;
mod relay_headers;
mod stored_object;

pub use datagram_error::DatagramError;
pub use event_reader::read_event_form;
pub use event_splitter::{EventSplitter, SplitError, StreamEvent};
pub use event_stream::is_event_stream;
pub use forwarded_headers::{has_ambiguous_length, strip_connection_headers};
pub use gateway_record::{DecisionInputs, GatewayRecord};
pub use peer_message::{PeerMessage, WIRE_VERSION};
pub use platform_format::{AnswerHead, FormatError, PlatformFormat};
pub use relay_headers::{
    RELAY_UNSERVED, RELAYED_BY, RELAYED_REQUEST, has_relay_arrivals, mark_unserved,
    take_relay_attempts, take_relay_configuration, write_relay_attempts, write_relay_configuration,
};
pub use stored_object::{
    ObjectChange, ObjectChanges, ObjectKind, ObjectPage, ObjectQuery, StoredObject,
};
