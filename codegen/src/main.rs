//! Developer tool.
fn main() {}
