//! Authentication of operators by client certificates.

use std::fs;

use galenamast::event_loop::EntryHost;
use galenamast::state::KeyDigest;
use galenamast_testbed::{Deployment, DeploymentOptions};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

use crate::support::run_admin;

#[tokio::test]
async fn only_a_listed_client_certificate_authenticates_an_operator() {
    let directory = tempfile::tempdir().expect("a temporary directory can be made");
    let write = |name: &str, text: &str| {
        let path = directory.path().join(name);
        fs::write(&path, text).expect("the file can be written");
        path
    };
    let mut params = CertificateParams::new(Vec::<String>::new()).expect("no names are valid");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key can be made");
    let authority = CertifiedIssuer::self_signed(params, key).expect("the authority signs itself");
    let issue = |name: &str| {
        let params = CertificateParams::new(vec![name.to_owned()]).expect("the name is valid");
        let key = KeyPair::generate().expect("a key can be made");
        let certificate = params
            .signed_by(&key, &authority)
            .expect("the authority signs");
        let paths = (
            write(&format!("{name}.pem"), &certificate.pem()),
            write(&format!("{name}.key"), &key.serialize_pem()),
        );
        (certificate, paths)
    };
    let (_, server) = issue("localhost");
    let (listed, ana) = issue("ana");
    let (_, eve) = issue("eve");
    let digest = String::from(KeyDigest::of_bytes(listed.der()));
    let authority = write("authority.pem", &authority.pem());
    let deployment = Deployment::without_hosts(DeploymentOptions::saurashtra())
        .await
        .expect("the configuration can be written");
    let mut settings = deployment.host_settings("rajkot-host-0", "rajkot");
    settings.operators.tls_certificate = Some(server.0);
    settings.operators.tls_key = Some(server.1);
    settings.operators.client_authority = Some(authority.clone());
    settings.operators.tokens_file = Some(write("tokens", &format!("ana read {digest}\n")));
    let host = EntryHost::start(settings).await.expect("the host starts");
    let address = host.operator_address().to_string();
    let authority = authority.display().to_string();
    for ((certificate, key), code) in [(ana, 0), (eve, 4)] {
        let (certificate, key) = (certificate.display().to_string(), key.display().to_string());
        let arguments = [
            "--tls-authority",
            &authority,
            "--tls-name",
            "localhost",
            "--tls-certificate",
            &certificate,
            "--tls-key",
            &key,
            "status",
        ];
        let result = run_admin(&address, &arguments).await;
        assert_eq!(result.code, code, "{}", result.error);
    }
}
