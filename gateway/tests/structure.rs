//! Checks on the structure of the source tree.

use std::fs;
use std::path::{Path, PathBuf};

/// Layers from the highest to the lowest.
const LAYERS: [&str; 4] = ["transport", "protocol", "coordination", "state"];

/// Lists the Rust files below a directory.
fn rust_files(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).expect("the directory exists") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

#[test]
fn layers_use_only_lower_layers_and_decisions_read_no_clock() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut violations = Vec::new();
    for (index, layer) in LAYERS.iter().enumerate() {
        for path in rust_files(&source.join(layer)) {
            let text = fs::read_to_string(&path).expect("the file is readable");
            for higher in &LAYERS[..index] {
                if text.contains(&format!("crate::{higher}")) {
                    violations.push(format!("{} uses {higher}", path.display()));
                }
            }
            let is_clock_free = *layer == "coordination" || *layer == "state";
            let reads_clock = ["Instant::now", "SystemTime", "tokio::time"];
            if is_clock_free && reads_clock.iter().any(|clock| text.contains(clock)) {
                violations.push(format!("{} reads a clock", path.display()));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn platform_header_names_stay_in_the_platform_crate() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let names = [
        "x-attempt-id",
        "x-prompt-prefix",
        "x-token-counts",
        "store_revision",
        "x-tenant",
        "server-limit",
        "server-leaving",
        "store-era",
        "x-cold-milliseconds",
        "cold_remaining_ms",
        "cold_per_s",
        "evacuate_ms",
        "cache_tokens",
    ];
    let mut violations = Vec::new();
    for folder in ["gateway/src", "galenamast/src", "program/src"] {
        for path in rust_files(&root.join(folder)) {
            let text = fs::read_to_string(&path)
                .expect("the file is readable")
                .to_lowercase();
            if names.iter().any(|name| text.contains(name)) {
                violations.push(path);
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
