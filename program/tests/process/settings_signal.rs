//! A hang-up signal puts changed settings into force in a running process.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use galenamast_testbed::{Caller, Deployment, DeploymentOptions};

use crate::{HostProcess, first_answer};

/// Longest time that the test waits for a signal to take effect.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Replaces a part of the settings file.
fn edit(path: &Path, from: &str, to: &str) {
    let text = fs::read_to_string(path).expect("the settings file exists");
    assert!(text.contains(from), "{text}");
    fs::write(path, text.replacen(from, to, 1)).expect("the settings file is writable");
}

/// Asks the process to read its settings again.
fn hang_up(host: &HostProcess) {
    let pid = host.child.id().to_string();
    let signalled = Command::new("kill").args(["-HUP", &pid]).status();
    assert!(signalled.expect("kill runs").success());
}

/// Waits until a request of some size has a status.
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
    first_answer(&caller, host.address).await;
    wait_for_status(&caller, &host, &long, 200).await;

    edit(&path, "[callers]\n", "[callers]\nmax_body_bytes = 1024\n");
    hang_up(&host);
    wait_for_status(&caller, &host, &long, 413).await;

    // A file with an error changes nothing; the next one without is taken over.
    edit(&path, "max_body_bytes = 1024", "max_body_bytes = none");
    hang_up(&host);
    for _ in 0..5 {
        wait_for_status(&caller, &host, &long, 413).await;
        wait_for_status(&caller, &host, "boots", 200).await;
    }
    edit(&path, "max_body_bytes = none", "max_body_bytes = 65536");
    hang_up(&host);
    wait_for_status(&caller, &host, &long, 200).await;
    assert!(host.terminate(), "the host still stops when asked to");
}
