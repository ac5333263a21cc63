//! What a caller of a crowd sends before it stays open.

/// Size of a body that the host takes for one of usual size.
const USUAL_BYTES: usize = 61_000;
/// Size of a large body, the most that the configuration allows.
const LARGE_BYTES: usize = 4 * 1_024 * 1_024;
/// Number of chunks of one byte.
const TINY_CHUNKS: usize = 60_000;
/// Bytes behind a request in progress.
const BEHIND_BYTES: usize = 1_024 * 1_024;
/// Bytes of the body of a refused request.
const REFUSED_BYTES: usize = 8 * 1_024 * 1_024;
/// Size of a head that is not ended.
const HEAD_BYTES: usize = 15_900;

/// What a caller of a crowd sends before it stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrowdShape {
    /// A chunk of usual size that lacks its last byte.
    ChunkShort,
    /// A body with a length that lacks its last byte.
    LengthShort,
    /// A chunk of 60 KiB without the last chunk.
    ChunkOpen,
    /// A chunk of 4 MiB that lacks its last byte.
    LargeChunkShort,
    /// Chunks of one byte, without the last chunk.
    TinyChunks,
    /// A request that takes long, and bytes behind it.
    Pipelined,
    /// A long body after a key that is not known.
    RefusedBody,
    /// A long head that is not ended.
    OpenHead,
    /// Nothing.
    Silent,
    /// A request for a long stream that is not read.
    Unread,
}

impl CrowdShape {
    /// Returns whether the caller reads what the host sends.
    pub(crate) fn reads(self) -> bool {
        self != Self::Unread
    }

    /// Returns the bytes that a caller sends.
    pub(crate) fn bytes(self, request: &str) -> Vec<u8> {
        let chunked = |path: &str, key: &str| {
            head("POST", path, request, key) + "transfer-encoding: chunked\r\n\r\n"
        };
        let hold = chunked("/hold/1", "key-1");
        let chunk = |stated: usize, sent: usize| {
            hold.clone() + &format!("{stated:x}\r\n{}", "x".repeat(sent))
        };
        let text = match self {
            Self::ChunkShort => chunk(USUAL_BYTES, USUAL_BYTES - 1),
            Self::LengthShort => {
                head("POST", "/hold/1", request, "key-1")
                    + &format!("content-length: {USUAL_BYTES}\r\n\r\n")
                    + &"x".repeat(USUAL_BYTES - 1)
            }
            Self::ChunkOpen => chunk(60 * 1_024, 60 * 1_024) + "\r\n",
            Self::LargeChunkShort => chunk(LARGE_BYTES, LARGE_BYTES - 1),
            Self::TinyChunks => hold + &"1\r\nx\r\n".repeat(TINY_CHUNKS),
            Self::Pipelined => {
                head("GET", "/slow/1", request, "key-1") + "\r\n" + &"x".repeat(BEHIND_BYTES)
            }
            Self::RefusedBody => {
                let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
                chunked("/hold/1", "key-0") + &chunk.repeat(REFUSED_BYTES / 0x10000)
            }
            Self::OpenHead => {
                let open = head("POST", "/hold/1", request, "key-1") + "x-long: ";
                let rest = HEAD_BYTES - open.len();
                open + &"x".repeat(rest)
            }
            Self::Silent => String::new(),
            Self::Unread => {
                head("POST", "/advice/1", request, "key-1") + "content-length: 0\r\n\r\n"
            }
        };
        text.into_bytes()
    }
}

/// Returns the head of a request up to its last headers.
pub(crate) fn head(method: &str, path: &str, request: &str, key: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {request}\r\n\
         authorization: Bearer {key}\r\nx-deadline-milliseconds: 20000\r\n"
    )
}
