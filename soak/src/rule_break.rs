//! A rule that was broken.

/// A break of a rule, with what shows it.
#[derive(Clone, Debug)]
pub(crate) struct RuleBreak {
    /// Name of the rule.
    pub(crate) rule: &'static str,
    /// What was seen.
    pub(crate) text: String,
    /// Index of the request that shows it.
    pub(crate) trace: Option<usize>,
}

/// Names of the rules that are checked.
pub(crate) const RULES: [&str; 13] = [
    "LOST", "TWICE", "REFUSED", "MIXED", "ORDER", "UNASKED", "ROUTE", "DRAIN", "CONFIG", "BUDGET",
    "RECOVER", "ENDS", "MEMORY",
];
