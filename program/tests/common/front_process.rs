//! A host of the users' platform as a process of its own.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};

use galenamast_platform_standin::StandInStore;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Resources that a host is told to stay within.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessLimits {
    /// Memory in MB.
    pub(crate) memory_mb: usize,
    /// Number of descriptors.
    pub(crate) descriptors: usize,
}

/// A host of the users' platform as a process of its own, which is killed on drop.
pub(crate) struct FrontProcess {
    child: Child,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    readiness: SocketAddr,
    _directory: TempDir,
}

impl FrontProcess {
    /// Starts a host that reads a store.
    pub(crate) fn start(store: &StandInStore, limits: ProcessLimits) -> Self {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let path = directory.path().join("node.json");
        let readiness = free_address();
        let settings = json!({
            "node_name": "front-1", "ip_address": "127.0.0.1", "zone": "north",
            "listen_addresses": {"front": "127.0.0.1:0", "ready": readiness.to_string()},
            "internal_ports": [0, 0],
            "limits": {"memory_mb": limits.memory_mb, "file_descriptors": limits.descriptors},
            "bounds": {},
            "platform": {"address": store.address().to_string()},
        });
        fs::write(&path, settings.to_string()).expect("the settings file is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_galenamast"))
            .arg("front")
            .env("GALENAMAST_SETTINGS", &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let callers = lines
            .by_ref()
            .map_while(Result::ok)
            .find_map(|line| callers_address(&line))
            .expect("the host logs its address");
        // Drain the pipe, so that the host never blocks on writing a log line.
        std::thread::spawn(move || lines.for_each(drop));
        Self {
            child,
            callers,
            readiness,
            _directory: directory,
        }
    }

    /// Returns the address for readiness and metrics.
    #[allow(
        dead_code,
        reason = "not all test programs that share this file use it"
    )]
    pub(crate) fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Returns the identifier of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the most memory that the process has used, in bytes.
    pub(crate) fn peak_bytes(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.expect("the host runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        let kilobytes: usize = kilobytes.expect("the peak is stated");
        kilobytes * 1_024
    }
}

impl Drop for FrontProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns an address of the loopback interface that was free a moment ago.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the socket has an address")
}

/// Returns the address for callers from the log line of the start; `None` for other lines.
fn callers_address(line: &str) -> Option<SocketAddr> {
    let record: Value = serde_json::from_str(line).ok()?;
    let is_start = record["event"] == "started";
    record["callers"]
        .as_str()
        .filter(|_| is_start)?
        .parse()
        .ok()
}
