//! Limits on requests that are sent more than once.

mod retry_budget;

pub use retry_budget::{BudgetSettings, RetryBudget, RetryPurpose};
