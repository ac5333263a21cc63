//! End-to-end tests with entry hosts as separate processes.

mod endless_responses;
#[path = "../common/front_process.rs"]
mod front_process;
mod host_kills;
mod settings_signal;

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use galenamast_testbed::{Caller, Deployment, DeploymentOptions};
use serde_json::Value;

/// An entry host as a child process, which is killed on drop.
struct HostProcess {
    child: Child,
    address: SocketAddr,
}

impl HostProcess {
    /// Starts an entry host and waits until it logs its address for callers.
    fn start(deployment: &Deployment, directory: &Path, name: &str, domain: &str) -> Self {
        let path = directory.join(format!("{name}.ini"));
        let settings = format!(
            "[host]\nname = {name}\ndomain = {domain}\n\
             [callers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\n\
             [peers]\nlisten = 127.0.0.1:0\n\
             [platform]\nobjects = {}\nhost_list = {}\nhost_list_period = 100ms\n\
             [routing]\nload_period = 50ms\n[shutdown]\nbalancer_lag = 0s\n",
            deployment.objects.address(),
            deployment.host_list.address(),
        );
        fs::write(&path, settings).expect("the settings file is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_galenamast"))
            .args(["serve", "--config"])
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let address = lines
            .by_ref()
            .map(|line| line.expect("stderr is readable"))
            .find_map(|line| started_address(&line))
            .expect("the host logs its address");
        // Drain the pipe, so that the host never blocks on writing a log line.
        std::thread::spawn(move || lines.for_each(drop));
        Self { child, address }
    }

    /// Sends SIGTERM, waits until the process ends and returns whether it succeeded.
    fn terminate(mut self) -> bool {
        let pid = self.child.id().to_string();
        let signalled = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(signalled.expect("kill runs").success());
        self.child.wait().expect("the host ends").success()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the address for callers from the `host_started` log line; `None` for other lines.
fn started_address(line: &str) -> Option<SocketAddr> {
    let record: Value = serde_json::from_str(line).expect("every log line is JSON");
    if record["event"] != "host_started" {
        return None;
    }
    record["callers"].as_str()?.parse().ok()
}

/// Sends requests until one is answered with status 200, and returns its content.
async fn wait_for_answer(caller: &Caller, address: SocketAddr) -> String {
    loop {
        let reply = caller
            .chat(address, "which boot size?", &[])
            .await
            .expect("the host answers");
        if reply.status == 200 {
            return reply.content();
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn separate_processes_serve_and_stop() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let deployment = Deployment::without_hosts(DeploymentOptions::nieve_alta())
        .await
        .expect("starts");
    let caller = Caller::new("lodge-rental");
    let mut hosts = Vec::new();
    for domain in ["cumbre", "taller"] {
        hosts.push(HostProcess::start(
            &deployment,
            directory.path(),
            &format!("{domain}-1"),
            domain,
        ));
    }
    for host in &hosts {
        let content = wait_for_answer(&caller, host.address).await;
        assert!(content.contains("quality="), "{content}");
    }
    for host in hosts {
        assert!(
            host.terminate(),
            "a host stops without an error when asked to"
        );
    }
}
