//! A short seeded run on real processes.

use std::path::Path;
use std::process::Command;

/// Program of the test run itself.
const SOAK: &str = env!("CARGO_BIN_EXE_galenamast-soak");

/// Plays a profile for some seconds; panics with its output unless all rules were kept.
fn play(profile: &str, seed: &str, seconds: &str) {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let program = Path::new(SOAK).with_file_name("galenamast");
    assert!(
        program.exists(),
        "{} is missing; `cargo test --workspace` builds it",
        program.display()
    );
    let output = Command::new(SOAK)
        .args(["--seed", seed, "--seconds", seconds, "--hosts", "5"])
        .args(["--profile", profile])
        .arg("--program")
        .arg(&program)
        .arg("--report")
        .arg(folder.path().join("report.txt"))
        .output()
        .expect("the soak starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
    let answered = text.lines().find(|line| line.ends_with("answered 200"));
    let count: Option<u32> = answered.and_then(|line| line.split_whitespace().next()?.parse().ok());
    assert!(count.is_some_and(|count| count > 100), "{text}");
}

// Guards against requests that end without a response while hosts are stopped and started in turn.
#[test]
fn hosts_that_stop_in_turn_lose_no_request() {
    play("stops", "7", "20");
}

// Guards against requests that are lost, run twice or are mixed up under kills, freezes and changes.
#[test]
fn mixed_faults_break_no_rule() {
    play("mixed", "7", "20");
}

// Guards against requests that reach servers which left, or are mixed up, while servers are replaced.
#[test]
fn servers_that_are_replaced_break_no_rule() {
    play("servers", "7", "15");
}

// Guards against giving up servers that fall silent, beside configurations and stops.
#[test]
fn servers_that_fall_silent_break_no_rule() {
    play("silences", "7", "15");
}

// Guards against requests that are lost or run twice while the store fails.
#[test]
fn store_faults_break_no_rule() {
    play("store", "7", "15");
}

// Guards against requests that are lost, or run by the wrong service, version or tenant, while versions are
// rolled out and configurations move routes and keys.
#[test]
fn versions_and_routes_that_change_break_no_rule() {
    play("rollouts", "7", "20");
}

// Guards against cutting requests that one host passes on to another, while hosts are stopped and
// configurations change.
#[test]
fn hosts_without_a_path_lose_no_request() {
    play("relays", "7", "20");
}

// Guards against responses that are mixed up or cut when servers are late and the next ones fail.
#[test]
fn servers_that_fail_in_turn_break_no_rule() {
    play("failures", "7", "15");
}

// Guards against requests that fail at hosts without a path to the servers, though other hosts have one.
#[test]
fn links_that_fail_break_no_rule() {
    play("links", "7", "15");
}

// Guards against hosts that end, or treat other callers untruly, beside callers outside the limits.
#[test]
fn callers_outside_the_limits_break_no_rule() {
    play("crowd", "7", "15");
}

// Guards against hosts that run out of memory or time because servers answer without end.
#[test]
fn servers_that_answer_without_end_break_no_rule() {
    play("endless", "7", "15");
}
