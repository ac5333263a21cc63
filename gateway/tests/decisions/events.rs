//! Event streams that arrive in chunks of any size.

use galenamast_gateway::coordination::requests::{EventOrder, EventVerdict};
use galenamast_gateway::protocol::{EventSplitter, SplitError};
use galenamast_gateway::state::EventForm;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        texts in prop::collection::vec("[a-z ]{0,20}", 1..12),
        chunk_sizes in prop::collection::vec(1usize..9, 1..200),
        has_carriage_returns in any::<bool>(),
    ) {
        let end = if has_carriage_returns { "\r\n" } else { "\n" };
        let mut stream = String::new();
        for (number, text) in texts.iter().enumerate() {
            stream.push_str(&format!("id: {number}{end}data: {text}{end}{end}"));
        }
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        let (mut rest, mut chunk_sizes) = (stream.as_bytes(), chunk_sizes.into_iter().cycle());
        while !rest.is_empty() {
            let size = chunk_sizes.next().unwrap_or(1).min(rest.len());
            events.extend(splitter.push(&rest[..size]).expect("the events are short"));
            rest = &rest[size..];
        }
        let forms: Vec<_> = events.iter().map(|event| event.form).collect();
        let numbers = (0..texts.len() as u64).map(Some);
        let expected: Vec<_> = numbers.map(|id| EventForm::Event { id, has_data: true }).collect();
        prop_assert_eq!(forms, expected);
        let joined: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(joined, stream.into_bytes());
        prop_assert!(!splitter.has_partial());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..32)) {
        let mut splitter = EventSplitter::default();
        for piece in pieces {
            let _ = splitter.push(&piece);
        }
    }
}

/// Greatest number of bytes that a splitter may allocate: an event of the greatest size and the read that
/// completes it, in a buffer that has doubled.
const MAX_HELD: usize = 2 * (1_024 * 1_024 + 64 * 1_024);

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: prop::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]
    #[test]
    fn held_bytes_are_bounded_whatever_arrives(
        pieces in prop::collection::vec(
            (prop::sample::select(vec!["\n", "\r\n", ":\n\n", "x", "data: x\n", "id: 1\ndata: x\n\n", "\r", "\u{0}"]), 1usize..40_000),
            1..40,
        ),
    ) {
        let mut splitter = EventSplitter::default();
        for (piece, count) in pieces {
            let bytes = piece.repeat(count);
            for part in bytes.as_bytes().chunks(16 * 1_024) {
                let pushed = splitter.push(part);
                prop_assert!(splitter.held_bytes() <= MAX_HELD, "{} bytes", splitter.held_bytes());
                let Ok(events) = pushed else {
                    return Ok(());
                };
                let bytes: usize = events.iter().map(|event| event.bytes.len()).sum();
                // Each event has a line of its own, so entries are no more than a third of the bytes.
                prop_assert!(events.len() * 3 <= bytes);
            }
        }
    }
}

// Blank lines became events, each with an entry many times its size.
#[test]
fn blank_lines_are_no_events_and_bounded() {
    let mut splitter = EventSplitter::default();
    let mut pushed = Ok(Vec::new());
    for _ in 0..32 {
        pushed = splitter.push(&[b'\n'; 4_096]);
        assert!(pushed.as_ref().is_ok_and(Vec::is_empty) || pushed.is_err());
    }
    assert_eq!(pushed, Err(SplitError::TooBlank));
}

#[test]
fn blank_lines_before_and_after_an_event_are_kept() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"\n\r\nid: 1\ndata: a\n\n\n").expect("short");
    assert_eq!(&events[0].bytes[..], b"\n\r\nid: 1\ndata: a\n\n");
    assert!(!splitter.has_partial());
    assert_eq!(&splitter.take_rest()[..], b"\n");
}

#[test]
fn oversized_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    let piece = [b'x'; 4_096];
    let refused = (0..1_000).any(|_| splitter.push(&piece).is_err());
    assert!(refused);
}

// Each frame of an endless line was searched from the line's beginning.
#[test]
fn long_line_is_searched_once() {
    let mut splitter = EventSplitter::default();
    let started = std::time::Instant::now();
    for _ in 0..100_000 {
        assert!(splitter.push(b"xxxxxxxx").is_ok());
    }
    // Searching from the beginning takes 40 GB of reading.
    assert!(started.elapsed() < std::time::Duration::from_secs(5));
    let events = splitter.push(b"\n\n").expect("the event is short enough");
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].bytes.len(), 800_002);
}

/// Returns the events of a stream after one, with the given end of lines.
fn stream_after(last: u64, end: &str) -> Vec<u8> {
    let event = |id| format!("id: {id}{end}data: piece {id}{end}{end}");
    (last + 1..=5).map(event).collect::<String>().into_bytes()
}

/// Passes a response on as far as its events are in order; returns whether it holds the stream.
fn relay(order: &mut EventOrder, response: &[u8], passed_on: &mut Vec<u8>) -> bool {
    let mut splitter = EventSplitter::default();
    let mut held = Vec::new();
    for event in splitter.push(response).expect("the events are short") {
        match order.judge(event.form) {
            EventVerdict::Deliver => {
                passed_on.append(&mut held);
                passed_on.extend_from_slice(&event.bytes);
            }
            EventVerdict::Hold => held.extend_from_slice(&event.bytes),
            EventVerdict::Skip => {}
            EventVerdict::Reject => return false,
        }
    }
    passed_on.append(&mut held);
    !splitter.has_partial()
}

/// Returns the data of the events that a reader dispatches.
fn dispatched(bytes: &[u8]) -> Vec<Vec<u8>> {
    let (mut pieces, mut data) = (Vec::new(), Vec::new());
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = line.strip_prefix(b"data:") {
            data.extend_from_slice(value);
        } else if line.is_empty() && !data.is_empty() {
            pieces.push(std::mem::take(&mut data));
        }
    }
    pieces
}

// An event of which a server spoilt a byte was passed on, and came again from the server that went on.
#[test]
fn stream_with_one_spoilt_byte_has_each_piece_once() {
    for end in ["\n", "\r\n"] {
        let (sound, whole) = (stream_after(0, end), dispatched(&stream_after(0, end)));
        for at in 0..sound.len() {
            for byte in 0..=u8::MAX {
                let mut response = sound.clone();
                response[at] = byte;
                let (mut order, mut passed_on) = (EventOrder::new(None, true), Vec::new());
                let mut is_whole = relay(&mut order, &response, &mut passed_on);
                if !is_whole && order.is_position_known() {
                    order.begin_response();
                    let rest = stream_after(order.last_id().unwrap_or(0), end);
                    is_whole = relay(&mut order, &rest, &mut passed_on);
                    assert!(is_whole, "byte {at} is {byte}");
                }
                let pieces = dispatched(&passed_on);
                let text = String::from_utf8_lossy(&passed_on);
                let count = if is_whole { whole.len() } else { pieces.len() };
                assert_eq!(pieces.len(), count, "byte {at} is {byte}: {text}");
                // A byte of a piece's data shows in nothing else.
                let others = pieces
                    .iter()
                    .zip(&whole)
                    .filter(|(piece, own)| piece != own);
                assert!(others.count() <= 1, "byte {at} is {byte}: {text}");
            }
        }
    }
}

// A spoilt first identifier was taken for the position of the stream.
#[test]
fn position_is_not_known_from_a_first_identifier_alone() {
    let event = |id| EventForm::Event {
        id: Some(id),
        has_data: true,
    };
    let mut order = EventOrder::new(None, true);
    assert_eq!(order.judge(event(4)), EventVerdict::Deliver);
    assert_eq!(order.judge(event(2)), EventVerdict::Reject);
    assert!(!order.is_position_known());
    let mut order = EventOrder::new(None, true);
    assert_eq!(order.judge(event(4)), EventVerdict::Deliver);
    assert_eq!(order.judge(event(5)), EventVerdict::Deliver);
    assert!(order.is_position_known());
}

#[test]
fn events_without_identifiers_are_passed_on_only_in_streams_that_have_none() {
    let unnumbered = EventForm::Event {
        id: None,
        has_data: true,
    };
    let numbered = EventForm::Event {
        id: Some(1),
        has_data: true,
    };
    let verdicts = |is_resumable, forms: [EventForm; 2]| {
        let mut order = EventOrder::new(None, is_resumable);
        forms.map(|form| order.judge(form))
    };
    use EventVerdict::{Deliver, Reject};
    assert_eq!(
        verdicts(false, [unnumbered, unnumbered]),
        [Deliver, Deliver]
    );
    assert_eq!(verdicts(false, [unnumbered, numbered]), [Deliver, Reject]);
    assert_eq!(verdicts(false, [numbered, unnumbered]), [Deliver, Reject]);
    assert_eq!(verdicts(true, [unnumbered, unnumbered])[0], Reject);
}

// Guards against holding the events of an endless stream without data.
#[test]
fn at_most_one_event_is_held() {
    let empty = |id| EventForm::Event {
        id: Some(id),
        has_data: false,
    };
    let mut order = EventOrder::new(None, true);
    assert_eq!(order.judge(empty(1)), EventVerdict::Hold);
    assert_eq!(order.judge(empty(2)), EventVerdict::Reject);
}
