//! Bounds on what is sent more than once.

mod retry_budget;

pub use retry_budget::{BudgetSettings, RetryBudget, RetryPurpose};
