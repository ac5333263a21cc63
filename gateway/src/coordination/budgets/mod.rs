//! Bounds on what is sent more than once.

mod repeat_budget;

pub use repeat_budget::{BudgetSettings, RepeatBudget, RepeatPurpose};
