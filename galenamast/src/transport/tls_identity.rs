//! Certificates by which entry hosts identify each other.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::sync::Arc;

use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

use crate::config::PeersSettings;
use crate::state::HostName;
use crate::transport::transport_error::TransportError;

/// Certificate, key and trusted authority of an entry host.
#[derive(Debug)]
pub struct TlsIdentity {
    /// Certificate chain of the host, its own certificate first.
    pub chain: Vec<CertificateDer<'static>>,
    /// Private key of the host.
    pub key: PrivateKeyDer<'static>,
    /// Which certificates are accepted; `None` in development mode, which accepts any.
    pub trust: Option<TlsTrust>,
}

/// Which certificates of other hosts are accepted.
#[derive(Clone, Debug)]
pub struct TlsTrust {
    /// Authorities whose certificates are accepted.
    pub roots: Arc<RootCertStore>,
    /// Serial numbers of revoked certificates, in lower-case hexadecimal without leading zeros.
    pub revoked: Arc<BTreeSet<String>>,
}

impl TlsIdentity {
    /// Loads the identity that the settings name.
    ///
    /// If they name no file and the host listens on loopback, an identity for development is
    /// generated.
    ///
    /// # Errors
    ///
    /// Returns an error if a file is unreadable or malformed, if only some of the files are named,
    /// or if none is named and the address is not on loopback.
    pub fn load(settings: &PeersSettings, host: &HostName) -> Result<Self, TransportError> {
        let files = (&settings.certificate, &settings.key, &settings.authority);
        let (Some(certificate), Some(key), Some(authority)) = files else {
            let none = settings.certificate.is_none()
                && settings.key.is_none()
                && settings.authority.is_none();
            if none && settings.listen.ip().is_loopback() {
                return Self::for_development(host);
            }
            return Err(TransportError::MissingSetting {
                section: "peers",
                name: "certificate, key and authority",
            });
        };
        let mut roots = RootCertStore::empty();
        for root in read_certificates(authority)? {
            let added = roots.add(root);
            added.map_err(|error| tls_error("authority", &error))?;
        }
        let key = PrivateKeyDer::from_pem_file(key).map_err(|error| tls_error("key", &error))?;
        Ok(Self {
            chain: read_certificates(certificate)?,
            key,
            trust: Some(TlsTrust {
                roots: Arc::new(roots),
                revoked: Arc::new(read_revoked(settings.revoked.as_deref())?),
            }),
        })
    }

    /// Generates a self-signed identity, which only hosts without an authority accept.
    fn for_development(host: &HostName) -> Result<Self, TransportError> {
        let generated = rcgen::generate_simple_self_signed([host.to_string()]);
        let generated = generated.map_err(|error| tls_error("certificate", &error))?;
        let key = PrivateKeyDer::try_from(generated.signing_key.serialize_der());
        Ok(Self {
            chain: vec![generated.cert.der().clone()],
            key: key.map_err(|error| tls_error("key", &error))?,
            trust: None,
        })
    }
}

impl TlsTrust {
    /// Returns whether a certificate is revoked; one that cannot be parsed counts as revoked.
    pub fn is_revoked(&self, certificate: &CertificateDer<'_>) -> bool {
        let Ok((_, parsed)) = X509Certificate::from_der(certificate) else {
            return true;
        };
        let serial = hex::encode(parsed.raw_serial());
        self.revoked.contains(&normalize_serial(&serial))
    }
}

/// Returns the host that a certificate names: its first DNS name, if it has one.
pub fn host_of_certificate(certificate: &CertificateDer<'_>) -> Option<HostName> {
    let (_, parsed) = X509Certificate::from_der(certificate).ok()?;
    let names = parsed.subject_alternative_name().ok()??;
    let mut names = names.value.general_names.iter();
    names.find_map(|name| match name {
        GeneralName::DNSName(name) => Some(HostName::new(name)),
        _ => None,
    })
}

/// Reads the certificates of a PEM file.
fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TransportError> {
    let certificates = CertificateDer::pem_file_iter(path);
    let certificates = certificates.map_err(|error| tls_error("certificate", &error))?;
    certificates
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| tls_error("certificate", &error))
}

/// Reads the serial numbers of revoked certificates, one per line; `#` starts a comment line.
fn read_revoked(path: Option<&Path>) -> Result<BTreeSet<String>, TransportError> {
    let Some(path) = path else {
        return Ok(BTreeSet::new());
    };
    let text = fs::read_to_string(path).map_err(|error| tls_error("revoked", &error))?;
    let lines = text.lines().map(str::trim);
    let serials = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
    Ok(serials.map(normalize_serial).collect())
}

/// Normalizes a hexadecimal serial number: lower case, without colons and leading zeros.
fn normalize_serial(text: &str) -> String {
    let digits = text.replace(':', "").to_ascii_lowercase();
    digits.trim_start_matches('0').to_owned()
}

/// Returns the error for a certificate, key or other TLS input that cannot be used.
pub(crate) fn tls_error(what: &'static str, reason: &impl ToString) -> TransportError {
    TransportError::Tls {
        what,
        reason: reason.to_string(),
    }
}
