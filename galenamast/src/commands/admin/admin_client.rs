//! Connection of the command `admin` to an entry host.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};
use tonic::{Request, Response, Status};

use crate::commands::admin::admin_error::AdminError;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time until a call is answered or a stream starts.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Adds the arguments for the connection and the output format to a command.
pub fn connection_args(command: Command) -> Command {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .help(help)
            .global(true)
            .value_parser(value_parser!(PathBuf))
    };
    let server = Arg::new("server")
        .long("server")
        .value_name("IP:PORT")
        .help("Operator address of an entry host")
        .global(true)
        .default_value("127.0.0.1:8081");
    let tls_name = Arg::new("tls-name")
        .long("tls-name")
        .value_name("NAME")
        .help("Name that the host's certificate must have")
        .global(true);
    let output = Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .help("Output format")
        .global(true)
        .value_parser(["table", "json"])
        .default_value("table");
    command
        .arg(server)
        .arg(file("token-file", "File with the operator's token"))
        .arg(file(
            "tls-authority",
            "PEM file with the certificate authority of the host",
        ))
        .arg(file(
            "tls-certificate",
            "PEM file with the operator's certificate",
        ))
        .arg(file("tls-key", "PEM file with the operator's private key"))
        .arg(tls_name)
        .arg(output)
}

/// Connection to the operator protocol of an entry host.
#[derive(Clone, Debug)]
pub struct AdminClient {
    /// Channel for the generated clients; it connects on the first call.
    pub channel: Channel,
    token: Option<MetadataValue<Ascii>>,
}

impl AdminClient {
    /// Prepares a connection from the arguments, without connecting yet.
    ///
    /// # Errors
    ///
    /// Returns an error if an argument or a file cannot be used.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, AdminError> {
        let path = |name: &str| matches.get_one::<PathBuf>(name);
        let server = matches
            .get_one::<String>("server")
            .map_or("", String::as_str);
        let scheme = match path("tls-authority") {
            Some(_) => "https",
            None => "http",
        };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{server}"))
            .map_err(|error| AdminError::Arguments(format!("--server {server}: {error}")))?;
        let mut endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT);
        if let Some(authority) = path("tls-authority") {
            let authority = Certificate::from_pem(read_file(authority)?);
            let mut tls = ClientTlsConfig::new().ca_certificate(authority);
            if let Some(name) = matches.get_one::<String>("tls-name") {
                tls = tls.domain_name(name);
            }
            if let (Some(certificate), Some(key)) = (path("tls-certificate"), path("tls-key")) {
                let identity = Identity::from_pem(read_file(certificate)?, read_file(key)?);
                tls = tls.identity(identity);
            }
            endpoint = endpoint
                .tls_config(tls)
                .map_err(|error| AdminError::Arguments(error.to_string()))?;
        }
        let token = path("token-file")
            .map(|path| read_token(path))
            .transpose()?;
        Ok(Self {
            channel: endpoint.connect_lazy(),
            token,
        })
    }

    /// Creates a request with the operator's token, if one was given.
    pub fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(token) = &self.token {
            let metadata = request.metadata_mut();
            metadata.insert("authorization", token.clone());
        }
        request
    }

    /// Waits for the response to a call, for at most `CALL_TIMEOUT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call was refused or interrupted, or the host is unreachable.
    pub async fn call<T>(
        &self,
        call: impl Future<Output = Result<Response<T>, Status>>,
    ) -> Result<T, AdminError> {
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(classify_status(status)),
            Err(_) => {
                let text = format!("no answer within {CALL_TIMEOUT:?}");
                Err(AdminError::Interrupted(text))
            }
        }
    }
}

/// Distinguishes a connection that was never made from a call that was interrupted.
fn classify_status(status: Status) -> AdminError {
    let mut source = std::error::Error::source(&status);
    while let Some(error) = source {
        let refused = error
            .downcast_ref::<std::io::Error>()
            .is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused);
        let connect = error.to_string().contains("tcp connect error");
        if refused || connect {
            return AdminError::Unreachable(error.to_string());
        }
        source = error.source();
    }
    AdminError::from(status)
}

/// Reads a file given as an argument.
pub(super) fn read_file(path: &Path) -> Result<Vec<u8>, AdminError> {
    std::fs::read(path)
        .map_err(|error| AdminError::Arguments(format!("cannot read {}: {error}", path.display())))
}

/// Reads the operator's token and returns it as a value of the `authorization` header.
fn read_token(path: &Path) -> Result<MetadataValue<Ascii>, AdminError> {
    let bytes = read_file(path)?;
    let text = String::from_utf8_lossy(&bytes);
    let header = format!("Bearer {}", text.trim());
    header
        .parse()
        .map_err(|_| AdminError::Arguments(format!("{} holds no token", path.display())))
}
