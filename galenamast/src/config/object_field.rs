//! Description of one key of a declarative file, and parsers of values.

use std::collections::BTreeMap;

use crate::config::setting_key::parse_name;
use crate::state::TaskName;

/// A key of a declarative file: its documentation and how its value is applied.
///
/// A key whose name ends with a dot describes every key with that prefix.
#[derive(Clone, Copy, Debug)]
pub struct ObjectField<T> {
    /// Name of the key, or a prefix that ends with a dot.
    pub name: &'static str,
    /// Default value as written in a file; empty for none.
    pub default: &'static str,
    /// Allowed values, in words.
    pub range: &'static str,
    /// What the value controls.
    pub description: &'static str,
    /// Parses a value into the object; returns false if it is not allowed.
    ///
    /// The second argument is the part of the key after the prefix, the third the value.
    pub apply: fn(&mut T, &str, &str) -> bool,
}

/// Parses a number within inclusive bounds.
pub(crate) fn parse_number(text: &str, low: f64, high: f64) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|value| (low..=high).contains(value))
}

/// Stores a ratio from 0 to 1 for a task; returns false if the task's name or the ratio is invalid.
pub(crate) fn store_task_ratio(
    ratios: &mut BTreeMap<TaskName, f64>,
    task: &str,
    text: &str,
) -> bool {
    let (Some(task), Some(ratio)) = (parse_name(task), parse_number(text, 0.0, 1.0)) else {
        return false;
    };
    ratios.insert(task.into(), ratio);
    true
}

/// Parses a comma-separated list of names; an empty value gives an empty collection.
pub(crate) fn parse_name_list<C: FromIterator<N>, N: for<'a> From<&'a str>>(
    text: &str,
) -> Option<C> {
    let parts = text.split(',').map(str::trim);
    let names = parts.filter(|part| !part.is_empty());
    names.map(|part| parse_name(part).map(N::from)).collect()
}
