//! Event streams that arrive in chunks of any size.

use galenamast_gateway::protocol::EventSplitter;
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
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        let expected: Vec<_> = (0..texts.len() as u64).map(Some).collect();
        prop_assert_eq!(ids, expected);
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
