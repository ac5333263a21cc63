//! TLS for callers, from the certificate and key that the settings name.

use std::io;
use std::path::Path;
use std::sync::Arc;

use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::config::CallersSettings;
use crate::transport::transport_error::TransportError;

/// Reads the certificate and key for callers; `None` if the settings name none.
///
/// # Errors
///
/// Returns an error if one of the two is missing or unreadable.
pub fn load_tls(settings: &CallersSettings) -> Result<Option<Arc<ServerConfig>>, TransportError> {
    let (certificate, key) = match (&settings.tls_certificate, &settings.tls_key) {
        (None, None) => return Ok(None),
        (Some(certificate), Some(key)) => (certificate, key),
        (Some(_), None) => return Err(missing("tls_key")),
        (None, Some(_)) => return Err(missing("tls_certificate")),
    };
    read_pair(certificate, key)
        .map(|config| Some(Arc::new(config)))
        .map_err(|source| TransportError::Certificate {
            path: certificate.clone(),
            source,
        })
}

/// Reads a certificate chain and its key.
fn read_pair(certificate: &Path, key: &Path) -> io::Result<ServerConfig> {
    let chain = CertificateDer::pem_file_iter(certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(io::Error::other)?;
    let key = PrivateKeyDer::from_pem_file(key).map_err(io::Error::other)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(io::Error::other)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(io::Error::other)?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(config)
}

/// Describes a setting that is missing beside its pair.
fn missing(name: &'static str) -> TransportError {
    TransportError::MissingSetting {
        section: "callers",
        name,
    }
}
