//! Waits for conditions in tests.

use std::time::Duration;

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a condition holds; `what` names it in the panic message.
///
/// # Panics
///
/// Panics if the condition does not hold within 60 seconds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "timed out after {WAIT_TIMEOUT:?}: {what}");
}
