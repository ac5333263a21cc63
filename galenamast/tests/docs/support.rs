//! Access to the documentation pages.

use std::fs;
use std::path::{Path, PathBuf};

/// Returns the root of the workspace.
pub(crate) fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Reads a file, given its path relative to the root.
pub(crate) fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Lists the files with an extension in a directory, given its path relative to the root.
pub(crate) fn list(directory: &str, extension: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(root().join(directory)).expect("the directory exists");
    let paths = entries.map(|entry| entry.expect("the entry is readable").path());
    let mut paths: Vec<PathBuf> = paths
        .filter(|path| path.extension().is_some_and(|found| found == extension))
        .collect();
    paths.sort();
    paths
}

/// Returns the path and text of `README.md` and every page in `docs`.
pub(crate) fn pages() -> Vec<(PathBuf, String)> {
    let mut paths = list("docs", "md");
    paths.push(root().join("README.md"));
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).expect("the page is readable");
        (path, text)
    };
    paths.into_iter().map(read).collect()
}
