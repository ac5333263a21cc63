//! Generates the authority and the certificates of entry hosts.

use std::time::{Duration, SystemTime};

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SerialNumber,
};

use crate::state::HostName;
use crate::transport::tls_identity::tls_error;
use crate::transport::transport_error::TransportError;

/// Validity of a certificate before its creation, for hosts whose clocks are behind.
const CLOCK_ALLOWANCE: Duration = Duration::from_secs(300);
/// Validity of an authority: 10 years.
const AUTHORITY_VALIDITY: Duration = Duration::from_secs(10 * 365 * 86_400);

/// A certificate and its private key as PEM text.
#[derive(Clone)]
pub struct IssuedCertificate {
    /// Certificate as PEM text.
    pub certificate: String,
    /// Private key as PEM text.
    pub key: String,
    /// Serial number in hexadecimal, by which the certificate can be revoked.
    pub serial: String,
}

impl std::fmt::Debug for IssuedCertificate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "IssuedCertificate({})", self.serial)
    }
}

/// Authority that issues the certificates of entry hosts.
#[derive(Debug)]
pub struct CertificateAuthority {
    params: CertificateParams,
    key: KeyPair,
    certificate: String,
}

impl CertificateAuthority {
    /// Generates a new authority.
    ///
    /// # Errors
    ///
    /// Returns an error if the key or the certificate cannot be generated.
    pub fn generate() -> Result<Self, TransportError> {
        let mut params = CertificateParams::default();
        params
            .distinguished_name
            .push(DnType::CommonName, "galenamast entry hosts");
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        set_validity(&mut params, AUTHORITY_VALIDITY);
        let key = KeyPair::generate().map_err(|error| tls_error("authority", &error))?;
        let certificate = params.self_signed(&key);
        let certificate = certificate.map_err(|error| tls_error("authority", &error))?;
        Ok(Self {
            certificate: certificate.pem(),
            params,
            key,
        })
    }

    /// Restores an authority from its certificate and key, both as PEM text.
    ///
    /// Only the key is parsed: the name of an authority is always the same.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is malformed.
    pub fn restore(certificate: &str, key: &str) -> Result<Self, TransportError> {
        let generated = Self::generate()?;
        let key = KeyPair::from_pem(key).map_err(|error| tls_error("authority key", &error))?;
        Ok(Self {
            params: generated.params,
            key,
            certificate: certificate.to_owned(),
        })
    }

    /// Returns the authority's certificate as PEM text.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Returns the authority's private key as PEM text.
    pub fn key(&self) -> String {
        self.key.serialize_pem()
    }

    /// Issues a certificate of a host that is valid for `validity` from now.
    ///
    /// # Errors
    ///
    /// Returns an error if the host name is not valid in a certificate or signing fails.
    pub fn issue(
        &self,
        host: &HostName,
        validity: Duration,
    ) -> Result<IssuedCertificate, TransportError> {
        let params = CertificateParams::new([host.to_string()]);
        let mut params = params.map_err(|error| tls_error("host name", &error))?;
        params
            .distinguished_name
            .push(DnType::CommonName, host.as_str());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let mut serial: [u8; 16] = rand::random();
        // A serial number is positive and has no leading zero byte.
        serial[0] = serial[0] & 0x7f | 0x40;
        params.serial_number = Some(SerialNumber::from_slice(&serial));
        set_validity(&mut params, validity);
        let key = KeyPair::generate().map_err(|error| tls_error("key", &error))?;
        let issuer = Issuer::from_params(&self.params, &self.key);
        let certificate = params.signed_by(&key, &issuer);
        let certificate = certificate.map_err(|error| tls_error("certificate", &error))?;
        Ok(IssuedCertificate {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
            serial: hex::encode(serial),
        })
    }
}

/// Sets the validity period, which starts [`CLOCK_ALLOWANCE`] before now.
fn set_validity(params: &mut CertificateParams, validity: Duration) {
    let now = SystemTime::now();
    params.not_before = (now - CLOCK_ALLOWANCE).into();
    params.not_after = (now + validity).into();
}
