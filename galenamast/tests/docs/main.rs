//! The pages are current and what they show works.

mod commands;
mod examples;
mod pages;
mod support;
