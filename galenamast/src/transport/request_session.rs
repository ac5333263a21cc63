//! Session tokens of a request: the one that its caller presents and the one that it gets.

use crate::coordination::{SessionClaims, SessionError, SessionSettings, SessionSigner};
use crate::state::{SessionName, VersionKey, WorkspaceName};
use crate::transport::host_context::HostContext;

/// A session that a caller's token names.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerSession {
    /// What the token states.
    pub claims: SessionClaims,
    /// The token.
    pub token: String,
}

/// Returns a signer with the keys in force; without keys there are no sessions.
fn signer(context: &HostContext) -> Option<SessionSigner> {
    let image = context.image.load();
    let keys = image.session_keys.as_ref()?;
    let keys = crate::state::SessionKeys::clone(keys);
    Some(SessionSigner::new(keys, SessionSettings::default()))
}

/// Verifies the token that a caller presents.
///
/// # Errors
///
/// Returns why the token is refused.
pub fn verify_token(
    context: &HostContext,
    workspace: &WorkspaceName,
    token: &str,
) -> Result<CallerSession, SessionError> {
    let signer = signer(context).ok_or(SessionError::Forged)?;
    let claims = signer.verify(token, workspace, context.timers.unix_millis())?;
    Ok(CallerSession {
        claims,
        token: token.to_owned(),
    })
}

/// Returns the token of an answer: the caller's own while its version stays, else a new one.
pub fn token_for(
    context: &HostContext,
    workspace: &WorkspaceName,
    session: Option<&CallerSession>,
    version: &VersionKey,
) -> Option<String> {
    if let Some(session) = session
        && session.claims.version == *version
    {
        return Some(session.token.clone());
    }
    let name = match session {
        Some(session) => session.claims.session.clone(),
        None => SessionName::new(&uuid::Uuid::now_v7().to_string()),
    };
    let claims = SessionClaims {
        workspace: workspace.clone(),
        session: name,
        version: version.clone(),
        generation: context.image.load().generation,
        issued_unix_ms: context.timers.unix_millis(),
    };
    signer(context)?.issue(&claims).ok()
}
