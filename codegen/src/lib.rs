//! Generates the Rust code of the operator protocol from its schema, without `protoc`.

use std::error::Error;
use std::path::{Path, PathBuf};

/// Schema of the operator protocol, relative to the root of the workspace.
const SCHEMA: &str = "proto/galenamast/v1/operator.proto";
/// Directory in which schema imports are resolved, relative to the root of the workspace.
const INCLUDE: &str = "proto";
/// Directory of the committed code, relative to the root of the workspace.
const COMMITTED: &str = "galenamast/src/generated";
/// Name of the generated file, which is the name of the schema's package.
pub const GENERATED_FILE: &str = "galenamast.v1.rs";

/// Enumeration fields that are serialised by the name of their value, with the enumeration.
const ENUM_FIELDS: [(&str, &str); 5] = [
    ("EntryChange.action", "EntryAction"),
    ("Refusal.code", "RefusalCode"),
    ("Version.stage", "VersionStage"),
    ("Pool.kind", "PoolKind"),
    ("Rollout.phase", "RolloutPhase"),
];

/// Returns the root of the workspace.
pub fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the directory of the committed code.
pub fn committed_directory() -> PathBuf {
    workspace_root().join(COMMITTED)
}

/// Generates the code of the schema into a directory.
///
/// # Errors
///
/// Returns an error if the schema is invalid or the directory cannot be written.
pub fn generate_into(directory: &Path) -> Result<(), Box<dyn Error>> {
    let root = workspace_root();
    let descriptors = protox::compile([root.join(SCHEMA)], [root.join(INCLUDE)])?;
    let mut builder = tonic_prost_build::configure()
        .btree_map(".")
        .type_attribute(".", "#[derive(serde::Serialize)]")
        .type_attribute(
            "ConfigurationObject.object",
            "#[serde(rename_all = \"snake_case\")]",
        );
    for (field, kind) in ENUM_FIELDS {
        let attribute = format!(
            "#[serde(serialize_with = \"crate::protocol::operator_json::enum_name::<{kind}, _>\")]"
        );
        builder = builder.field_attribute(field, attribute);
    }
    builder
        .emit_rerun_if_changed(false)
        .out_dir(directory)
        .compile_fds(descriptors)?;
    Ok(())
}
