//! Random heads and bodies of responses, seeded: each is read to its end or given up in time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use galenamast_gateway::protocol::EventSplitter;
use galenamast_gateway::transport::BackendConnection;
use http::Request;
use http_body_util::Full;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Number of responses.
const RESPONSES: u64 = 1_500;
/// Data after which a response is dropped, in bytes.
const MAX_DATA: usize = 256 * 1_024;
/// Bytes that a server repeats at most.
const MAX_SENT: usize = 4 * 1_024 * 1_024;
/// Time within which a response is read or given up.
const READ_TIME: Duration = Duration::from_secs(5);
/// Parts of responses, valid ones first.
const PARTS: [&str; 24] = [
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 900000\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 500 Failed\r\nconnection: close\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
    "10\r\nid: 1\ndata: abc\n\n\r\n",
    "4\r\n\n\n\n\n\r\n",
    "3;name=value\r\n:\n\n\r\n",
    "0\r\n\r\n",
    "0\r\nx-a: b\r\n\r\n",
    "id: 2\ndata: x\n\n",
    "\r\n",
    "\n",
    ": comment\n\n",
    "0",
    "ffffffffffffffff\r\n",
    "HTTP/1.1 ",
    "x-a: b\r\n",
    "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
    "\0",
    "\u{16}\u{3}\u{1}",
    ";",
];

/// Draws the bytes of a response: parts in any order, some spoilt, and one that may be repeated.
fn draw_response(random: &mut ChaCha8Rng) -> (Vec<u8>, Option<Vec<u8>>) {
    let mut bytes = Vec::new();
    if random.random_bool(0.8) {
        bytes.extend_from_slice(PARTS[random.random_range(0..4)].as_bytes());
    }
    for _ in 0..random.random_range(0..8) {
        let part = PARTS.choose(random).expect("there are parts").as_bytes();
        for _ in 0..random.random_range(1..4) {
            bytes.extend_from_slice(part);
        }
    }
    for _ in 0..random.random_range(0..3) {
        if !bytes.is_empty() {
            let at = random.random_range(0..bytes.len());
            bytes[at] = random.random();
        }
    }
    let repeated = PARTS.choose(random).expect("there are parts").as_bytes();
    let repeated = random.random_bool(0.5).then(|| repeated.repeat(100));
    (bytes, repeated)
}

/// Starts a server that answers each connection with the response of the next seed.
async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    tokio::spawn(async move {
        for seed in 0.. {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            tokio::spawn(async move {
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                let (bytes, repeated) = draw_response(&mut random);
                let _ = stream.read(&mut [0; 1_024]).await;
                let mut is_open = stream.write_all(&bytes).await.is_ok();
                let mut sent = 0;
                while let Some(piece) = repeated.as_ref().filter(|_| is_open && sent < MAX_SENT) {
                    is_open = stream.write_all(piece).await.is_ok();
                    sent += piece.len();
                }
            });
        }
    });
    address
}

/// Reads a response as far as it goes; returns the bytes of its data.
async fn read(address: SocketAddr) -> usize {
    let opened = BackendConnection::open(address, 16 * 1_024, READ_TIME).await;
    let mut connection = opened.expect("the server accepts");
    let request = Request::builder().uri("/").header("host", "desk.example");
    let request = request.body(Full::new(Bytes::new())).expect("valid");
    let Ok(response) = connection.send(request).await else {
        return 0;
    };
    let (mut body, mut splitter) = (response.into_body(), EventSplitter::default());
    let mut bytes = 0;
    while let Some(Ok(data)) = body.data().await {
        bytes += data.len();
        if bytes > MAX_DATA || splitter.push(&data).is_err() {
            break;
        }
    }
    bytes
}

// Guards against responses that are read without end, or upset the reader.
#[tokio::test]
async fn random_responses_are_read_or_given_up_in_time() {
    let address = start().await;
    let mut with_data = 0;
    for seed in 0..RESPONSES {
        let reading = tokio::time::timeout(READ_TIME, read(address));
        let bytes = reading.await.unwrap_or_else(|_| panic!("seed {seed}"));
        assert!(bytes <= MAX_DATA + 64 * 1_024, "seed {seed}: {bytes} bytes");
        with_data += usize::from(bytes > 0);
    }
    assert!(with_data > 100, "{with_data} responses had data");
}
