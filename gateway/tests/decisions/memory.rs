//! Callers that read slowly before servers that send at once, and responses without end, in virtual time.

use galenamast::coordination::{AllowanceSettings, ReadAllowance};
use galenamast_gateway::coordination::memory::{
    HeldBytes, MemoryLimits, MemoryUse, ReadAheadSettings, may_hold, may_read_on,
};
use proptest::prelude::*;

/// Memory for bodies of a host with 88 MB.
const MEMORY: usize = 22_000_000;
/// Length of each response in bytes.
const RESPONSE: usize = 120_000;
/// Bytes that one read of the response gives.
const READ: usize = 16_000;
/// Bytes that a caller takes in each step of 100 ms.
const CALLER_STEP: usize = 2_000;
/// Bytes of a response that are held at a time.
const BLOCK: usize = 16 * 1_024;
/// Size of a usual response in bytes.
const USUAL: usize = 40_000;
/// Greatest number of bytes that are held for one stream.
const MAX_STREAM: usize = 256 * 1_024;

/// A response on its way from the server to a slow caller.
#[derive(Clone, Copy, Debug)]
struct SlowStream {
    unread: usize,
    held: usize,
}

/// What a replay showed.
#[derive(Debug, Default)]
struct Replay {
    // Steps for which a server had to wait with a part of its response.
    longest_wait: usize,
    most_held: usize,
    steps: usize,
}

/// Replays responses to a number of slow callers until all are delivered.
fn replay(streams: usize, settings: &ReadAheadSettings) -> Replay {
    let stream = SlowStream {
        unread: RESPONSE,
        held: 0,
    };
    let mut streams = vec![stream; streams];
    let mut replay = Replay::default();
    let mut all = 0;
    while streams.iter().any(|stream| stream.unread + stream.held > 0) {
        replay.steps += 1;
        for stream in &mut streams {
            let taken = stream.held.min(CALLER_STEP);
            stream.held -= taken;
            all -= taken;
            while stream.unread > 0 {
                let held = HeldBytes {
                    stream: stream.held,
                    all_streams: all,
                    all_bodies: all,
                };
                if !may_read_on(held, MEMORY, settings) {
                    replay.longest_wait = replay.steps;
                    break;
                }
                let read = stream.unread.min(READ);
                (stream.unread, stream.held) = (stream.unread - read, stream.held + read);
                all += read;
                assert!(stream.held <= MAX_STREAM);
            }
        }
        replay.most_held = replay.most_held.max(all);
    }
    replay
}

// Servers cut off responses that remained unread for some seconds.
#[test]
fn servers_of_slow_callers_do_not_wait_while_there_is_memory() {
    let read_ahead = replay(80, &ReadAheadSettings::default());
    assert_eq!(read_ahead.longest_wait, 0, "{read_ahead:?}");
    let without = ReadAheadSettings {
        max_stream_bytes: 0,
        ..ReadAheadSettings::default()
    };
    let without = replay(80, &without);
    assert!(without.longest_wait > 30, "{without:?}");
}

#[test]
fn many_slow_callers_hold_a_bounded_part_of_the_memory_and_all_are_served() {
    let replay = replay(600, &ReadAheadSettings::default());
    // A stream without unread events is read on whatever the others hold.
    assert!(replay.most_held <= MEMORY / 2 + 600 * READ, "{replay:?}");
    assert!(replay.most_held > MEMORY / 4, "{replay:?}");
    let shortest = RESPONSE / CALLER_STEP;
    assert!(replay.steps <= shortest + 2, "{replay:?}");
}

#[test]
fn stream_without_unread_events_is_read_whatever_is_held() {
    let settings = ReadAheadSettings::default();
    let full = HeldBytes {
        stream: 0,
        all_streams: usize::MAX,
        all_bodies: usize::MAX,
    };
    assert!(may_read_on(full, 0, &settings));
    assert!(!may_read_on(
        HeldBytes { stream: 1, ..full },
        usize::MAX,
        &settings
    ));
    let long = HeldBytes {
        stream: usize::MAX,
        ..HeldBytes::default()
    };
    assert!(!may_read_on(long, usize::MAX, &settings));
}

/// A response on its way into the memory of a host.
#[derive(Clone, Copy, Debug, Default)]
struct IncomingBody {
    own: usize,
    size: Option<usize>,
    waited: usize,
}

/// Replays sound responses beside ones without end, a block of each in turn; returns the most that was held
/// and the most steps that a response of usual size had to wait.
fn replay_bodies(endless: usize, limits: &MemoryLimits) -> (usize, usize) {
    let mut bodies = vec![IncomingBody::default(); endless];
    let (mut most, mut all, mut waited) = (0, 0, 0);
    for step in 0..400 {
        let size = if step % 10 == 0 { 300_000 } else { USUAL };
        bodies.push(IncomingBody {
            size: Some(size),
            ..IncomingBody::default()
        });
        for body in &mut bodies {
            let block = body.size.map_or(BLOCK, |size| (size - body.own).min(BLOCK));
            let held = MemoryUse { all, own: body.own };
            if !may_hold(held, block, limits) {
                body.waited += 1;
                continue;
            }
            (body.own, all) = (body.own + block, all + block);
        }
        most = most.max(all);
        let usual = bodies.iter().filter(|body| body.size == Some(USUAL));
        waited = usual.map(|body| body.waited).fold(waited, usize::max);
        for body in &mut bodies {
            let bound = body.size.unwrap_or(limits.total / 2);
            if body.own >= bound {
                all -= body.own;
                // A server that answers without end is asked again.
                body.own = 0;
            }
        }
        bodies.retain(|body| body.size.is_none() || body.own > 0 || body.waited > 0);
    }
    (most, waited)
}

// Guards against sound responses that wait, or a memory that overflows, because of responses without end.
#[test]
fn usual_responses_do_not_wait_behind_responses_without_end() {
    let limits = MemoryLimits::new(MEMORY);
    let (most, waited) = replay_bodies(80, &limits);
    assert!(most <= limits.total + limits.reserve, "{most}");
    assert_eq!(waited, 0);
    let without = MemoryLimits {
        reserve: 0,
        ..limits
    };
    let (_, waited) = replay_bodies(80, &without);
    assert!(waited > 100, "{waited}");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]
    #[test]
    fn bytes_without_data_stay_under_their_bound(
        steps in prop::collection::vec((0u64..20_000, 0u64..2_000), 1..200),
    ) {
        let settings = AllowanceSettings::default();
        let mut allowance = ReadAllowance::new(settings);
        let (mut arrived, mut data) = (0, 0);
        for (bytes, useful) in steps {
            if allowance.is_spent() {
                break;
            }
            // A read returns at most what a buffer holds.
            allowance.spend(bytes);
            allowance.earn(useful);
            (arrived, data) = (arrived + bytes, data + useful);
        }
        let bound = settings.max_idle_bytes + data * settings.framing_factor + 20_000;
        prop_assert!(arrived <= bound, "{arrived} bytes for {data} of data");
    }
}
