//! Reads the pages of the project.

use std::fs;
use std::path::{Path, PathBuf};

/// Returns the root of the workspace.
pub(crate) fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Reads a file below the root.
pub(crate) fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Lists the files of a directory below the root that have an extension.
pub(crate) fn list(directory: &str, extension: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(root().join(directory)).expect("the directory exists");
    let paths = entries.map(|entry| entry.expect("the entry is readable").path());
    let mut paths: Vec<PathBuf> = paths
        .filter(|path| path.extension().is_some_and(|found| found == extension))
        .collect();
    paths.sort();
    paths
}

/// Lists every page with its path.
pub(crate) fn pages() -> Vec<(PathBuf, String)> {
    let mut paths = list("docs", "md");
    paths.push(root().join("README.md"));
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).expect("the page is readable");
        (path, text)
    };
    paths.into_iter().map(read).collect()
}
