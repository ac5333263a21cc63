//! Renders the decision records of a log as readable text.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::protocol::decision_record::DecisionRecord;
use crate::protocol::log_record::LogRecord;
use crate::state::RouteOutcome;

/// Minimum similarity, from 0 to 1, at which an identifier is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.8;
/// Maximum number of identifiers that are suggested.
const MAX_SUGGESTIONS: usize = 3;

/// The decisions that a log holds on one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogExplanation {
    /// The request's decisions as text; empty if there are none.
    pub text: String,
    /// Identifiers in the log that resemble the wanted one, if the log has no decision on it.
    pub similar_ids: Vec<String>,
    /// Lines that could not be decoded: line number from one, and the reason.
    pub malformed: Vec<(usize, String)>,
}

/// Collects and renders the decisions on a request from the lines of a log.
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

/// Returns the known identifiers most similar to the wanted one.
fn similar_ids(known: &BTreeSet<String>, wanted: &str) -> Vec<String> {
    let mut similar: Vec<(f64, &String)> = known
        .iter()
        .map(|id| (similarity(id, wanted), id))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .collect();
    similar.sort_by(|left, right| right.0.total_cmp(&left.0));
    let similar = similar.into_iter().take(MAX_SUGGESTIONS);
    similar.map(|(_, id)| id.clone()).collect()
}

/// Returns the similarity of an identifier to the wanted one, from 0 to 1.
///
/// A prefix of at least four characters counts as fully similar.
fn similarity(id: &str, wanted: &str) -> f64 {
    if wanted.len() >= 4 && id.starts_with(wanted) {
        return 1.0;
    }
    strsim::normalized_levenshtein(id, wanted)
}

/// Appends a decision to the text.
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
        RouteOutcome::Refuse(reason) => format!("refused, not run: {}", variant_words(reason)),
    };
    let reason = decision.reason.as_ref().map_or(String::new(), |reason| {
        format!(" ({})", variant_words(reason))
    });
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
            variant_words(&candidate.verdict),
            candidate.quality,
            candidate.quality_bound,
            candidate.price
        );
    }
}

/// Returns the serialised name of a unit variant, with spaces for underscores.
fn variant_words(value: &impl serde::Serialize) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    text.trim_matches('"').replace('_', " ")
}
