//! QUIC and TLS configuration for both sides of a connection between entry hosts.

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::crypto::ring;

use crate::transport::tls_identity::{TlsIdentity, tls_error};
use crate::transport::tls_verifier::TlsVerifier;
use crate::transport::transport_error::TransportError;

/// ALPN protocol name that both sides must offer.
const PROTOCOL: &[u8] = b"galenamast-peer";
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum number of requests in flight on one connection in one direction.
const MAX_STREAMS: u32 = 16;
/// Size of the datagram buffer of a connection in each direction, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1_024;
/// Receive window of a connection for stream data, in bytes.
const RECEIVE_WINDOW_BYTES: u32 = 1_024 * 1_024;

/// QUIC configuration of the accepting and the connecting side.
#[derive(Clone, Debug)]
pub struct QuicConfig {
    /// Configuration of the accepting side.
    pub server: ServerConfig,
    /// Configuration of the connecting side.
    pub client: ClientConfig,
}

impl QuicConfig {
    /// Builds the configuration for an identity; both sides authenticate with its certificate.
    ///
    /// # Errors
    ///
    /// Returns an error if certificate, key and authority cannot be used together.
    pub fn new(identity: TlsIdentity) -> Result<Self, TransportError> {
        let provider = Arc::new(ring::default_provider());
        let versions = &[&rustls::version::TLS13];
        let verifier = Arc::new(TlsVerifier::new(&provider, identity.trust.clone())?);
        let server = rustls::ServerConfig::builder_with_provider(provider.clone());
        let mut server = server
            .with_protocol_versions(versions)
            .map_err(|error| tls_error("protocol version", &error))?
            .with_client_cert_verifier(verifier.clone())
            .with_single_cert(identity.chain.clone(), identity.key.clone_key())
            .map_err(|error| tls_error("certificate", &error))?;
        server.alpn_protocols = vec![PROTOCOL.to_vec()];
        let client = rustls::ClientConfig::builder_with_provider(provider);
        let mut client = client
            .with_protocol_versions(versions)
            .map_err(|error| tls_error("protocol version", &error))?
            .dangerous()
            .with_custom_certificate_verifier(verifier)
            .with_client_auth_cert(identity.chain, identity.key)
            .map_err(|error| tls_error("certificate", &error))?;
        client.alpn_protocols = vec![PROTOCOL.to_vec()];
        let server = QuicServerConfig::try_from(server);
        let server = server.map_err(|error| tls_error("cipher suite", &error))?;
        let client = QuicClientConfig::try_from(client);
        let client = client.map_err(|error| tls_error("cipher suite", &error))?;
        let transport = Arc::new(transport_config());
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport.clone());
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport);
        Ok(Self { server, client })
    }
}

/// Returns the limits and buffer sizes of a connection.
fn transport_config() -> TransportConfig {
    let mut config = TransportConfig::default();
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT).ok();
    config
        .max_idle_timeout(idle)
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .receive_window(VarInt::from_u32(RECEIVE_WINDOW_BYTES))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    config
}
