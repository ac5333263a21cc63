//! An entry host as a process of its own.

use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::io::Error;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Ports below those of outgoing connections.
const PORTS: std::ops::Range<u16> = 15_000..32_000;
/// Number of ports that one run draws from.
const SLICE_PORTS: u16 = 1_000;
/// Time that the balancer allows a readiness check.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Resources that a host may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostLimits {
    /// Memory in MB.
    pub(crate) memory_mb: usize,
    /// Number of descriptors.
    pub(crate) descriptors: usize,
}

impl HostLimits {
    /// Those of a usual deployment.
    pub(crate) const USUAL: Self = Self {
        memory_mb: 260,
        descriptors: 4_100,
    };
    /// So few that a small crowd exceeds them.
    pub(crate) const SCARCE: Self = Self {
        memory_mb: 56,
        descriptors: 700,
    };
}

/// An entry host that is started, signalled and restarted on the same ports.
#[derive(Debug)]
pub(crate) struct HostProcess {
    /// Name of the host.
    pub(crate) name: String,
    /// Failure domain of the host.
    pub(crate) zone: String,
    /// Address for callers.
    pub(crate) front: SocketAddr,
    /// Address of its store.
    pub(crate) store: SocketAddr,
    ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    // Most memory that a process of the host has used, in bytes.
    peak_memory: AtomicUsize,
    /// Resources of the host.
    pub(crate) limits: HostLimits,
}

impl HostProcess {
    /// Writes the host's settings; the process isn't started yet. `ports` are those that the run uses.
    pub(crate) fn new(
        program: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        limits: HostLimits,
        ports: &mut BTreeSet<u16>,
    ) -> Result<Self, Error> {
        let [front, ready, peer] = [(); 3].map(|()| free_address(ports));
        let bounds = json!({"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
                       "acknowledge_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
                       "loss_slack_ms": 200, "configuration_ms": 2000, "rollback_slack_ms": 250,
                       "outer_ms": 5000, "strict_revocation": false, "revoke_ms": 5000,
                       "budget_ratio": 0.9, "budget_window_s": 10, "budget_slack": 58,
                       "expose_share": 0.15, "expose_slack": 30, "rollback_ms": 5000,
                       "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10, "session_s": 5});
        let settings = json!({
            "node_name": name, "role": "entry-host", "machine_class": "front", "serves": ["front"],
            "ip_address": "127.0.0.1", "zone": zone, "region": "r", "zones": {zone: "r"},
            "listen_addresses": {"front": front.to_string(), "ready": ready.to_string()},
            "internal_ports": [peer.port(), peer.port()], "seeds": [], "bootstrap": true,
            "in_tolerance": false,
            "limits": {"processor_share": 0.25, "cores": 1, "memory_mb": limits.memory_mb,
                       "file_descriptors": limits.descriptors, "link_mbps": 1000.0, "disk_mb": 0},
            "data_directory": null, "discovery": "platform", "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "bounds": bounds,
            "platform": {"address": store.to_string(), "form": "objects", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1_048_576},
        });
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front,
            store,
            ready,
            program: program.to_owned(),
            settings: path,
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
            peak_memory: AtomicUsize::new(0),
            limits,
        })
    }

    /// Starts the process; its log continues that of earlier processes.
    pub(crate) fn start(&self) -> Result<(), Error> {
        let open = || -> Result<File, Error> {
            OpenOptions::new().create(true).append(true).open(&self.log)
        };
        let child = Command::new(&self.program)
            .arg("front")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("GALENAMAST_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(open()?)
            .stderr(open()?)
            .spawn()?;
        *self.lock() = Some(child);
        Ok(())
    }

    /// Returns whether the process runs.
    pub(crate) fn is_running(&self) -> bool {
        let mut child = self.lock();
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal such as `TERM` to the process if it runs.
    pub(crate) fn signal(&self, name: &str) -> Result<(), Error> {
        let mut child = self.lock();
        let Some(child) = child.as_mut() else {
            return Ok(());
        };
        if child.try_wait()?.is_none() {
            Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status()?;
        }
        Ok(())
    }

    /// Returns whether the host says that it is ready.
    pub(crate) async fn is_ready(&self) -> bool {
        let check = async {
            let mut stream = TcpStream::connect(self.ready).await?;
            let request =
                "GET /api/readiness HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await?;
            let mut head = [0; 12];
            stream.read_exact(&mut head).await?;
            Ok::<bool, Error>(head.ends_with(b" 200"))
        };
        matches!(
            tokio::time::timeout(READY_TIMEOUT, check).await,
            Ok(Ok(true))
        )
    }

    /// Reads how much memory the process has used, and returns the most that one of the host has, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        let id = self.lock().as_ref().map(Child::id);
        let status = id.and_then(|id| std::fs::read_to_string(format!("/proc/{id}/status")).ok());
        let text = status.unwrap_or_default();
        let field = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = field.and_then(|field| field.split_whitespace().next());
        let kilobytes: usize = kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0);
        let peak = kilobytes * 1_024;
        self.peak_memory.fetch_max(peak, Ordering::SeqCst).max(peak)
    }

    /// Kills the process and waits for its end.
    pub(crate) fn end(&self) {
        if let Some(mut child) = self.lock().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Locks the process.
    fn lock(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.end();
    }
}

/// Returns a loopback address whose port is free for TCP and UDP. Runs at the same time draw from different
/// ports, as those of a host that is down are free for a while.
pub(crate) fn free_address(ports: &mut BTreeSet<u16>) -> SocketAddr {
    let slices = (PORTS.end - PORTS.start) / SLICE_PORTS;
    let slice = u16::try_from(std::process::id() % u32::from(slices)).unwrap_or(0);
    loop {
        let drawn = rand::rng().random_range(0..SLICE_PORTS);
        let port = PORTS.start + slice * SLICE_PORTS + drawn;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if is_free && ports.insert(port) {
            return address;
        }
    }
}
