//! Starts an entry host with operators and runs the command `admin` against it.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use galenamast::cli::build_command;
use galenamast::commands::admin;
use galenamast::event_loop::EntryHost;
use galenamast::state::{ConfigGeneration, KeyDigest};
use galenamast_testbed::{Deployment, DeploymentOptions};
use serde_json::Value;
use tempfile::TempDir;

/// Time after which a test fails because an expected condition has not come about.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Exit code, output and error text of a command.
#[derive(Debug)]
pub(crate) struct AdminResult {
    pub(crate) code: u8,
    pub(crate) output: String,
    pub(crate) error: String,
}

impl AdminResult {
    /// Returns the output as JSON; panics if the command failed.
    pub(crate) fn json(&self) -> Value {
        assert_eq!(self.code, 0, "{}", self.error);
        serde_json::from_str(&self.output).expect("the output is JSON")
    }
}

/// A deployment with one entry host and an operator for each of the three roles.
pub(crate) struct OperatorBench {
    pub(crate) deployment: Deployment,
    pub(crate) host: EntryHost,
    pub(crate) directory: TempDir,
}

impl OperatorBench {
    /// Starts a deployment with one host and the single failure domain `cumbre`.
    pub(crate) async fn start() -> Self {
        Self::start_with(DeploymentOptions {
            domains: vec!["cumbre".into()],
            ..DeploymentOptions::nieve_alta()
        })
        .await
    }

    /// Starts a deployment with the given options and one host in the failure domain `cumbre`.
    pub(crate) async fn start_with(options: DeploymentOptions) -> Self {
        let deployment = Deployment::without_hosts(options)
            .await
            .expect("the configuration can be written");
        let directory = tempfile::tempdir().expect("a temporary directory can be made");
        let mut tokens = String::from("# operators of the test\n");
        for role in ["read", "operate", "administer"] {
            let digest = String::from(KeyDigest::of_key(&format!("{role}-token")));
            tokens.push_str(&format!("{role}-operator {role} {digest}\n"));
            let path = directory.path().join(role);
            fs::write(path, format!("{role}-token\n")).expect("the token can be written");
        }
        let tokens_file = directory.path().join("tokens");
        fs::write(&tokens_file, tokens).expect("the tokens can be written");
        let mut settings = deployment.host_settings("cumbre-host-0", "cumbre");
        settings.operators.tokens_file = Some(tokens_file);
        let host = EntryHost::start(settings).await.expect("the host starts");
        let bench = Self {
            deployment,
            host,
            directory,
        };
        bench
            .wait_until(|host| host.context().image.load().generation.0 > 0)
            .await;
        bench
    }

    /// Polls a condition on the host every 10 ms; panics after `WAIT_TIMEOUT`.
    pub(crate) async fn wait_until(&self, holds: impl Fn(&EntryHost) -> bool) {
        let waiting = async {
            while !holds(&self.host) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect("the condition holds within WAIT_TIMEOUT");
    }

    /// Waits until the host has adopted a configuration generation or a later one.
    pub(crate) async fn wait_in_force(&self, generation: u64) {
        let generation = ConfigGeneration(generation);
        self.wait_until(|host| host.context().image.load().generation >= generation)
            .await;
    }

    /// Writes a file into the test's directory; returns its path.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.directory.path().join(name);
        fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    }

    /// Returns the path of the file with a role's token.
    pub(crate) fn token_path(&self, role: &str) -> PathBuf {
        self.directory.path().join(role)
    }

    /// Runs `admin` as the operator with a role; the arguments are separated by spaces.
    pub(crate) async fn admin(&self, role: &str, words: &str) -> AdminResult {
        let token = self.token_path(role).display().to_string();
        let connection = ["--token-file", token.as_str(), "--output", "json"];
        let mut arguments: Vec<&str> = connection.to_vec();
        arguments.extend(words.split(' '));
        let server = self.host.operator_address().to_string();
        run_admin(&server, &arguments).await
    }
}

/// Runs `admin` against the host at an operator address, without credentials of its own.
pub(crate) async fn run_admin(server: &str, arguments: &[&str]) -> AdminResult {
    let mut words = vec!["galenamast", "admin", "--server", server];
    words.extend(arguments);
    let matches = build_command().get_matches_from(words);
    let (_, matches) = matches.subcommand().expect("the command is admin");
    let mut output = Vec::new();
    let result = admin::execute(matches, &mut output).await;
    let output = String::from_utf8(output).expect("the output is text");
    match result {
        Ok(()) => AdminResult {
            code: 0,
            output,
            error: String::new(),
        },
        Err(error) => AdminResult {
            code: error.exit_code(),
            output,
            error: error.to_string(),
        },
    }
}
