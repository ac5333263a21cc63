//! Settings that change while the host runs.

use galenamast::config::Settings;
use galenamast::transport::settings_reload::{merge_settings, reload_settings};

use crate::support::{chat, start};

/// Sections whose reloadable keys take effect while the host runs.
const SECTIONS: [&str; 3] = ["callers", "routing", "shutdown"];

#[test]
fn exactly_the_reloadable_keys_change() {
    let table = [
        ("ip:port", "127.0.0.1:9"),
        ("bytes", "8192"),
        ("requests", "3"),
        ("duration", "1500ms"),
        ("path", "changed.pem"),
    ];
    let current = Settings::default();
    let mut tried = 0;
    for key in Settings::keys() {
        if !SECTIONS.contains(&key.section) {
            continue;
        }
        let value = table.iter().find(|(unit, _)| *unit == key.unit);
        let value = value.expect("each unit has a value").1;
        let mut changed = current.clone();
        let applied = ["1500ms", "2h", "2m"]
            .into_iter()
            .filter(|_| key.unit == "duration")
            .chain([value])
            .any(|value| (key.apply)(&mut changed, value) && changed != current);
        assert!(applied, "{} takes a value", key.name);
        let merged = merge_settings(&current, &changed);
        assert_eq!(merged == changed, key.reloadable, "{}", key.name);
        assert_eq!(merged == current, !key.reloadable, "{}", key.name);
        tried += 1;
    }
    assert!(tried > 15, "{tried} keys were tried");
}

#[tokio::test]
async fn a_lower_body_limit_holds_at_once() {
    let deployment = start(1).await;
    let context = deployment.hosts["host"].context();
    let long = "boots ".repeat(1_000);
    assert_eq!(chat(&deployment, &long, &[]).await.status, 200);
    let mut changed = Settings::clone(&context.live());
    changed.callers.max_body_bytes = 1_024;
    reload_settings(context, &changed).expect("no certificate is named");
    assert_eq!(chat(&deployment, &long, &[]).await.status, 413);
    changed.callers.max_body_bytes = 1_048_576;
    changed.callers.tls_certificate = Some("missing.pem".into());
    changed.callers.tls_key = Some("missing.pem".into());
    reload_settings(context, &changed).expect_err("the certificate is missing");
    assert_eq!(chat(&deployment, &long, &[]).await.status, 413);
}
