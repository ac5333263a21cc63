//! A whole roll-out driven by `admin` commands, from declarative files to completion.

use crate::support::OperatorBench;

/// Declares a model with a baseline `v1` and a candidate `v2`.
const FILES: &str = "\
[pool pool-r]
[version drafting@v1]
pool = pool-r
[version drafting@v2]
pool = pool-r
stage = withdrawn
";

#[tokio::test]
async fn a_rollout_is_driven_by_commands_to_completion() {
    let bench = OperatorBench::start().await;
    let file = bench.write_file("model.ini", FILES);
    let apply = format!("apply {file} --reason prepare --wait");
    assert_eq!(bench.admin("operate", &apply).await.json()["generation"], 2);
    let start = "rollout start r1 --model drafting --candidate v2 --baseline v1 \
                 --step-shares 100,1000 --reason try --wait";
    assert_eq!(bench.admin("operate", start).await.json()["generation"], 3);
    assert_eq!(rollout(&bench).await, ("running".into(), 0));
    assert_eq!(stage(&bench).await, "rolling_out");
    let again = bench.admin("operate", start).await;
    assert!(
        again.error.contains("roll-out `r1` already goes on"),
        "{}",
        again.error
    );
    let steps = [
        ("pause", "paused", 0),
        ("resume", "running", 0),
        ("advance", "running", 1),
        ("abort", "aborted", 1),
    ];
    for (step, phase, index) in steps {
        let words = format!("rollout {step} r1 --reason {step} --wait");
        let result = bench.admin("operate", &words).await;
        assert_eq!(result.code, 0, "{step}: {}", result.error);
        assert_eq!(rollout(&bench).await, (phase.into(), index), "{step}");
    }
    assert_eq!(stage(&bench).await, "withdrawn");
    let resume = bench
        .admin("operate", "rollout resume r1 --reason late")
        .await;
    assert_eq!(resume.code, 1);
    assert!(
        resume.error.starts_with("wrong_state: "),
        "{}",
        resume.error
    );
    let pause = "rollout pause r1 --reason look --change-id p-1 --wait";
    let restart = bench.admin("operate", start).await;
    assert_eq!(restart.code, 0, "{}", restart.error);
    assert_eq!(
        bench.admin("operate", pause).await.json()["repeated"],
        false
    );
    let repeated = bench.admin("operate", pause).await;
    assert_eq!(
        repeated.json()["repeated"],
        true,
        "a repeated step is answered, not refused"
    );
    for _ in 0..2 {
        let advance = "rollout advance r1 --reason good --wait";
        assert_eq!(bench.admin("operate", advance).await.code, 0);
    }
    assert_eq!(rollout(&bench).await.0, "completed");
    assert_eq!(stage(&bench).await, "established");
}

/// Returns the roll-out's phase and step index from the status.
async fn rollout(bench: &OperatorBench) -> (String, u64) {
    let status = bench.admin("read", "status").await.json();
    let rollout = &status["rollouts"][0];
    let phase = rollout["phase"].as_str().unwrap_or_default();
    (phase.into(), rollout["step"].as_u64().unwrap_or(u64::MAX))
}

/// Returns the stage of the candidate in the shown configuration.
async fn stage(bench: &OperatorBench) -> String {
    let shown = bench.admin("read", "show").await.json();
    let objects = shown["objects"].as_array().cloned().unwrap_or_default();
    let versions = objects
        .iter()
        .map(|object| &object["object"]["model"])
        .find(|model| model["name"] == "drafting")
        .map(|model| model["versions"].clone())
        .unwrap_or_default();
    let candidate = versions[1]["stage"].as_str();
    candidate.unwrap_or_default().into()
}
