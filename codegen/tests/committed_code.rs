//! Guards against a schema change without regenerating the committed operator protocol code.

use std::fs;

use galenamast_codegen::{GENERATED_FILE, committed_directory, generate_into};

#[test]
fn committed_code_matches_the_schema() {
    let directory = tempfile::tempdir().expect("a temporary directory can be made");
    generate_into(directory.path()).expect("the schema is valid");
    let expected = fs::read_to_string(directory.path().join(GENERATED_FILE))
        .expect("the generator wrote its file");
    let committed = fs::read_to_string(committed_directory().join(GENERATED_FILE))
        .expect("the committed code exists");
    assert!(
        committed == expected,
        "the committed code is not current; run `cargo run -p galenamast-codegen`"
    );
}
