//! Crowds of callers outside the limits, before a host with little memory and few descriptors: the process
//! lives, stays within both, and answers an ordinary request.

mod crowd_callers;
mod crowd_shape;
mod crowd_site;
#[path = "../common/front_process.rs"]
mod front_process;
mod process_use;

use std::sync::Mutex;

use crate::crowd_callers::CrowdCallers;
use crate::crowd_shape::CrowdShape;
use crate::crowd_site::CrowdSite;
use crate::front_process::ProcessLimits;

/// Memory of the host in MB.
const MEMORY_MB: usize = 48;
/// Number of descriptors of the host.
const DESCRIPTORS: usize = 2_400;
/// Number of descriptors of a host that has fewer connections than there are callers.
const FEW_DESCRIPTORS: usize = 700;
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
