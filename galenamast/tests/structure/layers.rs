//! Each layer uses only lower layers, and the lowest two read no clock.

use std::fs;
use std::path::{Path, PathBuf};

/// Layers from the highest to the lowest.
const LAYERS: [&str; 4] = ["transport", "protocol", "coordination", "state"];

/// Lists the Rust files in a directory and its subdirectories.
fn rust_files(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).expect("the layer's directory exists") {
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
fn layers_use_only_lower_layers() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut violations = Vec::new();
    for (index, layer) in LAYERS.iter().enumerate() {
        for path in rust_files(&source.join(layer)) {
            let text = fs::read_to_string(&path).expect("the file is readable");
            for higher in &LAYERS[..index] {
                let import = format!("crate::{higher}");
                if text.contains(&import) {
                    violations.push(format!("{} uses {import}", path.display()));
                }
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn lower_layers_read_no_clock() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let clocks = ["Instant::now", "SystemTime", "tokio::time"];
    let mut violations = Vec::new();
    for layer in ["coordination", "state"] {
        for path in rust_files(&source.join(layer)) {
            let text = fs::read_to_string(&path).expect("the file is readable");
            for clock in clocks.iter().filter(|clock| text.contains(**clock)) {
                violations.push(format!("{} uses {clock}", path.display()));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
