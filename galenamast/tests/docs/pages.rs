//! Generated pages are current, complete, and refer only to existing files and tests.

use std::fs;

use galenamast::commands::docs::{PAGES, page_text};
use galenamast::transport::metrics_catalogue::METRICS;

use crate::support::{pages, read, root};

/// Environment variable that makes `generated_pages_are_current` write the generated pages.
const UPDATE: &str = "UPDATE_PAGES";

#[test]
fn generated_pages_are_current() {
    for page in PAGES {
        let path = format!("docs/{}.md", page.to_uppercase());
        let expected = page_text(page).expect("the page exists");
        if std::env::var_os(UPDATE).is_some() {
            fs::write(root().join(&path), &expected).expect("the page can be written");
        }
        let found = read(&path);
        assert!(
            found == expected,
            "{path} is not current; run this test with {UPDATE}=1"
        );
    }
}

#[test]
fn metrics_page_lists_each_metric() {
    let page = read("docs/METRICS.md");
    for metric in METRICS {
        assert!(
            page.contains(&format!("| `{}` |", metric.name)),
            "{}",
            metric.name
        );
    }
}

#[test]
fn log_page_lists_each_event() {
    let page = read("docs/LOGS.md");
    let source = read("galenamast/src/protocol/log_record.rs");
    let start = source
        .find("pub enum LogRecord")
        .expect("the enumeration exists");
    let body = &source[start..];
    let body = &body[..body.find("\n}").expect("the enumeration ends")];
    for line in body.lines().skip(1) {
        let variant = line.strip_prefix("    ").unwrap_or_default();
        if !variant.starts_with(|first: char| first.is_ascii_uppercase()) {
            continue;
        }
        let name: String = variant
            .chars()
            .take_while(char::is_ascii_alphanumeric)
            .collect();
        let event = galenamast::protocol::operator_json::snake_name(&VariantName(&name));
        assert!(
            page.contains(&format!("`{event}`")),
            "docs/LOGS.md lacks `{event}`"
        );
    }
}

/// Formats a variant name with `Debug` without quotes, as a variant itself would be.
struct VariantName<'a>(&'a str);

impl std::fmt::Debug for VariantName<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.0)
    }
}

#[test]
fn linked_files_exist() {
    for (path, text) in pages() {
        let directory = path.parent().expect("a page has a parent directory");
        for part in text.split("](").skip(1) {
            let target = part.split([')', '#']).next().unwrap_or_default();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            assert!(
                directory.join(target).exists(),
                "{}: {target}",
                path.display()
            );
        }
    }
}

#[test]
fn named_tests_exist() {
    let page = read("docs/TESTING.md");
    let mut named = 0;
    for line in page.lines() {
        for part in line.split('`').skip(1).step_by(2) {
            let Some((file, test)) = part.split_once("::") else {
                continue;
            };
            if !file.ends_with(".rs") {
                continue;
            }
            let source = read(file);
            assert!(
                source.contains(&format!("fn {test}(")),
                "{part} does not exist"
            );
            named += 1;
        }
    }
    assert!(named > 0, "docs/TESTING.md names no tests");
}
