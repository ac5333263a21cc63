//! Verifies the certificates of other entry hosts on both sides of a connection.

use std::sync::Arc;

use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::client::verify_server_cert_signed_by_trust_anchor;
use rustls::crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature};
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{CertificateError, DigitallySignedStruct, DistinguishedName, Error, SignatureScheme};

use crate::transport::tls_identity::{TlsTrust, tls_error};
use crate::transport::transport_error::TransportError;

/// Accepts certificates that the hosts' authority issued, that are valid now and not revoked.
///
/// Without an authority, in development mode, any certificate is accepted. The host name is read
/// from the certificate after the handshake, because a first contact is known by address only.
#[derive(Debug)]
pub struct TlsVerifier {
    provider: Arc<CryptoProvider>,
    trust: Option<TlsTrust>,
    clients: Option<Arc<dyn ClientCertVerifier>>,
}

impl TlsVerifier {
    /// Creates a verifier; `None` as the trust accepts any certificate.
    ///
    /// # Errors
    ///
    /// Returns an error if the trust has no authority.
    pub fn new(
        provider: &Arc<CryptoProvider>,
        trust: Option<TlsTrust>,
    ) -> Result<Self, TransportError> {
        let clients = match &trust {
            Some(trust) => {
                let roots = trust.roots.clone();
                let builder = WebPkiClientVerifier::builder_with_provider(roots, provider.clone());
                let built = builder.build();
                Some(built.map_err(|error| tls_error("authority", &error))?)
            }
            None => None,
        };
        Ok(Self {
            provider: provider.clone(),
            trust,
            clients,
        })
    }

    /// Returns an error if the certificate is revoked.
    fn check_revoked(&self, certificate: &CertificateDer<'_>) -> Result<(), Error> {
        match &self.trust {
            Some(trust) if trust.is_revoked(certificate) => {
                Err(Error::InvalidCertificate(CertificateError::Revoked))
            }
            _ => Ok(()),
        }
    }
}

impl ServerCertVerifier for TlsVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        if let Some(trust) = &self.trust {
            let parsed = ParsedCertificate::try_from(end_entity)?;
            let algorithms = self.provider.signature_verification_algorithms.all;
            verify_server_cert_signed_by_trust_anchor(
                &parsed,
                &trust.roots,
                intermediates,
                now,
                algorithms,
            )?;
        }
        self.check_revoked(end_entity)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        let algorithms = self.provider.signature_verification_algorithms;
        algorithms.supported_schemes()
    }
}

impl ClientCertVerifier for TlsVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        if let Some(clients) = &self.clients {
            clients.verify_client_cert(end_entity, intermediates, now)?;
        }
        self.check_revoked(end_entity)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        ServerCertVerifier::verify_tls12_signature(self, message, certificate, signature)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        ServerCertVerifier::verify_tls13_signature(self, message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        ServerCertVerifier::supported_verify_schemes(self)
    }
}
