//! Reading, validation and writing of traces.

use std::io::{BufRead, Write};

use serde::de::DeserializeOwned;

use crate::replay::trace_error::TraceError;
use crate::replay::trace_format::{
    EventKind, FORMAT_NAME, FORMAT_VERSION, Trace, TraceEvent, TraceHeader,
};

/// Reads a trace and validates each line.
///
/// # Errors
///
/// Returns the first error. It states the line, unless reading the input failed.
///
/// ```
/// use galenamast::replay::read_trace;
///
/// let error = read_trace("{}".as_bytes()).unwrap_err();
/// assert!(error.to_string().starts_with("line 1, column 2: missing field `format`"));
/// ```
pub fn read_trace(reader: impl BufRead) -> Result<Trace, TraceError> {
    let mut header: Option<TraceHeader> = None;
    let mut events = Vec::new();
    let mut last_ms = 0;
    for (index, text) in reader.lines().enumerate() {
        let line = index + 1;
        let text = text?;
        let Some(header) = &header else {
            let parsed: TraceHeader = parse(&text, line)?;
            check_header(&parsed)?;
            header = Some(parsed);
            continue;
        };
        let event: TraceEvent = parse(&text, line)?;
        if event.at_ms < last_ms {
            return Err(invalid(
                line,
                "at_ms",
                "must not be earlier than the line before",
            ));
        }
        last_ms = event.at_ms;
        check_event(&event, header, line)?;
        events.push(event);
    }
    let header = header.ok_or_else(|| invalid(1, "format", "the header is missing"))?;
    Ok(Trace { header, events })
}

/// Writes a trace as one JSON value per line, the header first.
///
/// # Errors
///
/// Returns an error if the writer fails.
pub fn write_trace(trace: &Trace, mut writer: impl Write) -> Result<(), TraceError> {
    write_line(&trace.header, &mut writer)?;
    for event in &trace.events {
        write_line(event, &mut writer)?;
    }
    writer.flush()?;
    Ok(())
}

fn write_line(value: &impl serde::Serialize, writer: &mut impl Write) -> Result<(), TraceError> {
    let text = serde_json::to_string(value).map_err(std::io::Error::from)?;
    writeln!(writer, "{text}")?;
    Ok(())
}

fn parse<T: DeserializeOwned>(text: &str, line: usize) -> Result<T, TraceError> {
    serde_json::from_str(text).map_err(|error| TraceError::Malformed {
        line,
        column: error.column(),
        reason: error.to_string(),
    })
}

fn invalid(line: usize, field: &'static str, reason: &str) -> TraceError {
    TraceError::Invalid {
        line,
        field,
        reason: reason.into(),
    }
}

fn check_header(header: &TraceHeader) -> Result<(), TraceError> {
    if header.format != FORMAT_NAME {
        return Err(invalid(1, "format", "must be `galenamast-trace`"));
    }
    if header.version != FORMAT_VERSION {
        return Err(invalid(1, "version", "must be 1, the only version known"));
    }
    if header.hosts.is_empty() {
        return Err(invalid(1, "hosts", "must name at least one entry host"));
    }
    if header.window_ms == 0 {
        return Err(invalid(1, "window_ms", "must be above 0"));
    }
    if header.digest_period_ms == 0 {
        return Err(invalid(1, "digest_period_ms", "must be above 0"));
    }
    if header.servers.iter().any(|server| server.slots == 0) {
        return Err(invalid(1, "servers", "each must have at least one slot"));
    }
    Ok(())
}

/// Checks an event on its own and against the header.
fn check_event(event: &TraceEvent, header: &TraceHeader, line: usize) -> Result<(), TraceError> {
    match &event.kind {
        EventKind::Request(request) => {
            if request.host >= header.hosts.len() {
                return Err(invalid(
                    line,
                    "host",
                    "is not the index of a host in the header",
                ));
            }
            let mut answers = request.answers.values();
            let in_range = |value: f64| (0.0..=1.0).contains(&value);
            if answers.any(|answer| !in_range(answer.quality) || !in_range(answer.rating)) {
                return Err(invalid(
                    line,
                    "answers",
                    "quality and rating must be 0 to 1",
                ));
            }
        }
        EventKind::RolloutStep { rollout, .. } => {
            if !header.image.rollouts.contains_key(rollout) {
                return Err(invalid(
                    line,
                    "rollout",
                    "is not in the header's configuration",
                ));
            }
        }
        EventKind::Fault(_) => {}
    }
    Ok(())
}
