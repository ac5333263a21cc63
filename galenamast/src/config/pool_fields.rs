//! Keys of sections `[pool NAME]` and `[service NAME]` of a declarative file.

use std::time::Duration;

use crate::config::object_field::{ObjectField, parse_name_list};
use crate::config::setting_key::{parse_duration, parse_flag, parse_integer, parse_name, store};
use crate::state::{PoolKind, PoolSpec, ServiceRule, ServiceSpec};

/// Parses the kind of a pool's servers.
fn parse_pool_kind(text: &str) -> Option<PoolKind> {
    match text {
        "engine" => Some(PoolKind::Engine),
        "service" => Some(PoolKind::Service),
        _ => None,
    }
}

/// Parses a rule: method, path prefix and `idempotent` or `once`, separated by spaces.
fn parse_service_rule(text: &str) -> Option<ServiceRule> {
    let parts: Vec<&str> = text.split_whitespace().collect();
    let [method, path_prefix, repeatability] = parts[..] else {
        return None;
    };
    let idempotent = match repeatability {
        "idempotent" => true,
        "once" => false,
        _ => return None,
    };
    path_prefix.starts_with('/').then(|| ServiceRule {
        method: method.into(),
        path_prefix: path_prefix.into(),
        idempotent,
    })
}

/// Keys of a pool.
pub(crate) const POOL_FIELDS: &[ObjectField<PoolSpec>] = &[
    ObjectField {
        name: "kind",
        default: "engine",
        range: "engine or service",
        description: "Kind of the pool's servers.",
        apply: |spec, _, text| store(&mut spec.kind, parse_pool_kind(text)),
    },
    ObjectField {
        name: "checks_fencing",
        default: "false",
        range: "true or false",
        description: "Whether the servers refuse orders with an outdated fencing number.",
        apply: |spec, _, text| store(&mut spec.checks_fencing, parse_flag(text)),
    },
    ObjectField {
        name: "slots_per_server",
        default: "32",
        range: "1 to 100000 requests",
        description: "Requests that one server runs at once before it queues.",
        apply: |spec, _, text| {
            let parsed =
                parse_integer(text, 1, 100_000).and_then(|value| u32::try_from(value).ok());
            store(&mut spec.slots_per_server, parsed)
        },
    },
    ObjectField {
        name: "attempt_timeout",
        default: "60s",
        range: "100ms to 1h",
        description: "Time after which an attempt without any answer is abandoned.",
        apply: |spec, _, text| {
            let parsed =
                parse_duration(text, Duration::from_millis(100), Duration::from_secs(3_600));
            store(&mut spec.attempt_timeout, parsed)
        },
    },
    ObjectField {
        name: "memory_mib",
        default: "81920",
        range: "1 to 100000000 MiB",
        description: "Memory for the weights of versions on one server.",
        apply: |spec, _, text| store(&mut spec.memory_mib, parse_integer(text, 1, 100_000_000)),
    },
    ObjectField {
        name: "drained_servers",
        default: "",
        range: "names separated by commas",
        description: "Servers that take no new work; if left out, an existing pool keeps its list.",
        apply: |spec, _, text| store(&mut spec.drained_servers, parse_name_list(text)),
    },
];

/// Keys of a service.
pub(crate) const SERVICE_FIELDS: &[ObjectField<ServiceSpec>] = &[
    ObjectField {
        name: "pool",
        default: "",
        range: "the name of a pool",
        description: "Pool of backend servers that run the service.",
        apply: |spec, _, text| store(&mut spec.pool, parse_name(text).map(Into::into)),
    },
    ObjectField {
        name: "rule.",
        default: "",
        range: "METHOD PATH-PREFIX idempotent|once, with `*` for any method",
        description: "Rule for calls; the first matching rule in the order of the file applies.",
        apply: |spec, _, text| match parse_service_rule(text) {
            Some(rule) => {
                spec.rules.push(rule);
                true
            }
            None => false,
        },
    },
];
