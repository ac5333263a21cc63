//! Checks the replies to callers against the runs on servers and the billed usage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use galenamast::transport::{ExportRange, HttpClient, ObjectCalls, ObjectClient, export_usage};
use galenamast_testbed::{Deployment, Fleet};
use serde_json::Value;

use crate::traffic::{Call, CallKind};

/// Request identifiers of the runs of each claim, by idempotency key.
type ClaimRuns = BTreeMap<String, Vec<String>>;

/// Returns the runs on all plain services, by the key of the claim.
pub(crate) fn claim_runs(deployment: &Deployment) -> ClaimRuns {
    let mut found = ClaimRuns::new();
    let services = deployment.services.values();
    for run in services.flat_map(|service| service.runs()) {
        let body: Value = serde_json::from_slice(&run.body).unwrap_or_default();
        let key = body["entry"].as_str().unwrap_or_default().to_owned();
        found.entry(key).or_default().push(run.request_id);
    }
    found
}

/// Returns the identifiers of all billed requests; panics if one is billed twice.
pub(crate) async fn billed(deployment: &Deployment) -> BTreeSet<String> {
    let address = deployment.objects.address();
    let client = ObjectClient::new(HttpClient::new(), address, Duration::from_secs(10));
    let calls = ObjectCalls::from_client(&client);
    let export = export_usage(&calls, ExportRange::default()).await;
    let records = export.expect("the usage can be exported").records;
    let count = records.len();
    let ids: BTreeSet<String> = records
        .iter()
        .map(|record| record.request_id.to_string())
        .collect();
    assert_eq!(ids.len(), count, "a request is billed twice");
    ids
}

/// Checks that no claim ran twice, that every answered claim ran, and that no claim ran whose calls
/// were all refused as not run.
pub(crate) fn check_claims(deployment: &Deployment, calls: &[Call]) {
    let runs = claim_runs(deployment);
    for (key, ids) in &runs {
        assert_eq!(ids.len(), 1, "{key} ran as {ids:?}");
    }
    let mut by_key: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    for call in calls.iter().filter(|call| call.kind == CallKind::Claim) {
        by_key.entry(&call.key).or_default().push(call);
    }
    for (key, calls) in by_key {
        let ran = runs.contains_key(key);
        if calls.iter().any(|call| call.is_answered()) {
            assert!(ran, "{key} was answered but never ran");
        }
        if calls.iter().all(|call| call.is_refused()) {
            assert!(!ran, "{key} was refused as not run, but ran");
        }
    }
}

/// Checks that every answered request is billed.
///
/// Other requests may be billed only for calls that were neither answered nor refused as not run.
pub(crate) async fn check_billing(deployment: &Deployment, calls: &[Call]) {
    let billed = billed(deployment).await;
    let runs = claim_runs(deployment);
    let mut answered = BTreeSet::new();
    let mut undecided = 0;
    for call in calls {
        if !call.is_answered() {
            undecided += usize::from(!call.is_refused());
            continue;
        }
        let id = match call.kind {
            CallKind::Claim => runs.get(&call.key).and_then(|ids| ids.first()),
            _ => None,
        };
        let id = id.map(String::as_str).or(call.header("x-request-id"));
        answered.insert(id.expect("an answer names its request").to_owned());
    }
    let missing: Vec<&String> = answered.difference(&billed).collect();
    assert!(missing.is_empty(), "not billed: {missing:?}");
    let surplus: Vec<&String> = billed.difference(&answered).collect();
    assert!(
        surplus.len() <= undecided,
        "billed without an answer: {surplus:?}, {undecided} calls neither answered nor refused"
    );
}

/// Stops a fleet and checks claims and billing for all its calls.
pub(crate) async fn check_all(fleet: Fleet, calls: &[Call]) {
    let deployment = fleet.stop().await;
    check_claims(&deployment, calls);
    check_billing(&deployment, calls).await;
}

/// Checks that every call got a complete answer.
pub(crate) fn check_answered(calls: &[Call]) {
    let unanswered: Vec<&Call> = calls.iter().filter(|call| !call.is_answered()).collect();
    assert!(
        unanswered.is_empty(),
        "{} of {} calls unanswered, the first is {:?}",
        unanswered.len(),
        calls.len(),
        unanswered[0]
    );
}
