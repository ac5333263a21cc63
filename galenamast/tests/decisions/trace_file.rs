//! Traces are read back as they were written, and read errors name the line and the field.

use std::time::Duration;

use galenamast::replay::{SynthSettings, WorkloadName, read_trace, synthesize_trace, write_trace};

fn valid_trace_text() -> String {
    let settings = SynthSettings {
        workload: WorkloadName::Saurashtra,
        duration: Duration::from_secs(20),
        ..Default::default()
    };
    let mut bytes = Vec::new();
    let trace = synthesize_trace(&settings);
    write_trace(&trace, &mut bytes).expect("writing to memory succeeds");
    assert_eq!(
        read_trace(bytes.as_slice()).expect("the written trace is valid"),
        trace
    );
    String::from_utf8(bytes).expect("JSON is UTF-8")
}

#[test]
fn errors_name_line_and_field() {
    let text = valid_trace_text();
    let cases = [
        (
            "\"version\":1,",
            "\"version\":9,",
            "line 1, field `version`: must be 1, the only version known",
        ),
        (
            "\"window_ms\":3333",
            "\"window_ms\":0",
            "line 1, field `window_ms`: must be above 0",
        ),
        (
            "\"quality\":0",
            "\"quality\":7",
            "field `answers`: quality and rating must be 0 to 1",
        ),
        (
            "\"event\":\"request\"",
            "\"event\":\"reqest\"",
            "unknown variant `reqest`",
        ),
        (
            "\"prompt_tokens\"",
            "\"prompt_token\"",
            "missing field `prompt_tokens`",
        ),
        (
            "\"rollout\":\"medium-next\"",
            "\"rollout\":\"other\"",
            "line 2, field `rollout`",
        ),
    ];
    for (from, to, expected) in cases {
        assert!(text.contains(from), "{from}");
        let broken = text.replacen(from, to, 1);
        let error = read_trace(broken.as_bytes())
            .expect_err(expected)
            .to_string();
        assert!(error.contains(expected), "{error}");
        assert!(error.starts_with("line "), "{error}");
    }
    let mut lines: Vec<&str> = text.lines().collect();
    lines[1..].reverse();
    let error = read_trace(lines.join("\n").as_bytes()).expect_err("out of order");
    assert!(error.to_string().contains("field `at_ms`"), "{error}");
    let error = read_trace("".as_bytes()).expect_err("empty").to_string();
    assert_eq!(error, "line 1, field `format`: the header is missing");
}
