//! Checks that the documentation is current and that its commands and examples work.

mod commands;
mod examples;
mod pages;
mod support;
