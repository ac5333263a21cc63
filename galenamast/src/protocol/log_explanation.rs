//! Renders decision lines of a log for a person.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::protocol::decision_record::DecisionRecord;
use crate::protocol::log_record::LogRecord;
use crate::state::RouteOutcome;

/// Similarity from which an identifier is suggested in place of an unknown one.
const NEAR_SIMILARITY: f64 = 0.8;
/// Greatest number of identifiers that are suggested.
const MAX_SUGGESTIONS: usize = 3;

/// What a log says of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogExplanation {
    /// The request's decisions; empty if there are none.
    pub text: String,
    /// Identifiers in the log that are close to an unknown one.
    pub similar_ids: Vec<String>,
    /// Lines that could not be read, by number from one, with the reason.
    pub malformed: Vec<(usize, String)>,
}

/// Explains the decisions on a request.
///
/// ```
/// use galenamast::protocol::explain_log;
///
/// let explanation = explain_log(["{"].into_iter(), "0190");
/// assert!(explanation.text.is_empty());
/// assert_eq!(explanation.malformed[0].0, 1);
/// ```
pub fn explain_log<'a>(lines: impl Iterator<Item = &'a str>, request: &str) -> LogExplanation {
    let mut explanation = LogExplanation::default();
    let mut known = BTreeSet::new();
    let wanted = request.trim().to_ascii_lowercase();
    for (index, line) in lines.enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str::<LogRecord>(line) {
            Ok(LogRecord::Decision(record)) => {
                let id = record.request_id.to_string();
                if id == wanted {
                    render(&record, &mut explanation.text);
                }
                known.insert(id);
            }
            Ok(_) => {}
            Err(error) => explanation.malformed.push((index + 1, error.to_string())),
        }
    }
    if explanation.text.is_empty() {
        explanation.similar_ids = similar_ids(&known, &wanted);
    }
    explanation
}

/// Returns the identifiers that are closest to an unknown one.
fn similar_ids(known: &BTreeSet<String>, wanted: &str) -> Vec<String> {
    let mut near: Vec<(f64, &String)> = known
        .iter()
        .map(|id| (similarity(id, wanted), id))
        .filter(|(similarity, _)| *similarity >= NEAR_SIMILARITY)
        .collect();
    near.sort_by(|left, right| right.0.total_cmp(&left.0));
    let near = near.into_iter().take(MAX_SUGGESTIONS);
    near.map(|(_, id)| id.clone()).collect()
}

/// Returns how close an identifier is to a wanted one; a start of it is as close as can be.
fn similarity(id: &str, wanted: &str) -> f64 {
    if wanted.len() >= 4 && id.starts_with(wanted) {
        return 1.0;
    }
    strsim::normalized_levenshtein(id, wanted)
}

/// Renders a decision.
fn render(record: &DecisionRecord, text: &mut String) {
    let decision = &record.decision;
    let outcome = match &decision.outcome {
        RouteOutcome::Dispatch(target) => format!(
            "{} on {} in {}",
            target.version, target.server, target.domain
        ),
        RouteOutcome::Cascade(plan) => format!(
            "{} on {} in {}, then {} if rated below {:.2}",
            plan.first.version,
            plan.first.server,
            plan.first.domain,
            plan.escalation,
            plan.accept_rating
        ),
        RouteOutcome::Queue(pool) => format!("waits for a server of pool {pool}"),
        RouteOutcome::Refuse(reason) => format!("refused, not run: {}", words(reason)),
    };
    let reason = decision
        .reason
        .as_ref()
        .map_or(String::new(), |reason| format!(" ({})", words(reason)));
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "request {} attempt {}: {outcome}{reason}",
        record.request_id, record.attempt
    );
    let _ = writeln!(
        text,
        "  workspace {}, task {}, session {}, generation {}, seed {}",
        record.workspace,
        record.task,
        record
            .session
            .as_ref()
            .map_or("none", |session| session.as_str()),
        decision.generation,
        decision.seed
    );
    for candidate in &decision.candidates {
        let _ = writeln!(
            text,
            "  {:<24} {:<14} quality {:.3} (at least {:.3}), price {}",
            candidate.version.to_string(),
            words(&candidate.verdict),
            candidate.quality,
            candidate.quality_bound,
            candidate.price
        );
    }
}

/// Returns the words of a unit variant, as the log names it.
fn words(value: &impl serde::Serialize) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    text.trim_matches('"').replace('_', " ")
}
