//! The description of one key of a declarative file.

use std::collections::BTreeMap;

use crate::config::setting_key::name;
use crate::state::TaskName;

/// A key of a declarative file: its documentation and how its value is applied.
///
/// A key whose name ends with a dot stands for every key with that prefix.
#[derive(Clone, Copy, Debug)]
pub struct ObjectField<T> {
    /// Name of the key.
    pub name: &'static str,
    /// Default value as it would be written.
    pub default: &'static str,
    /// Allowed values.
    pub range: &'static str,
    /// What the value does.
    pub description: &'static str,
    /// Applies a value, given what follows the prefix; returns whether it is allowed.
    pub apply: fn(&mut T, &str, &str) -> bool,
}

/// Parses a number within bounds.
pub(crate) fn number(text: &str, low: f64, high: f64) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|value| (low..=high).contains(value))
}

/// Stores a ratio from 0 to 1 for a task; returns whether both are allowed.
pub(crate) fn store_task_ratio(
    ratios: &mut BTreeMap<TaskName, f64>,
    task: &str,
    text: &str,
) -> bool {
    let (Some(task), Some(ratio)) = (name(task), number(text, 0.0, 1.0)) else {
        return false;
    };
    ratios.insert(task.into(), ratio);
    true
}

/// Parses a list of names separated by commas.
pub(crate) fn name_list<C: FromIterator<N>, N: for<'a> From<&'a str>>(text: &str) -> Option<C> {
    let parts = text.split(',').map(str::trim);
    let names = parts.filter(|part| !part.is_empty());
    names.map(|part| name(part).map(N::from)).collect()
}
