//! TLS for callers.

use std::sync::Arc;

use rustls::pki_types::ServerName;
use rustls::{ClientConfig, RootCertStore};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

use galenamast::config::CallersSettings;
use galenamast::transport::caller_tls::load_tls;

use crate::support::{host_address, small_options, start_with, with_timeout};

#[tokio::test]
async fn callers_reach_a_host_over_tls() {
    let directory = tempfile::tempdir().expect("a directory");
    let names = vec!["localhost".to_owned()];
    let pair = rcgen::generate_simple_self_signed(names).expect("a certificate");
    let (certificate, key) = (
        directory.path().join("cert.pem"),
        directory.path().join("key.pem"),
    );
    std::fs::write(&certificate, pair.cert.pem()).expect("written");
    std::fs::write(&key, pair.signing_key.serialize_pem()).expect("written");
    let deployment = start_with(small_options(1), |settings| {
        settings.callers.tls_certificate = Some(certificate);
        settings.callers.tls_key = Some(key);
    })
    .await;
    let mut roots = RootCertStore::empty();
    roots.add(pair.cert.der().clone()).expect("a root");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(host_address(&deployment))
        .await
        .expect("connects");
    let name = ServerName::try_from("localhost").expect("a name");
    let connector = TlsConnector::from(Arc::new(config));
    let mut stream = connector.connect(name, stream).await.expect("a handshake");
    let request = b"GET /readyz HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let mut answer = Vec::new();
    let _ = with_timeout("the host answers", stream.read_to_end(&mut answer)).await;
    assert!(answer.starts_with(b"HTTP/1.1 200"), "{answer:?}");
}

#[test]
fn a_certificate_needs_its_key() {
    let settings = CallersSettings {
        tls_certificate: Some("cert.pem".into()),
        ..Default::default()
    };
    let error = load_tls(&settings).expect_err("the key is missing");
    assert!(error.to_string().contains("tls_key"), "{error}");
}
