//! Reading and checking of declarative files.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use ini::{Ini, Properties};

use crate::config::ini_lines::IniLines;
use crate::config::object_field::ObjectField;
use crate::config::pool_fields::{POOL_FIELDS, SERVICE_FIELDS};
use crate::config::setting_key::name;
use crate::config::settings_error::{SettingsError, SettingsProblem};
use crate::config::settings_file::{repeated_problems, suggestion};
use crate::config::{rollout_fields, version_fields, workspace_fields};
use crate::state::{
    PoolName, PoolSpec, RolloutName, RolloutSpec, ServiceName, ServiceSpec, VersionKey,
    VersionSpec, WorkspaceName, WorkspaceSpec,
};

/// Kinds of section of a declarative file.
pub const SECTION_KINDS: [&str; 5] = ["workspace", "version", "pool", "service", "rollout"];

/// An object of a declarative file and the keys that the file gives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declared<T> {
    /// The object, with defaults for the keys that the file leaves out.
    pub spec: T,
    /// Names of the keys that the file gives.
    pub given: Vec<String>,
}

impl<T> Declared<T> {
    /// Returns whether the file gives a key.
    pub fn gives(&self, name: &str) -> bool {
        self.given.iter().any(|given| given == name)
    }
}

/// Objects of declarative files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclaredObjects {
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Declared<WorkspaceSpec>>,
    /// Versions by model and version.
    pub versions: BTreeMap<VersionKey, Declared<VersionSpec>>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Declared<PoolSpec>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Declared<ServiceSpec>>,
    /// Roll-outs by name.
    pub rollouts: BTreeMap<RolloutName, Declared<RolloutSpec>>,
}

/// Reads and checks declarative files as one set.
///
/// # Errors
///
/// Returns an error if a file cannot be read, or every problem of all files.
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

/// Checks the text of a declarative file and returns its objects.
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
/// Returns every problem of the text, each with its line.
pub fn parse_objects(file: &str, text: &str) -> Result<DeclaredObjects, SettingsError> {
    let mut reader = ObjectReader::default();
    reader.read_file(file, text);
    reader.finish()
}

/// Declarative files under way.
#[derive(Default)]
struct ObjectReader {
    objects: DeclaredObjects,
    problems: Vec<SettingsProblem>,
    seen: BTreeMap<String, String>,
}

/// A section of a file.
struct SectionText<'a> {
    file: &'a str,
    section: &'a str,
    properties: &'a Properties,
    lines: &'a IniLines,
}

impl ObjectReader {
    /// Returns the objects, or every problem.
    fn finish(self) -> Result<DeclaredObjects, SettingsError> {
        if self.problems.is_empty() {
            return Ok(self.objects);
        }
        Err(SettingsError::Invalid(self.problems))
    }

    /// Reads one file.
    fn read_file(&mut self, file: &str, text: &str) {
        let document = match Ini::load_from_str_noescape(text) {
            Ok(document) => document,
            Err(error) => {
                let message = error.msg.to_string();
                return self.add_problem(file, error.line, message);
            }
        };
        let lines = IniLines::scan(text);
        let repeated = repeated_problems(file, &lines);
        let clean = repeated.is_empty();
        self.problems.extend(repeated);
        if !clean {
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

    /// Reads one section.
    fn read_section(&mut self, text: &SectionText<'_>) {
        if text.section.is_empty() && text.properties.is_empty() {
            return;
        }
        let line = text.lines.line_of_section(text.section);
        if let Some(other) = self.seen.insert(text.section.into(), text.file.into()) {
            let message = format!("section [{}] stands in {other} too", text.section);
            return self.add_problem(text.file, line, message);
        }
        let (kind, subject) = text.section.split_once(' ').unwrap_or((text.section, ""));
        let subject = subject.trim();
        if !SECTION_KINDS.contains(&kind) {
            let near = suggestion(kind, SECTION_KINDS.into_iter());
            let message = format!(
                "unknown section [{}]{near}; sections are {}",
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
        let Some(subject) = name(subject) else {
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

    /// Reads a version.
    fn read_version(&mut self, text: &SectionText<'_>, subject: &str) {
        let names = subject.split_once('@');
        let names = names.and_then(|(model, version)| Some((name(model)?, name(version)?)));
        let Some((model, version)) = names else {
            let line = text.lines.line_of_section(text.section);
            let message = format!("[{}] must be [version MODEL@VERSION]", text.section);
            return self.add_problem(text.file, line, message);
        };
        let declared = self.read_fields(text, version_fields::FIELDS, VersionSpec::default());
        self.require(text, &declared.given, "pool");
        let key = VersionKey::new(model, version);
        self.objects.versions.insert(key, declared);
    }

    /// Reads a workspace.
    fn read_workspace(&mut self, text: &SectionText<'_>, subject: &str) {
        let spec = WorkspaceSpec {
            name: subject.into(),
            ..Default::default()
        };
        let declared = self.read_fields(text, workspace_fields::FIELDS, spec);
        self.objects.workspaces.insert(subject.into(), declared);
    }

    /// Reads a pool.
    fn read_pool(&mut self, text: &SectionText<'_>, subject: &str) {
        let spec = PoolSpec {
            name: subject.into(),
            ..Default::default()
        };
        let declared = self.read_fields(text, POOL_FIELDS, spec);
        self.objects.pools.insert(subject.into(), declared);
    }

    /// Reads a service.
    fn read_service(&mut self, text: &SectionText<'_>, subject: &str) {
        let spec = ServiceSpec {
            name: subject.into(),
            ..Default::default()
        };
        let declared = self.read_fields(text, SERVICE_FIELDS, spec);
        self.require(text, &declared.given, "pool");
        self.objects.services.insert(subject.into(), declared);
    }

    /// Reads a roll-out.
    fn read_rollout(&mut self, text: &SectionText<'_>, subject: &str) {
        let spec = RolloutSpec {
            name: subject.into(),
            ..Default::default()
        };
        let declared = self.read_fields(text, rollout_fields::FIELDS, spec);
        for name in ["model", "candidate", "baseline"] {
            self.require(text, &declared.given, name);
        }
        self.objects.rollouts.insert(subject.into(), declared);
    }

    /// Applies the keys of a section to an object.
    fn read_fields<T>(
        &mut self,
        text: &SectionText<'_>,
        fields: &[ObjectField<T>],
        mut spec: T,
    ) -> Declared<T> {
        let mut given = Vec::new();
        for (name, value) in text.properties.iter() {
            if let Err(message) = apply_field(fields, &mut spec, name, value.trim()) {
                let line = text.lines.line_of(text.section, name);
                let message = message.replace("SECTION", text.section);
                self.add_problem(text.file, line, message);
            }
            given.push(name.to_owned());
        }
        Declared { spec, given }
    }

    /// Notes a problem if a section lacks a key.
    fn require(&mut self, text: &SectionText<'_>, given: &[String], name: &str) {
        if given.iter().any(|given| given == name) {
            return;
        }
        let line = text.lines.line_of_section(text.section);
        let message = format!("[{}] needs the key `{name}`", text.section);
        self.add_problem(text.file, line, message);
    }

    /// Notes a problem.
    fn add_problem(&mut self, file: &str, line: usize, message: String) {
        self.problems.push(SettingsProblem {
            file: file.into(),
            line,
            message,
        });
    }
}

/// Applies one key, or says what is wrong with it; `SECTION` stands for the section's name.
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
        let near = suggestion(name, fields.iter().map(|field| field.name));
        return Err(format!("unknown key `{name}` in [SECTION]{near}"));
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
