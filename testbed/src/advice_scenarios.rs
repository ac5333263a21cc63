//! Scenarios of the advice deployment: a cascade, a session and a call resent to another host.

use galenamast::coordination::ConfigObject;
use http::Method;
use serde_json::json;

use crate::deployment::DeploymentOptions;
use crate::scenario_context::ScenarioContext;
use crate::scenario_report::{ScenarioError, ScenarioReport};

/// Price of the cheap version's tokens, in micro-units of currency per thousand.
const CHEAP_PRICE: u64 = 1_000;
/// Price of the expensive version's tokens, in micro-units of currency per thousand.
const EXPENSIVE_PRICE: u64 = 30_000;
/// Quality of the cheap version's answers, below the quality that the cascade accepts.
const CHEAP_QUALITY: f64 = 0.5;
/// Requests among which a cascade must answer one; a few go to exploration instead.
const CASCADE_REQUESTS: usize = 10;
/// Further requests of the session, sent to the hosts in turn.
const SESSION_REQUESTS: usize = 6;

/// Starts a deployment with a cheap and an expensive version of one model.
///
/// # Errors
///
/// Returns an error if the deployment cannot start.
pub async fn start_advice() -> Result<ScenarioContext, ScenarioError> {
    let context = ScenarioContext::start(DeploymentOptions::nieve_alta(), set_prices).await?;
    for engine in context.deployment.engines.values() {
        engine.change(|options| {
            options
                .versions
                .insert("advice@small".into(), CHEAP_QUALITY);
        });
    }
    Ok(context)
}

/// Makes the large version far more expensive than the small one.
fn set_prices(documents: &mut Vec<ConfigObject>) {
    for document in documents {
        if let ConfigObject::Model(model) = document {
            for (name, price) in [("small", CHEAP_PRICE), ("large", EXPENSIVE_PRICE)] {
                if let Some(version) = model.versions.get_mut(&name.into()) {
                    version.input_price = price;
                    version.output_price = price * 3;
                }
            }
        }
    }
}

/// Checks that a cheap answer that is rated too low is escalated to the expensive version.
///
/// # Errors
///
/// Returns an error if a request is not answered.
pub async fn check_cascade(
    context: &mut ScenarioContext,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let mut observed = "no request was answered by a cascade".to_owned();
    let mut passed = false;
    for index in 0..CASCADE_REQUESTS {
        let reply = context.chat(index, &[]).await?;
        let id = reply.header("x-request-id").unwrap_or_default();
        let tried = versions_tried(context, id);
        let text = reply.content();
        if tried.len() == 2 && tried.contains(&"advice@small".to_owned()) {
            passed = reply.header("x-version") == Some("large") && text.ends_with("quality=0.95");
            observed = format!("ran {}; delivered {text:?}", tried.join(" and "));
            break;
        }
    }
    let expectation = "a cheap answer rated too low is escalated";
    report.add(&context.workspace, expectation, observed, passed);
    Ok(())
}

/// Returns the versions that engines ran for a request, in alphabetical order.
fn versions_tried(context: &ScenarioContext, request_id: &str) -> Vec<String> {
    let engines = context.deployment.engines.values();
    let runs = engines.flat_map(|engine| engine.runs());
    let matching = runs.filter(|run| run.request_id == request_id);
    let mut tried: Vec<String> = matching.map(|run| run.version).collect();
    tried.sort();
    tried
}

/// Checks that a session keeps its version on every host.
///
/// # Errors
///
/// Returns an error if a request is not answered.
pub async fn check_session(
    context: &mut ScenarioContext,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let first = context.chat(0, &[]).await?;
    let token = first.header("x-session-token").unwrap_or_default();
    let token = token.to_owned();
    let version = first.header("x-version").unwrap_or_default().to_owned();
    let mut kept = 0;
    for index in 1..=SESSION_REQUESTS {
        let reply = context.chat(index, &[("x-session-token", &token)]).await?;
        kept += usize::from(reply.header("x-version") == Some(version.as_str()));
    }
    let observed = format!("{kept} of {SESSION_REQUESTS} on other hosts kept {version}");
    let passed = kept == SESSION_REQUESTS && !token.is_empty();
    let expectation = "a session keeps its version";
    report.add(&context.workspace, expectation, observed, passed);
    Ok(())
}

/// Checks that a call resent to another host gets the stored answer and is not run again.
///
/// # Errors
///
/// Returns an error if the first call is not answered.
pub async fn check_claim(
    context: &mut ScenarioContext,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let body = json!({ "amount": 40 });
    let path = format!("/svc/{}/deposit", context.deployment.options.service_pool);
    let headers = [("idempotency-key", "deposit-1")];
    let mut replies = Vec::new();
    for host in 0..2 {
        let address = context.host(host);
        let call = context
            .caller()
            .send(Method::POST, address, &path, Some(&body), &headers);
        replies.push(call.await?);
    }
    let first = context.record_answer(replies[0].clone())?;
    let services = context.deployment.services.values();
    let runs: usize = services.map(|service| service.runs().len()).sum();
    let same = replies[1].status == 200 && replies[1].body == first.body;
    let answer = if same { "the stored" } else { "another" };
    let observed = format!("{runs} run at the services; the resend got {answer} answer");
    let expectation = "a resend to another host gets the stored answer";
    report.add(&context.workspace, expectation, observed, runs == 1 && same);
    Ok(())
}
