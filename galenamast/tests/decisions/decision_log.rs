//! `explain` finds the decisions of a request and suggests similar ids for an unknown one.

use galenamast::protocol::{DecisionRecord, LogRecord, explain_log};
use galenamast::state::{RequestId, TimePoint, plan_route};

use crate::fixture::{image, request, server, tables};

fn line(id: &str) -> String {
    let tables = tables([server("s1", "here")]);
    let record = DecisionRecord {
        request_id: id.parse().unwrap_or(RequestId::default()),
        attempt: 0,
        workspace: "desk".into(),
        task: "advice".into(),
        session: None,
        decision: plan_route(&request(), &image(), &tables, TimePoint::ZERO, 7),
    };
    serde_json::to_string(&LogRecord::Decision(record)).expect("the record serialises")
}

const ID: &str = "01900000-0000-7000-8000-000000000001";

#[test]
fn a_decision_is_rendered_with_each_candidate() {
    let line = line(ID);
    let explanation = explain_log([line.as_str()].into_iter(), ID);
    insta::assert_snapshot!(explanation.text);
}

#[test]
fn similar_ids_and_malformed_lines_are_reported() {
    let line = line(ID);
    let lines = [line.as_str(), "not json", ""];
    let explanation = explain_log(lines.into_iter(), "01900000-0000-7000-8000-000000000002");
    assert!(explanation.text.is_empty());
    assert_eq!(explanation.similar_ids, [ID]);
    assert_eq!(explanation.malformed[0].0, 2);
    let explanation = explain_log([line.as_str()].into_iter(), "ffff");
    assert!(explanation.similar_ids.is_empty());
}
