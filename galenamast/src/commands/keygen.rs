//! The command `keygen`, which creates the certificate authority and issues certificates to entry
//! hosts.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::commands::{EXIT_FAILED, EXIT_INVALID};
use crate::state::HostName;
use crate::transport::tls_keygen::CertificateAuthority;

/// Name of the command.
pub const NAME: &str = "keygen";
/// Name of the file with the authority's certificate.
const AUTHORITY_FILE: &str = "authority.pem";
/// Name of the file with the authority's private key.
const AUTHORITY_KEY_FILE: &str = "authority-key.pem";
/// Seconds in a day.
const SECONDS_PER_DAY: u64 = 86_400;

/// Builds the command's arguments.
pub fn command() -> Command {
    let directory = Arg::new("directory")
        .value_name("DIRECTORY")
        .help("Directory of the authority; created if it does not exist")
        .required(true)
        .value_parser(value_parser!(PathBuf));
    let hosts = Arg::new("host")
        .long("host")
        .value_name("NAME")
        .help("Entry host to issue a certificate for; may be repeated")
        .action(ArgAction::Append);
    let days = Arg::new("days")
        .long("days")
        .value_name("DAYS")
        .help("Validity of the host certificates, in days")
        .default_value("90")
        .value_parser(value_parser!(u64).range(1..=3_650));
    Command::new(NAME)
        .about("Create the certificate authority and the certificates of entry hosts")
        .arg(directory)
        .arg(hosts)
        .arg(days)
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let Some(directory) = matches.get_one::<PathBuf>("directory") else {
        return ExitCode::from(EXIT_INVALID);
    };
    let hosts = matches.get_many::<String>("host").unwrap_or_default();
    let hosts: Vec<HostName> = hosts.map(|name| HostName::new(name)).collect();
    let days = matches.get_one::<u64>("days").copied().unwrap_or(90);
    let validity = Duration::from_secs(days * SECONDS_PER_DAY);
    match issue_certificates(directory, &hosts, validity) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("galenamast: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Issues a certificate to each host, and first creates the authority if there is none.
fn issue_certificates(
    directory: &Path,
    hosts: &[HostName],
    validity: Duration,
) -> Result<(), Box<dyn std::error::Error>> {
    fs::create_dir_all(directory)?;
    let authority = load_or_create_authority(directory)?;
    for host in hosts {
        let issued = authority.issue(host, validity)?;
        let certificate = directory.join(format!("{host}.pem"));
        fs::write(&certificate, &issued.certificate)?;
        write_secret(&directory.join(format!("{host}-key.pem")), &issued.key)?;
        println!(
            "{host} serial {} in {}",
            issued.serial,
            certificate.display()
        );
    }
    Ok(())
}

/// Loads the authority of a directory, or creates it.
fn load_or_create_authority(
    directory: &Path,
) -> Result<CertificateAuthority, Box<dyn std::error::Error>> {
    let certificate = directory.join(AUTHORITY_FILE);
    let key = directory.join(AUTHORITY_KEY_FILE);
    if key.exists() {
        let certificate = fs::read_to_string(certificate)?;
        let key = fs::read_to_string(key)?;
        return Ok(CertificateAuthority::restore(&certificate, &key)?);
    }
    let authority = CertificateAuthority::generate()?;
    write_secret(&key, &authority.key())?;
    fs::write(certificate, authority.certificate())?;
    Ok(authority)
}

/// Writes a file with mode 0600, so that only its owner can read it.
fn write_secret(path: &Path, text: &str) -> io::Result<()> {
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(0o600);
    options.open(path)?.write_all(text.as_bytes())
}
