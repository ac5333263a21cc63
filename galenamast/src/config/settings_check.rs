//! Checks of the files that settings name.

use std::path::{Path, PathBuf};

use crate::config::ini_lines::IniLines;
use crate::config::settings_error::{SettingsError, SettingsProblem};
use crate::config::settings_file::{Settings, load_settings};
use crate::protocol::operator_tokens::TokenTable;

/// What a file that settings name must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileKind {
    /// At least one PEM block with this label at its end.
    Pem(&'static str),
    /// Any text.
    Text,
    /// Tokens of operators.
    Tokens,
}

/// A file that settings name.
struct NamedFile<'a> {
    section: &'static str,
    name: &'static str,
    path: Option<&'a PathBuf>,
    kind: FileKind,
}

/// Reads and checks a settings file and the files that it names.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or every problem that was found.
pub fn check_files(path: &Path) -> Result<Settings, SettingsError> {
    let settings = load_settings(path)?;
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines = IniLines::scan(&text);
    let mut problems = Vec::new();
    for file in named_files(&settings) {
        if let Err(reason) = check_file(&file) {
            problems.push(SettingsProblem {
                file: path.display().to_string(),
                line: lines.line_of(file.section, file.name),
                message: format!("[{}] {}: {reason}", file.section, file.name),
            });
        }
    }
    for (section, certificate, key) in pairs(&settings) {
        if certificate.is_some() != key.is_some() {
            problems.push(SettingsProblem {
                file: path.display().to_string(),
                line: lines.line_of_section(section),
                message: format!("[{section}] needs both a certificate and a key, or neither"),
            });
        }
    }
    if problems.is_empty() {
        return Ok(settings);
    }
    problems.sort_by_key(|problem| problem.line);
    Err(SettingsError::Invalid(problems))
}

/// Lists the files that settings name.
fn named_files(settings: &Settings) -> Vec<NamedFile<'_>> {
    let file = |section, name, path, kind| NamedFile {
        section,
        name,
        path,
        kind,
    };
    let certificate = FileKind::Pem("CERTIFICATE-----");
    let key = FileKind::Pem("PRIVATE KEY-----");
    let (callers, operators) = (&settings.callers, &settings.operators);
    let peers = &settings.peers;
    vec![
        file(
            "callers",
            "tls_certificate",
            callers.tls_certificate.as_ref(),
            certificate,
        ),
        file("callers", "tls_key", callers.tls_key.as_ref(), key),
        file(
            "operators",
            "tls_certificate",
            operators.tls_certificate.as_ref(),
            certificate,
        ),
        file("operators", "tls_key", operators.tls_key.as_ref(), key),
        file(
            "operators",
            "client_authority",
            operators.client_authority.as_ref(),
            certificate,
        ),
        file(
            "operators",
            "tokens_file",
            operators.tokens_file.as_ref(),
            FileKind::Tokens,
        ),
        file(
            "peers",
            "certificate",
            peers.certificate.as_ref(),
            certificate,
        ),
        file("peers", "key", peers.key.as_ref(), key),
        file("peers", "authority", peers.authority.as_ref(), certificate),
        file("peers", "revoked", peers.revoked.as_ref(), FileKind::Text),
    ]
}

/// A certificate and its key, with their section.
type CertificatePair<'a> = (&'static str, &'a Option<PathBuf>, &'a Option<PathBuf>);

/// Lists the certificates with their keys.
fn pairs(settings: &Settings) -> [CertificatePair<'_>; 3] {
    let (callers, operators) = (&settings.callers, &settings.operators);
    let peers = &settings.peers;
    [
        ("callers", &callers.tls_certificate, &callers.tls_key),
        ("operators", &operators.tls_certificate, &operators.tls_key),
        ("peers", &peers.certificate, &peers.key),
    ]
}

/// Checks that a file can be read and holds what it should.
fn check_file(file: &NamedFile<'_>) -> Result<(), String> {
    let Some(path) = file.path else {
        return Ok(());
    };
    let shown = path.display();
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("cannot read {shown}: {error}"))?;
    match file.kind {
        FileKind::Text => Ok(()),
        FileKind::Tokens => TokenTable::parse(&shown.to_string(), &text)
            .map(|_| ())
            .map_err(|error| error.to_string()),
        FileKind::Pem(label) => {
            let begins = |line: &str| line.starts_with("-----BEGIN ") && line.ends_with(label);
            if text.lines().any(|line| begins(line.trim())) {
                return Ok(());
            }
            let kind = label.trim_end_matches('-').to_lowercase();
            Err(format!("{shown} holds no PEM {kind}"))
        }
    }
}
