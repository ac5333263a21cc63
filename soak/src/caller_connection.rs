//! A caller's connection to a host.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::timeout;

use crate::attempt_end::AttemptEnd;
use crate::request_form;
use crate::request_plan::RequestPlan;
use crate::request_trace::RequestTrace;

/// Time that callers allow a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of pieces in which a slow body is sent.
const SLOW_PIECES: u32 = 10;

/// A connection on which one request is sent at a time.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    stream: TcpStream,
    /// Index of the host.
    pub(crate) host: usize,
    /// When the last response was complete.
    pub(crate) used_at: Instant,
    /// Number of requests sent.
    pub(crate) requests: u32,
}

impl CallerConnection {
    /// Opens a connection to a host.
    pub(crate) async fn open(host: usize, address: SocketAddr) -> Result<Self, AttemptEnd> {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => Ok(Self {
                stream,
                host,
                used_at: Instant::now(),
                requests: 0,
            }),
            Ok(Err(_)) => Err(AttemptEnd::Refused),
            Err(_) => Err(AttemptEnd::ConnectTimeout),
        }
    }

    /// Returns whether the host has neither closed the connection nor sent anything unasked.
    pub(crate) fn is_open(&self) -> bool {
        let read = self.stream.try_read(&mut [0; 1]);
        matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Sends a request and reads its response until it ends, the caller leaves or its time is up.
    pub(crate) async fn exchange(&mut self, trace: &mut RequestTrace) {
        self.requests += 1;
        let head = request_form::head(&trace.plan, &trace.id);
        let body = request_form::body(&trace.plan, &trace.id);
        let (plan, mut written) = (trace.plan.clone(), None);
        let limit = Duration::from_secs_f64(plan.class.limit);
        let leaves = plan.leaves_after.filter(|after| *after < limit);
        let (read_half, mut write_half) = self.stream.split();
        trace.sent = Instant::now();
        let end = {
            // The response decides, also if the request could not be sent.
            let write = async {
                let sent = write_request(&mut write_half, &head, &body, &plan).await;
                if sent.is_ok() {
                    written = Some(Instant::now());
                }
            };
            let exchange = async {
                if !plan.reads_early {
                    write.await;
                    return read_response(read_half, trace).await;
                }
                let response = read_response(read_half, trace);
                tokio::pin!(write, response);
                tokio::select! {
                    end = &mut response => end,
                    () = &mut write => response.await,
                }
            };
            timeout(leaves.unwrap_or(limit), exchange).await
        };
        trace.written = written;
        trace.end = match end {
            Ok(end) => end,
            Err(_) if leaves.is_some() => AttemptEnd::Left,
            Err(_) if trace.status.is_none() => AttemptEnd::LimitBeforeHead,
            Err(_) => AttemptEnd::LimitInBody,
        };
        trace.ended = Instant::now();
        self.used_at = trace.ended;
    }
}

/// Sends a request, its body within the planned time.
async fn write_request(
    stream: &mut WriteHalf<'_>,
    head: &str,
    body: &[u8],
    plan: &RequestPlan,
) -> Result<(), Error> {
    stream.write_all(head.as_bytes()).await?;
    let pieces = if plan.sending.is_zero() {
        1
    } else {
        SLOW_PIECES
    };
    let size = body.len().div_ceil(pieces as usize).max(1);
    for piece in body.chunks(size) {
        if pieces > 1 {
            tokio::time::sleep(plan.sending / pieces).await;
        }
        if plan.is_chunked() {
            let length = format!("{:x}\r\n", piece.len());
            stream.write_all(length.as_bytes()).await?;
            stream.write_all(piece).await?;
            stream.write_all(b"\r\n").await?;
        } else {
            stream.write_all(piece).await?;
        }
    }
    if plan.is_chunked() {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}

/// Reads a response into the trace and returns how it ended.
async fn read_response(stream: ReadHalf<'_>, trace: &mut RequestTrace) -> AttemptEnd {
    let mut reader = BufReader::new(stream);
    let mut has_bytes = false;
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line).await {
            Ok(_) if line.ends_with('\n') => has_bytes = true,
            Ok(_) => return AttemptEnd::ClosedBeforeHead,
            Err(error) if error.kind() == ErrorKind::InvalidData => return AttemptEnd::NoResponse,
            Err(_) if has_bytes => return AttemptEnd::ClosedBeforeHead,
            Err(_) => return AttemptEnd::ResetBeforeByte,
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first = lines.first().map_or("", String::as_str);
    let status = first
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.get(..3));
    let Some(status) = status.and_then(|status| status.parse().ok()) else {
        return AttemptEnd::NoResponse;
    };
    for line in &lines[1..] {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_lowercase();
            trace.headers.insert(name, value.trim().to_owned());
        }
    }
    trace.status = Some(status);
    trace.head_at = Some(Instant::now());
    let end = if trace
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        read_chunks(&mut reader, &mut trace.body).await
    } else {
        let length = trace.header("content-length").parse().unwrap_or(0);
        read_exactly(&mut reader, &mut trace.body, length).await
    };
    trace.surplus = reader.buffer().len();
    match end {
        Ok(()) => AttemptEnd::Answered,
        Err(error) if error.kind() == ErrorKind::InvalidData => AttemptEnd::NoResponse,
        Err(_) => AttemptEnd::CutInBody,
    }
}

/// Reads a body in chunks.
async fn read_chunks(
    reader: &mut BufReader<ReadHalf<'_>>,
    body: &mut Vec<u8>,
) -> Result<(), Error> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await?;
        if !line.ends_with('\n') {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim_end().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
        read_exactly(reader, body, size).await?;
        read_exactly(reader, &mut Vec::new(), 2).await?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads a number of bytes; what arrives before an error is kept.
async fn read_exactly(
    reader: &mut BufReader<ReadHalf<'_>>,
    body: &mut Vec<u8>,
    size: usize,
) -> Result<(), Error> {
    let before = body.len();
    let mut taken = reader.take(size as u64);
    taken.read_to_end(body).await?;
    if body.len() - before < size {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
