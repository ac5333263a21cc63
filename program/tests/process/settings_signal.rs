//! SIGHUP reloads the settings of a running process.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use galenamast_testbed::{Caller, Deployment, DeploymentOptions};

use crate::{HostProcess, wait_for_answer};

/// Maximum time that the test waits for a signal to take effect.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Replaces the first occurrence of a text in the settings file, which must contain it.
fn replace_in_file(path: &Path, from: &str, to: &str) {
    let text = fs::read_to_string(path).expect("the settings file exists");
    assert!(text.contains(from), "{text}");
    fs::write(path, text.replacen(from, to, 1)).expect("the settings file is writable");
}

/// Sends SIGHUP to the process.
fn send_hangup(host: &HostProcess) {
    let pid = host.child.id().to_string();
    let signalled = Command::new("kill").args(["-HUP", &pid]).status();
    assert!(signalled.expect("kill runs").success());
}

/// Sends requests with a content until one gets the status.
async fn wait_for_status(caller: &Caller, host: &HostProcess, content: &str, status: u16) {
    let waiting = async {
        loop {
            let reply = caller.chat(host.address, content, &[]).await;
            if reply.expect("the host answers").status == status {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the changed settings take effect");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_signal_reloads_the_settings() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let deployment = Deployment::without_hosts(DeploymentOptions::nieve_alta())
        .await
        .expect("starts");
    let host = HostProcess::start(&deployment, directory.path(), "cumbre-1", "cumbre");
    let path = directory.path().join("cumbre-1.ini");
    let caller = Caller::new("lodge-rental");
    let long = "boots ".repeat(1_000);
    wait_for_answer(&caller, host.address).await;
    wait_for_status(&caller, &host, &long, 200).await;

    replace_in_file(&path, "[callers]\n", "[callers]\nmax_body_bytes = 1024\n");
    send_hangup(&host);
    wait_for_status(&caller, &host, &long, 413).await;

    // An invalid file changes nothing; the next valid one takes effect.
    replace_in_file(&path, "max_body_bytes = 1024", "max_body_bytes = none");
    send_hangup(&host);
    for _ in 0..5 {
        wait_for_status(&caller, &host, &long, 413).await;
        wait_for_status(&caller, &host, "boots", 200).await;
    }
    replace_in_file(&path, "max_body_bytes = none", "max_body_bytes = 65536");
    send_hangup(&host);
    wait_for_status(&caller, &host, &long, 200).await;
    assert!(host.terminate(), "the host still stops when asked to");
}
