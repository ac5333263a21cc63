//! Crowds of callers outside the limits, before a host with little memory and few descriptors: the process
//! lives, stays within both, and answers an ordinary request.

mod crowd_callers;
mod crowd_shape;
mod crowd_site;
#[path = "../common/front_process.rs"]
mod front_process;
mod process_use;

use std::sync::Mutex;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::crowd_callers::CrowdCallers;
use crate::crowd_shape::{CrowdShape, head};
use crate::crowd_site::CrowdSite;
use crate::front_process::ProcessLimits;

/// Memory of the host in MB.
const MEMORY_MB: usize = 48;
/// Number of descriptors of the host.
const DESCRIPTORS: usize = 2_400;
/// Number of descriptors of a host that has fewer connections than there are callers.
const FEW_DESCRIPTORS: usize = 700;
/// Size of a body that the configuration allows at most, and number of pieces in which it arrives slowly.
const LARGE_BODY_BYTES: usize = 4 * 1_024 * 1_024;
const SLOW_PIECES: usize = 32;
/// Number of callers in a crowd.
const CALLERS: usize = 1_000;

/// Held by the test that runs, as each uses much of the machine.
static TURN: Mutex<()> = Mutex::new(());

/// Plays a crowd in which the callers take the shapes in turn.
fn play(shapes: &'static [CrowdShape], descriptors: usize) {
    let _turn = TURN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let limits = ProcessLimits {
        memory_mb: MEMORY_MB,
        descriptors,
    };
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let site = CrowdSite::start(limits).await;
        let crowd = CrowdCallers::start(site.host.callers, CALLERS, shapes);
        let used = crowd.watch(&site.host).await;
        site.ask("during the crowd").await;
        drop(crowd);
        site.ask("after the crowd").await;
        println!("{shapes:?}: {used:?}");
        let memory = MEMORY_MB * 1_000_000;
        assert!(site.host.peak_bytes() <= memory, "{shapes:?}: {used:?}");
        assert!(used.memory_bytes <= memory, "{shapes:?}: {used:?}");
        assert!(used.descriptors <= descriptors, "{shapes:?}: {used:?}");
    });
}

// Hosts ran out of memory by bodies that were never completed.
#[test]
fn chunks_that_lack_their_last_byte() {
    play(&[CrowdShape::ChunkShort], DESCRIPTORS);
}

#[test]
fn bodies_with_a_length_that_lack_their_last_byte() {
    play(&[CrowdShape::LengthShort], DESCRIPTORS);
}

#[test]
fn chunked_bodies_without_their_last_chunk() {
    play(&[CrowdShape::ChunkOpen], DESCRIPTORS);
}

#[test]
fn large_chunks_that_lack_their_last_byte() {
    play(&[CrowdShape::LargeChunkShort], DESCRIPTORS);
}

// The kernel held far more than the host, as bodies in chunks of one byte are read slowly.
#[test]
fn chunks_of_one_byte() {
    play(&[CrowdShape::TinyChunks], DESCRIPTORS);
}

// Requests with bytes behind them, and the connections to their servers, exceeded memory and descriptors.
#[test]
fn requests_with_bytes_behind_them() {
    play(&[CrowdShape::Pipelined], DESCRIPTORS);
}

#[test]
fn bodies_of_refused_requests_without_end() {
    play(&[CrowdShape::RefusedBody], DESCRIPTORS);
}

#[test]
fn heads_without_their_end() {
    play(&[CrowdShape::OpenHead], DESCRIPTORS);
}

#[test]
fn connections_without_a_byte() {
    play(&[CrowdShape::Silent], DESCRIPTORS);
}

#[test]
fn responses_that_are_not_read() {
    play(&[CrowdShape::Unread], DESCRIPTORS);
}

#[test]
fn mixed_short_bodies_and_unread_responses() {
    play(&[CrowdShape::ChunkShort, CrowdShape::Unread], DESCRIPTORS);
}

#[test]
fn mixed_pipelined_requests_and_tiny_chunks() {
    play(
        &[CrowdShape::Pipelined, CrowdShape::TinyChunks],
        DESCRIPTORS,
    );
}

// Connections to the readiness address were in no bound.
#[test]
fn connections_to_the_readiness_address_without_a_byte() {
    let _turn = TURN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let limits = ProcessLimits {
        memory_mb: MEMORY_MB,
        descriptors: FEW_DESCRIPTORS,
    };
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let site = CrowdSite::start(limits).await;
        let crowd = CrowdCallers::start(site.host.readiness(), CALLERS, &[CrowdShape::Silent]);
        let used = crowd.watch(&site.host).await;
        assert!(site.is_ready().await, "the balancer is answered");
        site.ask("beside the crowd").await;
        assert!(used.memory_bytes <= MEMORY_MB * 1_000_000, "{used:?}");
        assert!(used.descriptors <= FEW_DESCRIPTORS, "{used:?}");
    });
}

/// Starts a host that no crowd disturbs, and sends bytes to it in pieces after pauses; checks that the response
/// to the last request is a success.
fn send_in_calm(pieces: &[(Duration, String)]) {
    let _turn = TURN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let limits = ProcessLimits {
        memory_mb: MEMORY_MB,
        descriptors: FEW_DESCRIPTORS,
    };
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let site = CrowdSite::start(limits).await;
        let mut stream = TcpStream::connect(site.host.callers)
            .await
            .expect("connects");
        let mut response = String::new();
        for (pause, piece) in pieces {
            tokio::time::sleep(*pause).await;
            response.clear();
            stream
                .write_all(piece.as_bytes())
                .await
                .expect("the host reads on");
        }
        let mut bytes = [0; 1_024];
        while !response.ends_with("whole answer") {
            let length = stream.read(&mut bytes).await.expect("the host responds");
            assert!(length > 0, "the connection ended after {response:?}");
            response += &String::from_utf8_lossy(&bytes[..length]);
        }
        assert!(response.contains("HTTP/1.1 200"), "{response}");
    });
}

// Guards against limits that a single caller inside the limits of the pages meets: a body of the largest size,
// sent slowly.
#[test]
fn large_body_that_arrives_slowly_is_served_in_calm() {
    let piece = "x".repeat(LARGE_BODY_BYTES / SLOW_PIECES);
    let pause = Duration::from_millis(100);
    let head = head("POST", "/hold/1", "calm-1", "key-1");
    let mut with_length = vec![(
        Duration::ZERO,
        format!("{head}content-length: {LARGE_BODY_BYTES}\r\n\r\n"),
    )];
    with_length.extend((0..SLOW_PIECES).map(|_| (pause, piece.clone())));
    send_in_calm(&with_length);
    let mut in_chunks = vec![(
        Duration::ZERO,
        format!("{head}transfer-encoding: chunked\r\n\r\n"),
    )];
    let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
    in_chunks.extend((0..SLOW_PIECES).map(|_| (pause, chunk.clone())));
    in_chunks.push((pause, "0\r\n\r\n".into()));
    send_in_calm(&in_chunks);
}

// Guards against closing a connection that waits for four fifths of the time that the configuration states.
#[test]
fn connection_that_waits_within_its_limit_is_served_in_calm() {
    let request = |id| head("GET", "/lookup/1", id, "key-1") + "\r\n";
    let waits = [
        Duration::ZERO,
        Duration::from_secs(12),
        Duration::from_secs(12),
    ];
    let requests: Vec<_> = waits
        .into_iter()
        .zip(["calm-1", "calm-2", "calm-3"])
        .map(|(wait, id)| (wait, request(id)))
        .collect();
    send_in_calm(&requests);
}

// With more callers than connections, ordinary callers got no answer.
#[test]
fn more_short_bodies_than_connections() {
    play(&[CrowdShape::ChunkShort], FEW_DESCRIPTORS);
}

#[test]
fn more_silent_callers_than_connections() {
    play(&[CrowdShape::Silent], FEW_DESCRIPTORS);
}

#[test]
fn more_open_heads_than_connections() {
    play(&[CrowdShape::OpenHead], FEW_DESCRIPTORS);
}

#[test]
fn more_callers_that_read_nothing_than_connections() {
    play(&[CrowdShape::Unread], FEW_DESCRIPTORS);
}
