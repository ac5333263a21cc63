//! JSON-lines logging through simplelog.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::time::{SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter};
use serde::Serialize;
use simplelog::{Config, ConfigBuilder, WriteLogger};

use crate::config::LoggingSettings;
use crate::protocol::LogRecord;

/// Target of every log line; other crates' lines are filtered out, so that each line is JSON.
const LOG_TARGET: &str = "galenamast";

/// A log line: the record with its time and level.
#[derive(Serialize)]
struct LogLine<'a> {
    /// Milliseconds since the Unix epoch.
    unix_ms: u64,
    /// Importance of the line.
    level: &'static str,
    /// The record.
    #[serde(flatten)]
    record: &'a LogRecord,
}

/// Starts logging to the place that the settings name.
///
/// # Errors
///
/// Returns an error if the log file cannot be opened.
pub fn start_logging(settings: &LoggingSettings) -> io::Result<()> {
    let writer: Box<dyn Write + Send> = match &settings.file {
        Some(path) => Box::new(OpenOptions::new().create(true).append(true).open(path)?),
        None => Box::new(io::stderr()),
    };
    // A second start in one process keeps the first logger, which tests rely on.
    let _ = WriteLogger::init(settings.level, undecorated_config(), writer);
    Ok(())
}

/// Switches simplelog's own decoration off, so that a line is the message alone.
fn undecorated_config() -> Config {
    ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(LOG_TARGET)
        .build()
}

/// Writes a record as one JSON line.
pub fn log_record(level: Level, record: &LogRecord) {
    if !log::log_enabled!(target: LOG_TARGET, level) {
        return;
    }
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let unix_ms = u64::try_from(unix_ms).unwrap_or(u64::MAX);
    let line = LogLine {
        unix_ms,
        level: level_name(level),
        record,
    };
    match serde_json::to_string(&line) {
        Ok(text) => log::log!(target: LOG_TARGET, level, "{text}"),
        Err(error) => {
            log::error!(target: LOG_TARGET, "{{\"event\":\"unloggable\",\"message\":\"{error}\"}}");
        }
    }
}

/// Writes a fault that the host recovers from by itself.
pub fn log_fault(part: &str, message: &impl ToString) {
    let record = LogRecord::Fault {
        part: part.into(),
        message: message.to_string(),
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
