//! Names of the HTTP headers that callers and backend servers exchange with an entry host.

/// Identifier of the request, set by the entry host on every answer and every attempt.
pub const REQUEST_ID: &str = "x-request-id";
/// Key that makes a non-idempotent request run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Session token that binds a request to a version.
pub const SESSION_TOKEN: &str = "x-session-token";
/// Task that the request asks for.
pub const TASK: &str = "x-task";
/// Time that the caller waits for the complete answer, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// Priority of the request under overload: `low`, `normal` or `high`.
pub const PRIORITY: &str = "x-priority";
/// Model that answered.
pub const MODEL: &str = "x-model";
/// Version that answered.
pub const VERSION: &str = "x-version";
/// Index of the first event that a resumed stream sends.
pub const RESUME_FROM: &str = "x-resume-from";
/// Set by a backend server that refuses a request before starting it.
pub const NOT_STARTED: &str = "x-not-started";
/// Set to `true` by a caller whose request must not be run twice.
pub const NON_IDEMPOTENT: &str = "x-non-idempotent";
