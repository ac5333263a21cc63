//! Reads and validates declarative files.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use ini::{Ini, Properties};

use crate::config::ini_lines::IniLines;
use crate::config::object_field::ObjectField;
use crate::config::pool_fields::{POOL_FIELDS, SERVICE_FIELDS};
use crate::config::setting_key::parse_name;
use crate::config::settings_error::{SettingsError, SettingsProblem};
use crate::config::settings_file::{repetition_problems, suggest_similar};
use crate::config::{rollout_fields, version_fields, workspace_fields};
use crate::state::{
    PoolName, PoolSpec, RolloutName, RolloutSpec, ServiceName, ServiceSpec, VersionKey,
    VersionSpec, WorkspaceName, WorkspaceSpec,
};

/// First words of the section headers of a declarative file.
pub const SECTION_KINDS: [&str; 5] = ["workspace", "version", "pool", "service", "rollout"];

/// An object of a declarative file and the keys that the file sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclaredSpec<T> {
    /// The object, with defaults for the keys that the file leaves out.
    pub spec: T,
    /// Names of the keys that the file sets.
    pub given_keys: Vec<String>,
}

impl<T> DeclaredSpec<T> {
    /// Returns whether the file sets a key.
    pub fn has_key(&self, name: &str) -> bool {
        self.given_keys.iter().any(|given| given == name)
    }
}

/// Objects of a set of declarative files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclaredObjects {
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, DeclaredSpec<WorkspaceSpec>>,
    /// Versions by names of model and version.
    pub versions: BTreeMap<VersionKey, DeclaredSpec<VersionSpec>>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, DeclaredSpec<PoolSpec>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, DeclaredSpec<ServiceSpec>>,
    /// Roll-outs by name.
    pub rollouts: BTreeMap<RolloutName, DeclaredSpec<RolloutSpec>>,
}

/// Reads and checks declarative files as one set.
///
/// # Errors
///
/// Returns an error if a file cannot be read, or all problems found in all files.
pub fn load_objects(paths: &[PathBuf]) -> Result<DeclaredObjects, SettingsError> {
    let mut reader = ObjectReader::default();
    for path in paths {
        let text = read_text(path)?;
        reader.read_file(&path.display().to_string(), &text);
    }
    reader.finish()
}

/// Reads the text of a file.
fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

/// Parses the text of a declarative file; `file` names it in error messages.
///
/// ```
/// use galenamast::config::parse_objects;
///
/// let text = "[pool advice]\nslots_per_server = 8\n";
/// let objects = parse_objects("pools.ini", text).unwrap();
/// assert_eq!(objects.pools[&"advice".into()].spec.slots_per_server, 8);
/// let error = parse_objects("pools.ini", "[pool advice]\nslots = 8\n").unwrap_err();
/// assert!(error.to_string().starts_with("pools.ini:2: unknown key `slots` in [pool advice]"));
/// ```
///
/// # Errors
///
/// Returns all problems found in the text, each with its line.
pub fn parse_objects(file: &str, text: &str) -> Result<DeclaredObjects, SettingsError> {
    let mut reader = ObjectReader::default();
    reader.read_file(file, text);
    reader.finish()
}

/// Objects and problems collected while the files of a set are read.
#[derive(Default)]
struct ObjectReader {
    objects: DeclaredObjects,
    problems: Vec<SettingsProblem>,
    /// File of each section, by the text of the section's header.
    section_files: BTreeMap<String, String>,
}

/// A section of a file, with the line numbers of the file.
struct SectionText<'a> {
    file: &'a str,
    section: &'a str,
    properties: &'a Properties,
    lines: &'a IniLines,
}

impl ObjectReader {
    /// Returns the objects, or all problems if there are any.
    fn finish(self) -> Result<DeclaredObjects, SettingsError> {
        if self.problems.is_empty() {
            return Ok(self.objects);
        }
        Err(SettingsError::Invalid(self.problems))
    }

    /// Reads one file; a file with repeated sections or keys is not read further.
    fn read_file(&mut self, file: &str, text: &str) {
        let document = match Ini::load_from_str_noescape(text) {
            Ok(document) => document,
            Err(error) => {
                let message = error.msg.to_string();
                return self.add_problem(file, error.line, message);
            }
        };
        let lines = IniLines::scan(text);
        let repeated = repetition_problems(file, &lines);
        let is_unique = repeated.is_empty();
        self.problems.extend(repeated);
        if !is_unique {
            return;
        }
        for (section, properties) in &document {
            self.read_section(&SectionText {
                file,
                section: section.unwrap_or(""),
                properties,
                lines: &lines,
            });
        }
    }

    /// Reads one section by the kind in its header.
    fn read_section(&mut self, text: &SectionText<'_>) {
        if text.section.is_empty() && text.properties.is_empty() {
            return;
        }
        let line = text.lines.section_line(text.section);
        if let Some(other) = self
            .section_files
            .insert(text.section.into(), text.file.into())
        {
            let message = format!("section [{}] is also in {other}", text.section);
            return self.add_problem(text.file, line, message);
        }
        let (kind, subject) = text.section.split_once(' ').unwrap_or((text.section, ""));
        let subject = subject.trim();
        if !SECTION_KINDS.contains(&kind) {
            let hint = suggest_similar(kind, SECTION_KINDS.into_iter());
            let message = format!(
                "unknown section [{}]{hint}; sections are {}",
                text.section,
                SECTION_KINDS
                    .map(|kind| format!("[{kind} NAME]"))
                    .join(", ")
            );
            return self.add_problem(text.file, line, message);
        }
        if kind == "version" {
            return self.read_version(text, subject);
        }
        let Some(subject) = parse_name(subject) else {
            let message = format!(
                "[{}] must name the {kind} in at most 64 letters, digits and `._-`",
                text.section
            );
            return self.add_problem(text.file, line, message);
        };
        match kind {
            "workspace" => self.read_workspace(text, subject),
            "pool" => self.read_pool(text, subject),
            "service" => self.read_service(text, subject),
            _ => self.read_rollout(text, subject),
        }
    }

    /// Reads a section `[version MODEL@VERSION]`.
    fn read_version(&mut self, text: &SectionText<'_>, subject: &str) {
        let names = subject.split_once('@');
        let names =
            names.and_then(|(model, version)| Some((parse_name(model)?, parse_name(version)?)));
        let Some((model, version)) = names else {
            let line = text.lines.section_line(text.section);
            let message = format!("[{}] must be [version MODEL@VERSION]", text.section);
            return self.add_problem(text.file, line, message);
        };
        let declared = self.read_fields(text, version_fields::FIELDS, VersionSpec::default());
        self.require_key(text, &declared.given_keys, "pool");
        let key = VersionKey::new(model, version);
        self.objects.versions.insert(key, declared);
    }

    /// Reads a section `[workspace NAME]`.
    fn read_workspace(&mut self, text: &SectionText<'_>, subject: &str) {
        let spec = WorkspaceSpec {
            name: subject.into(),
            ..Default::default()
        };
        let declared = self.read_fields(text, workspace_fields::FIELDS, spec);
        self.objects.workspaces.insert(subject.into(), declared);
    }

    /// Reads a section `[pool NAME]`.
    fn read_pool(&mut self, text: &SectionText<'_>, subject: &str) {
        let spec = PoolSpec {
            name: subject.into(),
            ..Default::default()
        };
        let declared = self.read_fields(text, POOL_FIELDS, spec);
        self.objects.pools.insert(subject.into(), declared);
    }

    /// Reads a section `[service NAME]`.
    fn read_service(&mut self, text: &SectionText<'_>, subject: &str) {
        let spec = ServiceSpec {
            name: subject.into(),
            ..Default::default()
        };
        let declared = self.read_fields(text, SERVICE_FIELDS, spec);
        self.require_key(text, &declared.given_keys, "pool");
        self.objects.services.insert(subject.into(), declared);
    }

    /// Reads a section `[rollout NAME]`.
    fn read_rollout(&mut self, text: &SectionText<'_>, subject: &str) {
        let spec = RolloutSpec {
            name: subject.into(),
            ..Default::default()
        };
        let declared = self.read_fields(text, rollout_fields::FIELDS, spec);
        for name in ["model", "candidate", "baseline"] {
            self.require_key(text, &declared.given_keys, name);
        }
        self.objects.rollouts.insert(subject.into(), declared);
    }

    /// Applies the keys of a section to an object.
    fn read_fields<T>(
        &mut self,
        text: &SectionText<'_>,
        fields: &[ObjectField<T>],
        mut spec: T,
    ) -> DeclaredSpec<T> {
        let mut given_keys = Vec::new();
        for (name, value) in text.properties.iter() {
            if let Err(message) = apply_field(fields, &mut spec, name, value.trim()) {
                let line = text.lines.key_line(text.section, name);
                let message = message.replace("SECTION", text.section);
                self.add_problem(text.file, line, message);
            }
            given_keys.push(name.to_owned());
        }
        DeclaredSpec { spec, given_keys }
    }

    /// Adds a problem if a section lacks a key.
    fn require_key(&mut self, text: &SectionText<'_>, given_keys: &[String], name: &str) {
        if given_keys.iter().any(|given| given == name) {
            return;
        }
        let line = text.lines.section_line(text.section);
        let message = format!("[{}] needs the key `{name}`", text.section);
        self.add_problem(text.file, line, message);
    }

    /// Adds a problem.
    fn add_problem(&mut self, file: &str, line: usize, message: String) {
        self.problems.push(SettingsProblem {
            file: file.into(),
            line,
            message,
        });
    }
}

/// Applies one key; in the error message, `SECTION` is a placeholder for the section's header.
fn apply_field<T>(
    fields: &[ObjectField<T>],
    spec: &mut T,
    name: &str,
    value: &str,
) -> Result<(), String> {
    let matches = |field: &&ObjectField<T>| {
        let prefix = field.name.ends_with('.') && name.len() > field.name.len();
        field.name == name || (prefix && name.starts_with(field.name))
    };
    let Some(field) = fields.iter().find(matches) else {
        let hint = suggest_similar(name, fields.iter().map(|field| field.name));
        return Err(format!("unknown key `{name}` in [SECTION]{hint}"));
    };
    let suffix = name.strip_prefix(field.name).unwrap_or("");
    if (field.apply)(spec, suffix, value) {
        return Ok(());
    }
    Err(format!(
        "[SECTION] {name} = {value}: must be {}",
        field.range
    ))
}
