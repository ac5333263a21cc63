//! Operators, their roles, and the digests of the tokens and certificates that identify them.

use std::fmt;

use crate::protocol::protocol_error::ProtocolError;
use crate::state::KeyDigest;

/// Permissions of an operator; a higher role includes the lower ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRole {
    /// Read configuration, status, usage and decisions.
    Read,
    /// Change configuration and roll-outs; drain and restore hosts and servers.
    Operate,
    /// Create, rotate and revoke keys.
    Administer,
}

impl OperatorRole {
    /// Parses the name of a role.
    ///
    /// ```
    /// use galenamast::protocol::operator_tokens::OperatorRole;
    ///
    /// assert_eq!(OperatorRole::parse("operate"), Some(OperatorRole::Operate));
    /// assert!(OperatorRole::Read < OperatorRole::Administer);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "read" => Some(Self::Read),
            "operate" => Some(Self::Operate),
            "administer" => Some(Self::Administer),
            _ => None,
        }
    }
}

impl fmt::Display for OperatorRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Read => "read",
            Self::Operate => "operate",
            Self::Administer => "administer",
        })
    }
}

/// An authenticated operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorIdentity {
    /// Name of the operator.
    pub name: String,
    /// Role of the operator.
    pub role: OperatorRole,
}

/// The operators of a tokens file, by the digest of their token or certificate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TokenTable {
    entries: Vec<(KeyDigest, OperatorIdentity)>,
}

impl TokenTable {
    /// Parses a tokens file: one line per operator with name, role and the SHA-256 digest of the
    /// token or of the client certificate in DER form.
    ///
    /// Empty lines and lines that begin with `#` are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error that names file and line if a line is malformed.
    ///
    /// ```
    /// use galenamast::protocol::operator_tokens::TokenTable;
    /// use galenamast::state::KeyDigest;
    ///
    /// let line = format!("ana operate {}", String::from(KeyDigest::of_key("secret")));
    /// let table = TokenTable::parse("tokens", &line).unwrap();
    /// assert_eq!(table.find(&KeyDigest::of_key("secret")).unwrap().name, "ana");
    /// assert!(table.find(&KeyDigest::of_key("other")).is_none());
    /// assert!(TokenTable::parse("tokens", "ana root 00").is_err());
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, ProtocolError> {
        let mut entries = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let entry = parse_entry(line).map_err(|reason| ProtocolError::Invalid {
                what: "tokens file",
                reason: format!("{file}:{}: {reason}", index + 1),
            })?;
            entries.push(entry);
        }
        Ok(Self { entries })
    }

    /// Finds the operator of a token or certificate by its digest.
    ///
    /// Every entry is compared, so that the time taken does not reveal which one matched.
    pub fn find(&self, digest: &KeyDigest) -> Option<&OperatorIdentity> {
        let mut found = None;
        for (known, identity) in &self.entries {
            if known.matches(digest) {
                found = Some(identity);
            }
        }
        found
    }

    /// Returns whether the table holds no token.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Parses one line of a tokens file.
fn parse_entry(line: &str) -> Result<(KeyDigest, OperatorIdentity), String> {
    let parts: Vec<&str> = line.split_whitespace().collect();
    let [name, role, digest] = parts[..] else {
        return Err("a line must hold operator, role and digest".into());
    };
    let role = OperatorRole::parse(role)
        .ok_or_else(|| format!("role `{role}` must be read, operate or administer"))?;
    let digest = KeyDigest::try_from(digest.to_owned())
        .map_err(|_| "the digest must be 64 hexadecimal digits".to_owned())?;
    let identity = OperatorIdentity {
        name: name.into(),
        role,
    };
    Ok((digest, identity))
}
