//! Section `[routing]` of the settings file.

use std::time::Duration;

use crate::config::setting_key::{SettingKey, parse_duration, parse_integer, store};

/// Load reports, queues, the crash quarantine and claims.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingSettings {
    /// Time between load reports of a backend server.
    pub load_period: Duration,
    /// Maximum time until a leaving backend server gets no new work.
    pub leaving_bound: Duration,
    /// Maximum time that a request waits for a free server.
    pub queue_timeout: Duration,
    /// Maximum number of requests that wait on the host.
    pub max_queued: u32,
    /// Time for which a request that crashed two servers is refused.
    pub quarantine_time: Duration,
    /// Time for which the outcome of a claim is kept.
    pub claim_retention: Duration,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            load_period: Duration::from_millis(500),
            leaving_bound: Duration::from_secs(3),
            queue_timeout: Duration::from_secs(5),
            max_queued: 2_000,
            quarantine_time: Duration::from_secs(600),
            claim_retention: Duration::from_secs(86400),
        }
    }
}

/// Keys of section `[routing]`.
pub(crate) const KEYS: &[SettingKey] = &[
    SettingKey {
        section: "routing",
        name: "load_period",
        unit: "duration",
        default: "500ms",
        range: "50ms to 30s",
        description: "Time between load reports of a backend server.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.routing.load_period,
                parse_duration(text, Duration::from_millis(50), Duration::from_secs(30)),
            )
        },
    },
    SettingKey {
        section: "routing",
        name: "leaving_bound",
        unit: "duration",
        default: "3s",
        range: "100ms to 30s",
        description: "Maximum time until a leaving backend server gets no new work.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.routing.leaving_bound,
                parse_duration(text, Duration::from_millis(100), Duration::from_secs(30)),
            )
        },
    },
    SettingKey {
        section: "routing",
        name: "queue_timeout",
        unit: "duration",
        default: "5s",
        range: "0s to 5m",
        description: "Maximum time that a request waits for a free server.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.routing.queue_timeout,
                parse_duration(text, Duration::from_millis(0), Duration::from_secs(300)),
            )
        },
    },
    SettingKey {
        section: "routing",
        name: "max_queued",
        unit: "requests",
        default: "2000",
        range: "0 to 100000",
        description: "Maximum number of requests that wait on the host.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.routing.max_queued,
                parse_integer(text, 0, 100000).and_then(|value| u32::try_from(value).ok()),
            )
        },
    },
    SettingKey {
        section: "routing",
        name: "quarantine_time",
        unit: "duration",
        default: "10m",
        range: "1s to 24h",
        description: "Time for which a request that crashed two servers is refused.",
        reloadable: true,
        apply: |settings, text| {
            store(
                &mut settings.routing.quarantine_time,
                parse_duration(text, Duration::from_secs(1), Duration::from_secs(86400)),
            )
        },
    },
    SettingKey {
        section: "routing",
        name: "claim_retention",
        unit: "duration",
        default: "24h",
        range: "1m to 30days",
        description: "Time for which the outcome of a claim is kept.",
        reloadable: false,
        apply: |settings, text| {
            store(
                &mut settings.routing.claim_retention,
                parse_duration(text, Duration::from_secs(60), Duration::from_secs(2592000)),
            )
        },
    },
];
