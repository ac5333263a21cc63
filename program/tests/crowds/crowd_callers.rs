//! Callers that send a part of a request, stay open and open again when they are closed.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::crowd_shape::CrowdShape;
use crate::front_process::FrontProcess;
use crate::process_use::ProcessUse;

/// Time for which the use of the process is watched.
const WATCH_TIME: Duration = Duration::from_secs(6);
/// Interval at which it is read.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Pause of a caller before it opens again.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// A crowd, which goes away when it is dropped.
pub(crate) struct CrowdCallers {
    _callers: JoinSet<()>,
}

impl CrowdCallers {
    /// Starts callers that take the shapes in turn.
    pub(crate) fn start(host: SocketAddr, callers: usize, shapes: &'static [CrowdShape]) -> Self {
        let mut set = JoinSet::new();
        for (number, shape) in (0..callers).zip(shapes.iter().cycle()) {
            set.spawn(call(host, number, *shape));
        }
        Self { _callers: set }
    }

    /// Watches the process beside the crowd and returns the most that it used.
    pub(crate) async fn watch(&self, host: &FrontProcess) -> ProcessUse {
        let started = Instant::now();
        let mut most = ProcessUse::default();
        while started.elapsed() < WATCH_TIME {
            most = most.max(ProcessUse::read(host));
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
        most
    }
}

/// Sends again and again, on a new connection each time.
async fn call(host: SocketAddr, number: usize, shape: CrowdShape) {
    for round in 0_u32.. {
        if let Ok(stream) = TcpStream::connect(host).await {
            let bytes = shape.bytes(&format!("c-{number}-{round}"));
            // The host may close the connection at any time.
            let _ = stay_open(stream, &bytes, shape.reads()).await;
        }
        tokio::time::sleep(REOPEN_PAUSE).await;
    }
}

/// Sends bytes and keeps the connection until the host closes it.
async fn stay_open(mut stream: TcpStream, bytes: &[u8], reads: bool) -> std::io::Result<()> {
    let (mut reader, mut writer) = stream.split();
    let writing = async {
        writer.write_all(bytes).await?;
        std::future::pending::<std::io::Result<()>>().await
    };
    let reading = async {
        let mut buffer = vec![0; 4_096];
        while reads && reader.read(&mut buffer).await? > 0 {}
        if !reads {
            // Neither end of the connection shows while bytes are unread, but an error does.
            loop {
                tokio::time::sleep(REOPEN_PAUSE).await;
                reader.ready(tokio::io::Interest::ERROR).await?;
            }
        }
        Ok(())
    };
    tokio::select! {
        ended = writing => ended,
        ended = reading => ended,
    }
}
