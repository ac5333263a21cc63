//! Refused operator calls: error codes, texts and exit codes.

use crate::support::{OperatorBench, run_admin};

#[tokio::test]
async fn refusals_have_an_error_code_and_an_exit_code() {
    let bench = OperatorBench::start().await;
    let dangling = bench.write_file("dangling.ini", "[version advice@x]\npool = nowhere\n");
    let cases = [
        (
            "read",
            "host drain cumbre-host-0 --reason r",
            4,
            "role_too_low: operator `read-operator` has the role read, and the call needs operate",
        ),
        (
            "operate",
            "key create nowhere --reason r",
            4,
            "role_too_low: operator `operate-operator` has the role operate, and the call needs administer",
        ),
        (
            "administer",
            "key create nowhere --reason r",
            1,
            "not_found: no workspace `nowhere` exists",
        ),
        (
            "operate",
            "host drain other --reason r",
            1,
            "not_found: this host is `cumbre-host-0`; call `other` itself",
        ),
        (
            "operate",
            "rollout pause nowhere --reason r",
            1,
            "not_found: no roll-out `nowhere` exists",
        ),
        (
            "operate",
            "withdraw advice@x --reason r",
            1,
            "not_found: no version `advice@x` exists",
        ),
        (
            "operate",
            "withdraw advice --reason r",
            2,
            "advice: must be MODEL@VERSION",
        ),
        (
            "operate",
            "server restore consejero x --reason r",
            1,
            "wrong_state: server `x` of pool `consejero` is not drained",
        ),
        (
            "operate",
            "remove pool/nowhere --reason r",
            1,
            "not_found: the configuration has no entry pool/nowhere",
        ),
        (
            "operate",
            "remove session_keys/tokens --reason r",
            4,
            "role_too_low: session_keys/tokens may be removed with the role administer only",
        ),
        (
            "administer",
            "key revoke nowhere abc --reason r",
            1,
            "invalid: invalid key digest: `abc` must be 64 hexadecimal digits",
        ),
        (
            "operate",
            "rollout start r --model advice --candidate small --baseline small --reason r",
            1,
            "wrong_state: invalid roll-out step: candidate and baseline must be different versions",
        ),
        (
            "operate",
            "rollout start r --model advice --candidate small --baseline large --step-shares 5,3 --reason r",
            2,
            "--step-shares 5,3: must be growing numbers from 1 to 1000, separated by commas",
        ),
    ];
    for (role, words, code, text) in cases {
        let result = bench.admin(role, words).await;
        assert_eq!(result.code, code, "{words}: {}", result.error);
        assert!(result.error.starts_with(text), "{words}: {}", result.error);
    }
    let apply = format!("apply {dangling} --reason r");
    let result = bench.admin("operate", &apply).await;
    assert_eq!(result.code, 1, "{}", result.error);
    let text =
        "invalid: the configuration would be invalid\n  version advice@x refers to pool `nowhere`";
    assert!(result.error.starts_with(text), "{}", result.error);
}

#[tokio::test]
async fn unknown_operators_are_refused() {
    let bench = OperatorBench::start().await;
    let server = bench.host.operator_address().to_string();
    let wrong = bench.write_file("wrong", "guess\n");
    let cases: [&[&str]; 2] = [&["status"], &["--token-file", &wrong, "status"]];
    for arguments in cases {
        let result = run_admin(&server, arguments).await;
        assert_eq!(result.code, 4, "{}", result.error);
        let text = "unauthenticated: present a known token or client certificate";
        assert_eq!(result.error, text);
    }
}

#[tokio::test]
async fn unreachable_host_has_its_own_exit_code() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the port is known")
        .to_string();
    drop(listener);
    let result = run_admin(&address, &["status"]).await;
    assert_eq!(result.code, 5, "{}", result.error);
    assert!(
        result.error.starts_with("cannot reach the host: "),
        "{}",
        result.error
    );
}

#[tokio::test]
async fn platform_outage_refuses_changes_and_serves_status() {
    let bench = OperatorBench::start().await;
    let faults = bench.deployment.objects.faults();
    faults.set(|plan| plan.refuse = true);
    let result = bench
        .admin("operate", "server drain consejero x --reason outage")
        .await;
    assert_eq!(result.code, 5, "{}", result.error);
    assert!(
        result.error.starts_with("unavailable: "),
        "{}",
        result.error
    );
    let status = bench.admin("read", "status").await.json();
    assert_eq!(status["ready"], true);
}
