//! Checks the certificate, key and token files that the settings refer to.

use std::path::{Path, PathBuf};

use crate::config::ini_lines::IniLines;
use crate::config::settings_error::{SettingsError, SettingsProblem};
use crate::config::settings_file::{Settings, load_settings};
use crate::protocol::operator_tokens::TokenTable;

/// Required content of a referenced file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileContent {
    /// At least one PEM block whose `BEGIN` line ends with this text.
    Pem(&'static str),
    /// Any UTF-8 text.
    Text,
    /// Table of operator tokens.
    Tokens,
}

/// A file that the settings refer to; `path` is `None` if the key is not set.
struct ReferencedFile<'a> {
    section: &'static str,
    name: &'static str,
    path: Option<&'a PathBuf>,
    content: FileContent,
}

/// Reads and checks a settings file and the files that it refers to.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or all problems found.
pub fn check_files(path: &Path) -> Result<Settings, SettingsError> {
    let settings = load_settings(path)?;
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines = IniLines::scan(&text);
    let mut problems = Vec::new();
    for file in referenced_files(&settings) {
        if let Err(reason) = check_file(&file) {
            problems.push(SettingsProblem {
                file: path.display().to_string(),
                line: lines.key_line(file.section, file.name),
                message: format!("[{}] {}: {reason}", file.section, file.name),
            });
        }
    }
    for (section, certificate, key) in certificate_pairs(&settings) {
        if certificate.is_some() != key.is_some() {
            problems.push(SettingsProblem {
                file: path.display().to_string(),
                line: lines.section_line(section),
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

/// Lists the files that the settings refer to.
fn referenced_files(settings: &Settings) -> Vec<ReferencedFile<'_>> {
    let file = |section, name, path, content| ReferencedFile {
        section,
        name,
        path,
        content,
    };
    let certificate = FileContent::Pem("CERTIFICATE-----");
    let key = FileContent::Pem("PRIVATE KEY-----");
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
            FileContent::Tokens,
        ),
        file(
            "peers",
            "certificate",
            peers.certificate.as_ref(),
            certificate,
        ),
        file("peers", "key", peers.key.as_ref(), key),
        file("peers", "authority", peers.authority.as_ref(), certificate),
        file(
            "peers",
            "revoked",
            peers.revoked.as_ref(),
            FileContent::Text,
        ),
    ]
}

/// Section, certificate file and key file.
type CertificatePair<'a> = (&'static str, &'a Option<PathBuf>, &'a Option<PathBuf>);

/// Lists the certificates with their private keys.
fn certificate_pairs(settings: &Settings) -> [CertificatePair<'_>; 3] {
    let (callers, operators) = (&settings.callers, &settings.operators);
    let peers = &settings.peers;
    [
        ("callers", &callers.tls_certificate, &callers.tls_key),
        ("operators", &operators.tls_certificate, &operators.tls_key),
        ("peers", &peers.certificate, &peers.key),
    ]
}

/// Checks that a file can be read and has the required content; a key that is not set passes.
fn check_file(file: &ReferencedFile<'_>) -> Result<(), String> {
    let Some(path) = file.path else {
        return Ok(());
    };
    let display = path.display();
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("cannot read {display}: {error}"))?;
    match file.content {
        FileContent::Text => Ok(()),
        FileContent::Tokens => TokenTable::parse(&display.to_string(), &text)
            .map(|_| ())
            .map_err(|error| error.to_string()),
        FileContent::Pem(label) => {
            let is_begin_line =
                |line: &str| line.starts_with("-----BEGIN ") && line.ends_with(label);
            if text.lines().any(|line| is_begin_line(line.trim())) {
                return Ok(());
            }
            let kind = label.trim_end_matches('-').to_lowercase();
            Err(format!("{display} holds no PEM {kind}"))
        }
    }
}
