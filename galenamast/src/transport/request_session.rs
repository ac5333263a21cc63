//! Session tokens: verifies the one that a caller presents and issues the one for the answer.

use crate::coordination::{SessionClaims, SessionError, SessionSettings, SessionSigner};
use crate::state::{SessionName, VersionKey, WorkspaceName};
use crate::transport::host_context::HostContext;

/// The session of a caller's verified token.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerSession {
    /// Claims of the token.
    pub claims: SessionClaims,
    /// The token as the caller sent it.
    pub token: String,
}

/// Returns a signer with the current keys; `None` if no session keys are configured.
fn signer(context: &HostContext) -> Option<SessionSigner> {
    let image = context.image.load();
    let keys = image.session_keys.as_ref()?;
    let keys = crate::state::SessionKeys::clone(keys);
    Some(SessionSigner::new(keys, SessionSettings::default()))
}

/// Verifies the token that a caller presents for a workspace.
///
/// # Errors
///
/// Returns why the token is refused; without session keys every token counts as forged.
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

/// Returns the token for an answer: the caller's own if it names the same version, else a new one.
///
/// Returns `None` if no session keys are configured or signing fails.
pub fn token_for_answer(
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
