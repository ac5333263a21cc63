//! Reads the blocks of lines that make up a stream of server-sent events.

use crate::state::EventForm;

/// Reads the form of a block of lines.
///
/// ```
/// use galenamast_gateway::protocol::read_event_form;
/// use galenamast_gateway::state::EventForm;
///
/// let event = EventForm::Event { id: Some(1), has_data: true };
/// assert_eq!(read_event_form(b"id: 1\ndata: a\n\n"), event);
/// assert_eq!(read_event_form(b": keep-alive\n\n"), EventForm::Comment);
/// assert_eq!(read_event_form(b"an error\n\n"), EventForm::Malformed);
/// ```
pub fn read_event_form(block: &[u8]) -> EventForm {
    read_lines(block).unwrap_or(EventForm::Malformed)
}

/// Reads the form of a block of lines; `None` if it is malformed.
fn read_lines(block: &[u8]) -> Option<EventForm> {
    let lines = block.strip_suffix(b"\n").unwrap_or(block);
    let mut lines = lines
        .split(|byte| *byte == b'\n')
        .skip_while(|line| matches!(*line, b"" | b"\r"))
        .peekable();
    let Some(first) = lines.peek() else {
        return Some(EventForm::Comment);
    };
    let has_return = first.ends_with(b"\r");
    let (mut id, mut fields) = (None, 0);
    let (mut is_event, mut has_data, mut is_extended) = (false, false, false);
    for line in lines {
        if line.ends_with(b"\r") != has_return {
            return None;
        }
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() || (line.starts_with(b":") && !is_event) {
            continue;
        }
        fields += 1;
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        match name {
            b"id" if id.is_none() => id = Some(number(value.strip_prefix(b":")?)?),
            b"id" => return None,
            b"data" => has_data = true,
            b"event" => {}
            b"retry" => continue,
            _ if fields == 1 && colon.is_some() && is_token(name) => {
                is_extended = true;
                continue;
            }
            _ => return None,
        }
        is_event = true;
    }
    match (is_event, is_extended) {
        (true, _) => Some(EventForm::Event { id, has_data }),
        (false, true) => None,
        (false, false) => Some(EventForm::Comment),
    }
}

/// Returns whether a name is made of letters, digits, hyphens and underscores.
fn is_token(name: &[u8]) -> bool {
    let is_allowed = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    !name.is_empty() && name.iter().all(is_allowed)
}

/// Parses an identifier, which consists of digits.
fn number(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok())?
}
