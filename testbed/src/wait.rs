//! Waits for what a test brings about.

use std::time::Duration;

/// Time that a test waits for something that must happen.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two looks.
const LOOK_PERIOD: Duration = Duration::from_millis(10);

/// Waits until something holds.
///
/// # Panics
///
/// Panics if that takes longer than a test can wait.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "never came about: {what}");
}
