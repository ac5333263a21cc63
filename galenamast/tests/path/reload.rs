//! Settings that are reloaded while the host runs.

use galenamast::config::Settings;
use galenamast::transport::settings_reload::{merge_settings, reload_settings};

use crate::support::{chat, start};

/// Values to try by unit; each key accepts one that differs from its default.
const VALUES: [(&str, &[&str]); 12] = [
    ("ip:port", &["127.0.0.1:9"]),
    ("ip:port, ...", &["127.0.0.1:9"]),
    ("bytes", &["8192"]),
    ("bytes/s", &["8192"]),
    ("calls/s", &["7"]),
    ("requests", &["3"]),
    ("hosts", &["3"]),
    ("duration", &["1500ms", "2h", "2m"]),
    ("path", &["changed.pem"]),
    ("name", &["changed"]),
    ("level", &["debug"]),
    ("flag", &["true", "false"]),
];

#[test]
fn exactly_the_reloadable_keys_change() {
    let current = Settings::default();
    for key in Settings::keys() {
        let values = VALUES.iter().find(|(unit, _)| *unit == key.unit);
        let values = values.expect("each unit has values").1;
        let mut changed = current.clone();
        let applied = values
            .iter()
            .any(|value| (key.apply)(&mut changed, value) && changed != current);
        let name = format!("[{}] {}", key.section, key.name);
        assert!(applied, "{name} accepts none of the values");
        let merged = merge_settings(&current, &changed);
        assert_eq!(merged == changed, key.reloadable, "{name}");
        assert_eq!(merged == current, !key.reloadable, "{name}");
    }
    assert!(Settings::keys().len() > 40, "all sections have keys");
}

#[tokio::test]
async fn a_reloaded_body_limit_applies_immediately() {
    let deployment = start(1).await;
    let context = deployment.hosts["host"].context();
    let long_content = "boots ".repeat(1_000);
    assert_eq!(chat(&deployment, &long_content, &[]).await.status, 200);
    let mut changed = Settings::clone(&context.current_settings());
    changed.callers.max_body_bytes = 1_024;
    reload_settings(context, &changed).expect("no certificate is named");
    assert_eq!(chat(&deployment, &long_content, &[]).await.status, 413);
    changed.callers.max_body_bytes = 1_048_576;
    changed.callers.tls_certificate = Some("missing.pem".into());
    changed.callers.tls_key = Some("missing.pem".into());
    reload_settings(context, &changed).expect_err("the certificate is missing");
    assert_eq!(chat(&deployment, &long_content, &[]).await.status, 413);
}
