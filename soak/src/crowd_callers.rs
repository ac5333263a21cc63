//! Callers outside the limits: they send a part of a request, stay open and open again when they are closed.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::config_plan::KEYS;

/// Number of such callers for each host.
const CALLERS_PER_HOST: usize = 300;
/// Pause before a caller opens again, in milliseconds.
const REOPEN_MILLIS: std::ops::Range<u64> = 300..900;
/// Longest time for which a caller stays open before it gives up by itself, in milliseconds.
const STAY_MILLIS: std::ops::Range<u64> = 500..8_000;

/// Sends parts of requests to all hosts until it is dropped.
pub(crate) fn start_crowd(hosts: &[SocketAddr], seed: u64) -> JoinSet<()> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut crowd = JoinSet::new();
    for number in 0..hosts.len() * CALLERS_PER_HOST {
        let (host, seed) = (hosts[number % hosts.len()], random.random());
        crowd.spawn(call(host, number, seed));
    }
    crowd
}

/// Opens connections one after the other.
async fn call(host: SocketAddr, number: usize, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for round in 0_u32.. {
        let bytes = draw_part(&mut random, &format!("x{number:05}{round:04}"));
        let stay = Duration::from_millis(random.random_range(STAY_MILLIS));
        if let Ok(stream) = TcpStream::connect(host).await {
            // The host may close the connection at any time.
            let _ = tokio::time::timeout(stay, stay_open(stream, &bytes)).await;
        }
        let pause = Duration::from_millis(random.random_range(REOPEN_MILLIS));
        tokio::time::sleep(pause).await;
    }
}

/// Sends bytes and reads until the host closes the connection.
async fn stay_open(mut stream: TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(bytes).await?;
    let mut buffer = [0; 1_024];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}

/// Returns a part of a request, which never becomes whole.
fn draw_part(random: &mut ChaCha8Rng, id: &str) -> Vec<u8> {
    let key = KEYS[random.random_range(0..KEYS.len())];
    let head = format!(
        "POST /deposit-hold/1 HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-milliseconds: 3000\r\nauthorization: Bearer {key}\r\n"
    );
    let length = random.random_range(2..80_000);
    let text = match random.random_range(0..6) {
        0 => String::new(),
        1 => head + &format!("x-long: {}", "x".repeat(length.min(15_000))),
        2 => head + &format!("content-length: {length}\r\n\r\n{}", "x".repeat(length - 1)),
        3 => {
            let chunks = "1\r\nx\r\n".repeat(length / 4);
            head + "transfer-encoding: chunked\r\n\r\n" + &chunks
        }
        4 => {
            let chunk = format!("{length:x}\r\n{}", "x".repeat(length - 1));
            head + "transfer-encoding: chunked\r\n\r\n" + &chunk
        }
        _ => head + "content-length: 4000000\r\n\r\n" + &"x".repeat(length),
    };
    text.into_bytes()
}
