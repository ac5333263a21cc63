//! Structured logging: each record is one line of JSON, written through simplelog.

use std::fs::OpenOptions;
use std::io::{self, LineWriter, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock, Mutex, OnceLock, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter};
use serde::Serialize;
use simplelog::{Config, ConfigBuilder, WriteLogger};
use tokio::sync::broadcast;

use crate::config::LoggingSettings;
use crate::coordination::fault_limiter::FaultLimiter;
use crate::protocol::{DecisionRecord, LogRecord};
use crate::state::TimePoint;

/// Target of every log line; lines of other crates are filtered out, so that each line is JSON.
const LOG_TARGET: &str = "galenamast";

/// Size of the buffer that collects the pieces of a line, in bytes, so that it is written at once.
const LINE_BUFFER_BYTES: usize = 16 * 1_024;
/// Number of decisions that a slow subscriber may lag behind before it misses some.
const DECISION_BACKLOG: usize = 1_024;

/// Origin of the time that the fault limiter uses, set at the first fault.
static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);
/// Whether decisions are logged.
static LOG_DECISIONS: AtomicBool = AtomicBool::new(true);
/// Limits the number of log lines of repeated faults.
static FAULT_LIMITER: Mutex<FaultLimiter> = Mutex::new(FaultLimiter::new());
/// Broadcasts each decision to its subscribers.
static DECISIONS: LazyLock<broadcast::Sender<Arc<DecisionRecord>>> =
    LazyLock::new(|| broadcast::Sender::new(DECISION_BACKLOG));
/// Function that is called with each record, if one was registered.
static OBSERVER: OnceLock<RecordObserver> = OnceLock::new();

/// A function that is called with each record, whatever its level.
pub type RecordObserver = Box<dyn Fn(&LogRecord) + Send + Sync>;

/// A log line: a record with its time and level.
#[derive(Serialize)]
struct LogLine<'a> {
    /// Milliseconds since the Unix epoch.
    unix_ms: u64,
    /// Severity of the line, in lower case.
    level: &'static str,
    /// The record, whose fields are written at the top level of the line.
    #[serde(flatten)]
    record: &'a LogRecord,
}

/// Starts logging to the configured file, or to standard error if none is set.
///
/// # Errors
///
/// Returns an error if the log file cannot be opened.
pub fn start_logging(settings: &LoggingSettings) -> io::Result<()> {
    let writer: Box<dyn Write + Send> = match &settings.file {
        Some(path) => Box::new(OpenOptions::new().create(true).append(true).open(path)?),
        None => Box::new(io::stderr()),
    };
    LOG_DECISIONS.store(settings.decisions, Ordering::Relaxed);
    // A second call in one process keeps the first logger; tests rely on this.
    let writer = LineWriter::with_capacity(LINE_BUFFER_BYTES, writer);
    let _ = WriteLogger::init(settings.level, message_only_config(), writer);
    Ok(())
}

/// Disables the fields that simplelog adds, so that a line is the message alone.
fn message_only_config() -> Config {
    ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(LOG_TARGET)
        .build()
}

/// Registers a function that is called with each record; only the first registration counts.
pub fn observe_records(observer: RecordObserver) {
    let _ = OBSERVER.set(observer);
}

/// Subscribes to the routing decisions of this process from now on.
pub fn subscribe_decisions() -> broadcast::Receiver<Arc<DecisionRecord>> {
    DECISIONS.subscribe()
}

/// Logs a record as one JSON line, and passes it to the observer and the subscribers of decisions.
///
/// The observer gets records of every level, and subscribers get decisions that are not logged.
pub fn log_record(level: Level, record: &LogRecord) {
    if let Some(observer) = OBSERVER.get() {
        observer(record);
    }
    if let LogRecord::Decision(decision) = record
        && DECISIONS.receiver_count() > 0
    {
        let _ = DECISIONS.send(Arc::new(decision.clone()));
    }
    if matches!(record, LogRecord::Decision(_)) && !LOG_DECISIONS.load(Ordering::Relaxed) {
        return;
    }
    if !log::log_enabled!(target: LOG_TARGET, level) {
        return;
    }
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let unix_ms = u64::try_from(unix_ms).unwrap_or(u64::MAX);
    match format_log_line(unix_ms, level, record) {
        Ok(text) => log::log!(target: LOG_TARGET, level, "{text}"),
        Err(error) => {
            log::error!(target: LOG_TARGET, "{{\"event\":\"unloggable\",\"message\":\"{error}\"}}");
        }
    }
}

/// Returns the JSON text of a log line.
///
/// ```
/// use galenamast::logging::format_log_line;
/// use galenamast::protocol::LogRecord;
/// use log::Level;
///
/// let text = format_log_line(7, Level::Info, &LogRecord::HostStopped).unwrap();
/// assert_eq!(text, r#"{"unix_ms":7,"level":"info","event":"host_stopped"}"#);
/// ```
///
/// # Errors
///
/// Returns an error if the record holds a number that JSON cannot express.
pub fn format_log_line(
    unix_ms: u64,
    level: Level,
    record: &LogRecord,
) -> serde_json::Result<String> {
    serde_json::to_string(&LogLine {
        unix_ms,
        level: level_name(level),
        record,
    })
}

/// Logs a fault that the host recovers from by itself.
///
/// Each part of the host may log a few lines per second; the next line states how many were
/// suppressed.
pub fn log_fault(part: &str, message: &impl ToString) {
    let micros = u64::try_from(STARTED.elapsed().as_micros()).unwrap_or(u64::MAX);
    let admitted = FAULT_LIMITER
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .admit(part, TimePoint::from_micros(micros));
    let Some(suppressed) = admitted else {
        return;
    };
    let record = LogRecord::Fault {
        part: part.into(),
        message: message.to_string(),
        suppressed,
    };
    log_record(Level::Warn, &record);
}

/// Returns the lower-case name of a level.
const fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}
