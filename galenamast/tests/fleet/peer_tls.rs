//! Which peer certificates an entry host accepts.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use galenamast::config::PeersSettings;
use galenamast::state::HostName;
use galenamast::transport::peer_links::PeerLinks;
use galenamast::transport::{CertificateAuthority, TransportError};

/// Validity of the certificates that do not expire during a test.
const HOUR: Duration = Duration::from_secs(3_600);

/// Issues a certificate; returns peer settings that use it and its serial number.
fn issue(
    directory: &Path,
    authority: &CertificateAuthority,
    name: &str,
    validity: Duration,
) -> (PeersSettings, String) {
    let issued = authority
        .issue(&name.into(), validity)
        .expect("the name is valid");
    let write = |file: &str, text: &str| {
        let path = directory.join(format!("{name}-{}-{file}", issued.serial));
        fs::write(&path, text).expect("the directory is writable");
        Some(path)
    };
    let settings = PeersSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        certificate: write("cert.pem", &issued.certificate),
        key: write("key.pem", &issued.key),
        authority: write("authority.pem", authority.certificate()),
        ..Default::default()
    };
    (settings, issued.serial)
}

/// Connects a client to a server; returns the server's name as seen by the client, and the reverse.
async fn connect(
    client: &PeersSettings,
    server: &PeersSettings,
    expected: &str,
) -> Result<(HostName, HostName), String> {
    let server = PeerLinks::open(server, &"server".into()).expect("the server opens");
    let client = PeerLinks::open(client, &"client".into()).expect("the client opens");
    let expected = HostName::new(expected);
    let connecting = client.connect(server.address(), Some(&expected));
    let (connected, accepted) = tokio::join!(connecting, server.accept());
    let accepted = accepted.expect("the socket is open");
    let connected = connected.map_err(|error| format!("client: {error}"))?;
    let accepted = accepted.map_err(|error| format!("server: {error}"))?;
    Ok((connected.host, accepted.host))
}

#[tokio::test]
async fn hosts_with_one_authority_identify_each_other_by_name() {
    let directory = tempfile::tempdir().expect("a directory is made");
    let authority = CertificateAuthority::generate().expect("an authority is made");
    let (client, _) = issue(directory.path(), &authority, "host_a", HOUR);
    // Certificates issued after the authority was restored from its key are also accepted.
    let restored = CertificateAuthority::restore(authority.certificate(), &authority.key());
    let restored = restored.expect("the key is well formed");
    let (server, _) = issue(directory.path(), &restored, "host.b", HOUR);
    let names = connect(&client, &server, "host.b").await;
    assert_eq!(names, Ok(("host.b".into(), "host_a".into())));
    let refusal = connect(&client, &server, "host.c")
        .await
        .expect_err("another name");
    assert!(refusal.contains("another host"), "{refusal}");
}

#[tokio::test]
async fn expired_foreign_and_revoked_certificates_are_refused_on_both_sides() {
    let directory = tempfile::tempdir().expect("a directory is made");
    let path = directory.path();
    let authority = CertificateAuthority::generate().expect("an authority is made");
    let foreign = CertificateAuthority::generate().expect("an authority is made");
    let (mut good, _) = issue(path, &authority, "good", HOUR);
    let (revoked, serial) = issue(path, &authority, "revoked", HOUR);
    let (expired, _) = issue(path, &authority, "expired", Duration::ZERO);
    let (stranger, _) = issue(path, &foreign, "foreign", HOUR);
    let list = path.join("revoked.txt");
    fs::write(&list, format!("# lost\n{}\n", serial.to_uppercase())).expect("writable");
    good.revoked = Some(list);
    // Expiry times have a resolution of one second.
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    for (name, bad) in [
        ("revoked", revoked),
        ("expired", expired),
        ("foreign", stranger),
    ] {
        let result = connect(&bad, &good, "good").await;
        assert!(result.is_err(), "a {name} client was accepted: {result:?}");
        let result = connect(&good, &bad, name).await;
        assert!(result.is_err(), "a {name} server was accepted: {result:?}");
    }
}

#[tokio::test]
async fn without_certificates_only_loopback_is_allowed() {
    let development = PeersSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        ..Default::default()
    };
    let names = connect(&development, &development, "server").await;
    assert_eq!(names, Ok(("server".into(), "client".into())));
    let exposed = PeersSettings {
        listen: SocketAddr::from(([0, 0, 0, 0], 0)),
        ..Default::default()
    };
    let refusal = PeerLinks::open(&exposed, &"server".into());
    assert!(matches!(
        refusal,
        Err(TransportError::MissingSetting { .. })
    ));
    let directory = tempfile::tempdir().expect("a directory is made");
    let authority = CertificateAuthority::generate().expect("an authority is made");
    let (secure, _) = issue(directory.path(), &authority, "secure", HOUR);
    assert!(connect(&development, &secure, "secure").await.is_err());
    let half = PeersSettings {
        key: None,
        ..secure
    };
    assert!(PeerLinks::open(&half, &"server".into()).is_err());
}
