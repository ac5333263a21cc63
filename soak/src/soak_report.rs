//! The report of a run.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::attempt_end::AttemptEnd;
use crate::budget_rule;
use crate::late_servers::LateServers;
use crate::lost_rule;
use crate::recover_rule;
use crate::request_rules;
use crate::rule_break::{RULES, RuleBreak};
use crate::run_rules;
use crate::soak_options::SoakOptions;
use crate::soak_record::SoakRecord;

/// The verdict by rule and the text that shows it.
#[derive(Debug)]
pub(crate) struct SoakReport {
    /// The breaks of all rules.
    pub(crate) breaks: Vec<RuleBreak>,
    /// Counts and verdicts.
    pub(crate) summary: String,
    /// Every break and every request without a response, with its events in order.
    pub(crate) details: String,
}

impl SoakReport {
    /// Checks all rules.
    pub(crate) fn new(record: &SoakRecord, options: &SoakOptions) -> Self {
        let mut breaks = lost_rule::check(record);
        breaks.extend(run_rules::check(record));
        breaks.extend(request_rules::check(record));
        breaks.extend(budget_rule::check(record));
        breaks.extend(recover_rule::check(record));
        Self {
            summary: summarize(record, &breaks, options),
            details: detail(record, &breaks),
            breaks,
        }
    }
}

/// Returns the counts by cause and the verdict by rule.
fn summarize(record: &SoakRecord, breaks: &[RuleBreak], options: &SoakOptions) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for trace in &record.traces {
        let key = match (trace.end, trace.status) {
            (AttemptEnd::Answered, Some(status)) => format!("answered {status}"),
            (AttemptEnd::Left, _) => trace.end.words().to_owned(),
            _ => lost_rule::describe(record, trace),
        };
        *counts.entry(key).or_default() += 1;
    }
    let mut text = format!("{} requests\n", record.traces.len());
    for (key, count) in counts {
        let _ = writeln!(text, "{count:7} {key}");
    }
    let late = LateServers::count(record);
    let _ = writeln!(
        text,
        "late servers given up: {} of {} that were replaced",
        late.failed.len(),
        late.replaced
    );
    let peak = record.peak_memory.iter().max().unwrap_or(&0);
    let _ = writeln!(text, "most memory of a host: {} MB", peak / 1_000_000);
    if let Some(tries) = recover_rule::describe(record) {
        let _ = writeln!(text, "{tries}");
    }
    for rule in RULES {
        let count = breaks.iter().filter(|found| found.rule == rule).count();
        let verdict = if count == 0 {
            "kept".to_owned()
        } else {
            format!("BROKEN, {count}")
        };
        let _ = writeln!(text, "{rule}: {verdict}");
    }
    let _ = writeln!(text, "again: {}", options.command());
    text
}

/// Returns the events of each break, then of each other request without a response.
fn detail(record: &SoakRecord, breaks: &[RuleBreak]) -> String {
    let mut text = String::new();
    for found in breaks {
        let _ = writeln!(text, "{}: {}", found.rule, found.text);
        if let Some(index) = found.trace {
            text.push_str(&record.story(&record.traces[index]));
        }
    }
    for index in LateServers::count(record).failed {
        text.push_str("late server given up:\n");
        text.push_str(&record.story(&record.traces[index]));
    }
    for (index, trace) in record.traces.iter().enumerate() {
        let is_told = breaks.iter().any(|found| found.trace == Some(index));
        if trace.end.is_cut() && !is_told {
            let is_near = lost_rule::is_countable(record, trace)
                && record.is_stopping(trace)
                && !record.was_host_impaired(trace);
            let why = if is_near {
                " (for a fault at another host)"
            } else {
                ""
            };
            let _ = writeln!(
                text,
                "not counted{why}: {}",
                lost_rule::describe(record, trace)
            );
            text.push_str(&record.story(trace));
        }
    }
    text
}
