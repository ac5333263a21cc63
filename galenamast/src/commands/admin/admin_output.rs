//! Output of the command `admin` as tables or JSON.

use std::io::{self, Write};

use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;

/// Format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutputFormat {
    /// Aligned text for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Writes results in the selected format.
pub struct AdminOutput<'a> {
    writer: &'a mut dyn Write,
    format: OutputFormat,
}

impl<'a> AdminOutput<'a> {
    /// Creates an output in the format selected by the arguments.
    pub fn new(matches: &ArgMatches, writer: &'a mut dyn Write) -> Self {
        let json = matches
            .get_one::<String>("output")
            .is_some_and(|format| format == "json");
        let format = match json {
            true => OutputFormat::Json,
            false => OutputFormat::Table,
        };
        Self { writer, format }
    }

    /// Writes a message: its fields, or indented JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be written.
    pub fn show(&mut self, message: &impl Serialize) -> io::Result<()> {
        let value = serde_json::to_value(message)?;
        match self.format {
            OutputFormat::Json => writeln!(self.writer, "{value:#}"),
            OutputFormat::Table => write_fields(self.writer, &value, 0),
        }
    }

    /// Writes one message of a stream: a line of JSON, or the given text.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be written.
    pub fn show_line(&mut self, message: &impl Serialize, text: &str) -> io::Result<()> {
        match self.format {
            OutputFormat::Json => writeln!(self.writer, "{}", serde_json::to_value(message)?),
            OutputFormat::Table => writeln!(self.writer, "{text}"),
        }
    }
}

/// Writes the fields of an object, one per line, and lists of objects as tables.
fn write_fields(writer: &mut dyn Write, value: &Value, indent: usize) -> io::Result<()> {
    let Value::Object(fields) = value else {
        return writeln!(writer, "{:indent$}{}", "", format_cell(value));
    };
    for (name, field) in fields {
        match field {
            Value::Object(_) => {
                writeln!(writer, "{:indent$}{name}:", "")?;
                write_fields(writer, field, indent + 2)?;
            }
            Value::Array(rows) if rows.iter().any(Value::is_object) => {
                writeln!(writer, "{:indent$}{name}:", "")?;
                write_rows(writer, rows, indent + 2)?;
            }
            _ => writeln!(writer, "{:indent$}{name}: {}", "", format_cell(field))?,
        }
    }
    Ok(())
}

/// Writes objects as a table, or one after the other if they contain objects themselves.
fn write_rows(writer: &mut dyn Write, rows: &[Value], indent: usize) -> io::Result<()> {
    let flat = |row: &Value| {
        let fields = row.as_object();
        fields.is_some_and(|fields| !fields.values().any(is_nested))
    };
    if !rows.iter().all(flat) {
        for row in rows {
            writeln!(writer, "{:indent$}-", "")?;
            write_fields(writer, row, indent + 2)?;
        }
        return Ok(());
    }
    let Some(columns) = rows.first().and_then(Value::as_object) else {
        return Ok(());
    };
    let names: Vec<&String> = columns.keys().collect();
    let cells = |row: &Value| -> Vec<String> {
        let column_cell = |name: &&String| format_cell(&row[name.as_str()]);
        names.iter().map(column_cell).collect()
    };
    let mut table = vec![names.iter().map(ToString::to_string).collect()];
    table.extend(rows.iter().map(cells));
    let width = |column: usize| {
        let cell_width = |row: &Vec<String>| row[column].chars().count();
        table.iter().map(cell_width).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..names.len()).map(width).collect();
    for row in &table {
        let padded = row.iter().zip(&widths);
        let padded = padded.map(|(cell, width)| format!("{cell:<width$}"));
        let line = padded.collect::<Vec<_>>().join("  ");
        writeln!(writer, "{:indent$}{}", "", line.trim_end())?;
    }
    Ok(())
}

/// Returns whether a value contains an object that is not empty, so that it does not fit in a cell.
fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => items.iter().any(is_nested),
        _ => false,
    }
}

/// Formats a value for one cell; `-` if it is empty.
fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) if text.is_empty() => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".into(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(", "),
        Value::Object(fields) if fields.is_empty() => "-".into(),
        other => other.to_string(),
    }
}
