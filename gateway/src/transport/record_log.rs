//! Structured JSON log lines, written by a separate thread so that logging never blocks a request.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{Level, LevelFilter};
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};

use crate::protocol::GatewayRecord;

/// Target of every log line. Lines of other crates are filtered out, so that every line is JSON.
const LOG_TARGET: &str = "galenamast_gateway";
/// Largest number of lines queued for a slow output; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;
/// Largest number of lines written per second; further lines are dropped and counted.
const MAX_LINES_PER_SECOND: u64 = 400;

/// Longest time between two checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Lines queued for the writer thread and not written yet.
static QUEUED: AtomicU64 = AtomicU64::new(0);
/// Lines dropped since the last record that reported dropped lines.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Second since the Unix epoch that `WRITTEN` counts lines of.
static SECOND: AtomicU64 = AtomicU64::new(0);
/// Lines written within `SECOND`.
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// A log line: a record with its time and level.
#[derive(Serialize)]
struct LogLine<'a> {
    unix_ms: u64,
    level: &'static str,
    #[serde(flatten)]
    record: &'a GatewayRecord,
}

/// The process-wide log of records.
#[derive(Debug)]
pub struct RecordLog;

impl RecordLog {
    /// Starts a thread that writes log lines to `output`, and installs the logger.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(mut output: impl Write + Send + 'static) -> io::Result<()> {
        let (sender, receiver) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || {
                for line in receiver {
                    // A failure to write the log has nowhere to be reported.
                    let _ = output.write_all(&line).and_then(|()| output.flush());
                    QUEUED.fetch_sub(1, Ordering::SeqCst);
                }
            })?;
        let config = ConfigBuilder::new()
            .set_time_level(LevelFilter::Off)
            .set_max_level(LevelFilter::Off)
            .set_target_level(LevelFilter::Off)
            .set_thread_level(LevelFilter::Off)
            .set_location_level(LevelFilter::Off)
            .add_filter_allow_str(LOG_TARGET)
            .build();
        let writer = QueueWriter {
            sender,
            line: Vec::new(),
        };
        // Tests rely on a second start keeping the first logger.
        let _ = WriteLogger::init(LevelFilter::Info, config, writer);
        Ok(())
    }

    /// Waits until all queued lines are written, at most for `timeout`. The output may accept nothing
    /// any more.
    pub fn flush(timeout: Duration) {
        let started_at = Instant::now();
        while QUEUED.load(Ordering::SeqCst) > 0 && started_at.elapsed() < timeout {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Collects the bytes of a line and queues it for the writer thread.
struct QueueWriter {
    sender: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            // Counted first, as the writer thread may be faster.
            QUEUED.fetch_add(1, Ordering::SeqCst);
            if let Err(error) = self.sender.try_send(line) {
                QUEUED.fetch_sub(1, Ordering::SeqCst);
                if matches!(error, TrySendError::Full(_)) {
                    DROPPED.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs a record as one JSON line, unless the limit of lines for this second is reached.
pub fn log_record(level: Level, record: &GatewayRecord) {
    if !log::log_enabled!(target: LOG_TARGET, level) {
        return;
    }
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let unix_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    if !admit_line(since.as_secs()) {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let count = DROPPED.swap(0, Ordering::Relaxed);
    if count > 0 {
        write_line(unix_ms, Level::Warn, &GatewayRecord::LinesDropped { count });
    }
    write_line(unix_ms, level, record);
}

/// Counts a line; returns whether it is within the limit for this second.
fn admit_line(second: u64) -> bool {
    if SECOND.swap(second, Ordering::Relaxed) != second {
        WRITTEN.store(0, Ordering::Relaxed);
    }
    WRITTEN.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
}

/// Writes a record as one JSON line.
fn write_line(unix_ms: u64, level: Level, record: &GatewayRecord) {
    let name = match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    };
    let line = LogLine {
        unix_ms,
        level: name,
        record,
    };
    if let Ok(text) = serde_json::to_string(&line) {
        log::log!(target: LOG_TARGET, level, "{text}");
    }
}
