//! Servers that send bytes without end to the HTTP client.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use galenamast::transport::HttpClient;
use galenamast::transport::http_client::{json_request, read_body};
use http::Method;

/// Largest answer that is read, in bytes.
const MAX_BYTES: usize = 1_024 * 1_024;
/// Time within which a call fails.
const FAIL_TIME: Duration = Duration::from_secs(2);
/// Head of an answer whose body comes in chunks.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts a server that answers with a beginning, and a piece again and again.
fn start(beginning: String, piece: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the socket has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request);
        let mut is_open = stream.write_all(beginning.as_bytes()).is_ok();
        let block = piece.repeat(4_096 / piece.len());
        while is_open {
            is_open = stream.write_all(block.as_bytes()).is_ok();
        }
    });
    address.to_string()
}

// Interim heads and zeros in the size of a chunk were read until the call timed out.
#[tokio::test]
async fn answer_without_end_fails_before_the_call_times_out() {
    let kinds = [
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        (CHUNKED.to_owned(), "0"),
        (
            CHUNKED.to_owned(),
            "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n",
        ),
        (CHUNKED.to_owned() + "0\r\n", "x-a: b\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n".to_owned(), "x"),
        ("HTTP/1.1 200 OK\r\n".to_owned(), "x-a: b\r\n"),
    ];
    for (beginning, piece) in kinds {
        let address = start(beginning, piece);
        let none = None::<&()>;
        let request = json_request(Method::GET, &address, "/", none).expect("valid");
        let started = Instant::now();
        let call = async {
            let response = HttpClient::new().send(&address, request).await?;
            read_body(&address, response, MAX_BYTES).await
        };
        let ended = tokio::time::timeout(FAIL_TIME * 2, call).await;
        assert!(ended.is_ok_and(|read| read.is_err()), "{piece:?}");
        assert!(started.elapsed() < FAIL_TIME, "{piece:?}");
    }
}

// A large answer was taken for one without data, as several reads arrived before the data of the first was
// taken.
#[tokio::test(flavor = "multi_thread")]
async fn large_answer_is_read_whole_by_a_slow_reader() {
    let size = MAX_BYTES;
    let stated = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
    for (beginning, piece) in [(stated, "x"), (CHUNKED.to_owned(), "8\r\nxxxxxxxx\r\n")] {
        let mut readers = tokio::task::JoinSet::new();
        for reader in 0..8_u64 {
            let address = start(beginning.clone(), piece);
            readers.spawn(async move {
                let none = None::<&()>;
                let request = json_request(Method::GET, &address, "/", none).expect("valid");
                let response = HttpClient::new().send(&address, request).await;
                let mut body = response.expect("the server answers").into_body();
                let (mut bytes, mut frames) = (0, 0);
                while bytes < size {
                    let frame = body.data().await.expect("the body goes on");
                    bytes += frame.expect("the data is taken in time").len();
                    frames += 1;
                    if (frames + reader) % 50 == 0 {
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                }
            });
        }
        while let Some(read) = readers.join_next().await {
            assert!(read.is_ok(), "{piece:?}");
        }
    }
}
