//! TLS configuration for callers.

use std::io;
use std::path::Path;
use std::sync::Arc;

use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::config::CallersSettings;
use crate::transport::transport_error::TransportError;

/// Loads the certificate and key that the settings name; `None` if they name neither.
///
/// # Errors
///
/// Returns an error if only one of the two is set, or if one cannot be read.
pub fn load_tls(settings: &CallersSettings) -> Result<Option<Arc<ServerConfig>>, TransportError> {
    let (certificate, key) = match (&settings.tls_certificate, &settings.tls_key) {
        (None, None) => return Ok(None),
        (Some(certificate), Some(key)) => (certificate, key),
        (Some(_), None) => return Err(missing("tls_key")),
        (None, Some(_)) => return Err(missing("tls_certificate")),
    };
    read_server_config(certificate, key)
        .map(|config| Some(Arc::new(config)))
        .map_err(|source| TransportError::Certificate {
            path: certificate.clone(),
            source,
        })
}

/// Builds the TLS configuration from a certificate chain and its key, offering HTTP/2 and HTTP/1.1.
fn read_server_config(certificate: &Path, key: &Path) -> io::Result<ServerConfig> {
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

/// Builds the error for a setting in `[callers]` that is missing while its counterpart is set.
fn missing(name: &'static str) -> TransportError {
    TransportError::MissingSetting {
        section: "callers",
        name,
    }
}
