//! The rules ROUTE and UNASKED: what servers run is what callers sent, where a configuration sends it.

use std::collections::{BTreeMap, BTreeSet};

use galenamast_platform_standin::ServedRun;

use crate::fault_event::FaultKind;
use crate::request_form;
use crate::request_trace::RequestTrace;
use crate::rule_break::RuleBreak;
use crate::server_pool::{FIRST_VERSION, HEALTH_PATH, ServerVisit};
use crate::soak_record::SoakRecord;

/// Returns the breaks of both rules.
pub(crate) fn check(record: &SoakRecord) -> Vec<RuleBreak> {
    let mut breaks = Vec::new();
    for (index, trace) in record.traces.iter().enumerate() {
        for visit in record.visits(&trace.id) {
            let Some(run) = &visit.run else {
                continue;
            };
            let found = [
                ("ROUTE", check_route(record, trace, visit)),
                ("UNASKED", check_unasked(record, trace, run)),
            ];
            breaks.extend(found.into_iter().filter_map(|(rule, text)| {
                text.map(|text| RuleBreak {
                    rule,
                    text,
                    trace: Some(index),
                })
            }));
        }
    }
    breaks.extend(check_unknown(record));
    breaks
}

/// Returns the runs of requests that no caller sent.
fn check_unknown(record: &SoakRecord) -> impl Iterator<Item = RuleBreak> {
    let visits = record.all_visits();
    let unknown = visits.filter(|(id, visit)| {
        let is_health_check = |run: &ServedRun| run.target == HEALTH_PATH;
        let ran = visit.run.as_ref().is_some_and(|run| !is_health_check(run));
        ran && !record.sent.contains(*id)
    });
    unknown.map(|(id, visit)| RuleBreak {
        rule: "UNASKED",
        text: format!("{} runs {id:?}, which no caller sent", visit.server),
        trace: None,
    })
}

/// A request is run by a service or version to which no configuration ever allowed it to go, or its key
/// was never held.
fn check_route(record: &SoakRecord, trace: &RequestTrace, visit: &ServerVisit) -> Option<String> {
    let (class, key) = (trace.plan.class, trace.plan.key);
    let plans: Vec<_> = record.plans_before(visit.at).collect();
    if !plans.iter().any(|plan| plan.allows(class, &visit.service)) {
        return Some(format!("{} never serves {}", visit.service, class.name));
    }
    if !plans.iter().any(|plan| plan.keys.contains_key(key)) {
        return Some(format!("no configuration holds {key}"));
    }
    let is_ordered = record.faults.iter().any(|event| {
        let ordered = FaultKind::RolloutOrdered(visit.service.clone(), visit.version.clone());
        event.kind == ordered && event.at <= visit.at
    });
    (visit.version != FIRST_VERSION && !is_ordered)
        .then(|| format!("version {} was not ordered", visit.version))
}

/// What a server runs differs from what the caller sent, or its tenant doesn't hold the caller's key.
fn check_unasked(record: &SoakRecord, trace: &RequestTrace, run: &ServedRun) -> Option<String> {
    let (plan, id) = (&trace.plan, &trace.id);
    if run.method != request_form::method(plan) {
        return Some(format!("method {}", run.method));
    }
    if run.target != request_form::target(plan, id) {
        return Some(format!("target {}", run.target));
    }
    if run.body_digest != request_form::digest(&request_form::body(plan, id)) {
        return Some("another body".to_owned());
    }
    let received = |name: &str| -> Vec<String> {
        let values = run.headers.get_all(name).iter();
        values
            .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
            .collect()
    };
    if run.headers.contains_key("authorization") {
        return Some("the key is passed on".to_owned());
    }
    let sent: BTreeMap<_, _> = request_form::headers(plan, id).into_iter().collect();
    for name in request_form::PASSED_HEADERS {
        let expected: Vec<String> = sent.get(name).cloned().into_iter().collect();
        if received(name) != expected {
            return Some(format!(
                "{name} {:?} in place of {expected:?}",
                received(name)
            ));
        }
    }
    let holders: BTreeSet<&str> = if record.was_impaired(trace) {
        let plans = record.plans_before(run.started);
        plans
            .filter_map(|held| held.keys.get(plan.key).copied())
            .collect()
    } else {
        let plans = record.plans_in_force(trace);
        plans
            .filter_map(|held| held.keys.get(plan.key).copied())
            .collect()
    };
    let tenants = received("x-tenant");
    let is_holder = matches!(&tenants[..], [tenant] if holders.contains(tenant.as_str()));
    (!is_holder).then(|| format!("x-tenant {tenants:?}, {} is held by {holders:?}", plan.key))
}
