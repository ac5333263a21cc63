//! Admits a caller's request: checks its headers, route and credential, and reads its body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use galenamast::transport::BoundedBody;
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode, header};

use crate::protocol::has_ambiguous_length;
use crate::state::{CallerHead, ConfigSnapshot, ServiceRoute, WorkspaceEntry};
use crate::transport::connection_activity::{BodyPhase, ConnectionActivity};
use crate::transport::exchange_slot::ExchangeSlot;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::host_memory::{MemoryKind, MemoryShare};
use crate::transport::open_connections::add_body_evicting;
use crate::transport::response_body::{
    ResponseBody, host_response, not_run_response, stopping_response,
};
use crate::transport::store_feeds::refresh_configuration;

/// `Retry-After` while the host has not read a configuration yet.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` when the memory for request bodies is used up.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Part of a body with a stated length that is allocated before it arrives, in bytes.
const FIRST_BODY_BYTES: usize = 64 * 1_024;
/// First block of a body without a stated length, and size of the further blocks of all, in bytes.
const FIRST_BLOCK_BYTES: usize = 4 * 1_024;
const BODY_BLOCK_BYTES: usize = 32 * 1_024;
/// Bytes of a header besides its name and value.
const FIELD_SEPARATOR_BYTES: usize = ": \r\n".len();
/// Longest time for which the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest part of such a body that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 * 1_024 * 1_024;

/// The outcome of admission: what a request may use.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    /// Configuration that the request was admitted under.
    pub(crate) snapshot: Arc<ConfigSnapshot>,
    /// Route of the request.
    pub(crate) route: Arc<ServiceRoute>,
    /// Workspace of the credential; `None` if no workspace holds it.
    pub(crate) workspace: Option<WorkspaceEntry>,
}

/// The host's own response to a request that is not admitted.
pub(crate) type Refusal = Box<Response<ResponseBody>>;

/// Finds the route and the workspace of a request. Before a request is refused, a configuration
/// that is not fresh is read again from the store.
pub(crate) async fn admit_head(
    context: &GatewayContext,
    parts: &Parts,
    head: &CallerHead,
) -> Result<Admission, Refusal> {
    match admit_known(context, parts, head) {
        Ok(admission) => Ok(admission),
        Err(Some(refusal)) => Err(refusal),
        Err(None) => {
            refresh_configuration(context)
                .await
                .map_err(|_| unconfirmed_response())?;
            resolve_route(context, parts, head).map_err(|status| Box::new(refuse(status)))
        }
    }
}

/// Finds the route and the workspace of a request in the configuration in force.
///
/// # Errors
///
/// Returns the refusal, or `None` if the configuration is not fresh enough to refuse by.
pub(crate) fn admit_known(
    context: &GatewayContext,
    parts: &Parts,
    head: &CallerHead,
) -> Result<Admission, Option<Refusal>> {
    if has_ambiguous_length(&parts.headers) {
        return Err(Some(Box::new(host_response(
            StatusCode::BAD_REQUEST,
            "the length is ambiguous",
        ))));
    }
    if head.request.is_none() {
        return Err(Some(Box::new(host_response(
            StatusCode::BAD_REQUEST,
            "the request has no identifier",
        ))));
    }
    let age = context.configuration_age();
    let is_fresh = age.is_some_and(|age| age < context.settings.refusal_recheck_age());
    resolve_route(context, parts, head).map_err(|status| {
        let is_final = is_fresh && status != StatusCode::SERVICE_UNAVAILABLE;
        is_final.then(|| Box::new(refuse(status)))
    })
}

/// Finds the route and the workspace of a request that another host admitted under an earlier
/// configuration; `None` if that is not kept here, or the current one admits the request.
pub(crate) fn admit_earlier(
    context: &GatewayContext,
    parts: &Parts,
    head: &CallerHead,
    version: u64,
) -> Option<Admission> {
    let status = resolve_route(context, parts, head).err()?;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let snapshot = context.earlier_snapshot(version)?;
    resolve_in(snapshot, parts, head).ok()
}

/// Finds the route and the workspace of a request in the current configuration.
fn resolve_route(
    context: &GatewayContext,
    parts: &Parts,
    head: &CallerHead,
) -> Result<Admission, StatusCode> {
    let snapshot = context
        .snapshot
        .load_full()
        // A configuration that was read stale and not confirmed yet may be too old to serve by.
        .filter(|_| context.configuration_age().is_some() && context.knows_evacuations())
        .ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    resolve_in(snapshot, parts, head)
}

/// Finds the route and the workspace of a request in a configuration.
fn resolve_in(
    snapshot: Arc<ConfigSnapshot>,
    parts: &Parts,
    head: &CallerHead,
) -> Result<Admission, StatusCode> {
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = snapshot
        .find_route(host, parts.uri.path())
        .ok_or(StatusCode::NOT_FOUND)?
        .clone();
    let workspace = head
        .credential
        .as_deref()
        .and_then(|key| snapshot.find_workspace(key))
        .cloned();
    if workspace.is_none() && snapshot.needs_credentials && !route.public {
        return Err(StatusCode::UNAUTHORIZED);
    }
    Ok(Admission {
        snapshot,
        route,
        workspace,
    })
}

/// Returns the response for a request refused with `status`.
fn refuse(status: StatusCode) -> Response<ResponseBody> {
    match status {
        StatusCode::NOT_FOUND => host_response(status, "no route leads there"),
        StatusCode::UNAUTHORIZED => host_response(status, "the credential is not known"),
        _ => not_run_response("the configuration is not known yet", STARTUP_RETRY_AFTER),
    }
}

/// Returns the refusal of a request for which the configuration could not be confirmed in time.
pub(crate) fn unconfirmed_response() -> Refusal {
    Box::new(refuse(StatusCode::SERVICE_UNAVAILABLE))
}

/// A request body in memory. It counts against the memory limit until it is dropped.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    _share: MemoryShare,
    // Memory of the request besides its body.
    _exchange: ExchangeSlot,
    /// Bytes of the body.
    pub(crate) bytes: Bytes,
}

/// Why a request body is not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyRefusal {
    /// It is larger than the configuration allows.
    TooLarge,
    /// The memory for bodies is used up.
    NoRoom,
    /// It broke off.
    Broken,
    /// It did not arrive before the deadline of the request.
    Late,
    /// The host stopped before it arrived.
    Stopping,
}

impl BodyRefusal {
    /// Returns the reason as logged.
    pub(crate) const fn reason(self) -> &'static str {
        match self {
            Self::TooLarge => "the body is too large",
            Self::NoRoom => "the host has no room now",
            Self::Broken => "the body broke off",
            Self::Late => "the body did not arrive in time",
            Self::Stopping => "the host stops",
        }
    }

    /// Returns the name of the counter.
    pub(crate) const fn counter(self) -> &'static str {
        match self {
            Self::TooLarge => "bodies_too_large_total",
            Self::NoRoom => "bodies_without_room_total",
            Self::Broken => "bodies_broken_total",
            Self::Late => "bodies_late_total",
            Self::Stopping => "bodies_stopped_total",
        }
    }

    /// Returns the response for the caller.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let text = self.reason();
        match self {
            Self::TooLarge => host_response(StatusCode::PAYLOAD_TOO_LARGE, text),
            Self::NoRoom => not_run_response(text, MEMORY_RETRY_AFTER),
            Self::Broken => host_response(StatusCode::BAD_REQUEST, text),
            Self::Late => host_response(StatusCode::REQUEST_TIMEOUT, text),
            Self::Stopping => stopping_response(),
        }
    }
}

/// Reads a request body. Refuses one that is larger than the configuration allows or does not fit the
/// memory that is left: by its stated length before it is read, or else as it arrives.
pub(crate) async fn read_body(
    context: &Arc<GatewayContext>,
    admission: &Admission,
    parts: &Parts,
    body: &mut BoundedBody,
    activity: &ConnectionActivity,
) -> Result<BufferedBody, BodyRefusal> {
    let limit = admission.snapshot.limits.body_bytes;
    let exchange = ExchangeSlot::take(context, admission, head_bytes(parts)).await;
    let exchange = exchange.ok_or(BodyRefusal::NoRoom)?;
    let content_length = parts
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok());
    let content_length: Option<usize> = content_length.and_then(|value| value.parse().ok());
    if content_length.is_some_and(|length| length > limit) {
        return Err(BodyRefusal::TooLarge);
    }
    let mut share = MemoryShare::new(&context.memory, MemoryKind::Requests);
    if content_length.is_some_and(|length| length > context.memory.limit()) {
        return Err(BodyRefusal::NoRoom);
    }
    // A body holds what has arrived: a stated length alone takes no room from others. Blocks of one size leave
    // no gaps in the heap.
    let mut blocks: Vec<Vec<u8>> = Vec::new();
    let mut length = 0;
    while let Some(data) = body.data().await {
        let data = data.map_err(|_| BodyRefusal::Broken)?;
        length += data.len();
        if length > limit {
            return Err(BodyRefusal::TooLarge);
        }
        let mut data = &data[..];
        while !data.is_empty() {
            let room = blocks
                .last()
                .map_or(0, |block| block.capacity() - block.len());
            if room == 0 {
                let size = block_size(blocks.is_empty(), content_length);
                if !add_body_evicting(context, &mut share, size).await {
                    return Err(BodyRefusal::NoRoom);
                }
                activity.set_body_bytes(exchange.bytes() + share.bytes());
                blocks.push(Vec::with_capacity(size));
                continue;
            }
            let (part, rest) = data.split_at(room.min(data.len()));
            if let Some(block) = blocks.last_mut() {
                block.extend_from_slice(part);
            }
            data = rest;
        }
    }
    let bytes = match blocks.len() {
        0 | 1 => blocks.pop().unwrap_or_default(),
        _ => {
            // The body is held twice while it is joined.
            if !add_body_evicting(context, &mut share, length).await {
                return Err(BodyRefusal::NoRoom);
            }
            let bytes = blocks.concat();
            drop(blocks);
            bytes
        }
    };
    share.set(bytes.capacity());
    Ok(BufferedBody {
        _share: share,
        _exchange: exchange,
        bytes: bytes.into(),
    })
}

/// Returns the size of a block of a body, given its length if it is stated.
fn block_size(is_first: bool, content_length: Option<usize>) -> usize {
    match content_length {
        Some(length) if is_first => length.clamp(1, FIRST_BODY_BYTES),
        None if is_first => FIRST_BLOCK_BYTES,
        _ => BODY_BLOCK_BYTES,
    }
}

/// Returns the size of a request's head in bytes, if it has no spaces without need.
pub(crate) fn head_bytes(parts: &Parts) -> usize {
    let fields = parts.headers.iter();
    let fields =
        fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_SEPARATOR_BYTES);
    let target = parts.uri.path_and_query();
    target.map_or(0, |target| target.as_str().len()) + fields.sum::<usize>()
}

/// Has a refusal end its connection if the body was not read, and reads the rest of the body, unless its
/// caller sends none before it is told to.
pub(crate) fn close_after(
    context: &GatewayContext,
    mut refusal: Refusal,
    body: BoundedBody,
    awaits_continue: bool,
    activity: &Arc<ConnectionActivity>,
) -> Refusal {
    if !body.is_end_stream() {
        let close = HeaderValue::from_static("close");
        refusal.headers_mut().insert(header::CONNECTION, close);
        if !awaits_continue {
            discard_body(context, body, activity.clone());
        }
    }
    refusal
}

/// Reads the rest of a refused request's body and drops it. Closing the connection with unread bytes
/// would reset it, so that the caller might not see the response.
fn discard_body(
    context: &GatewayContext,
    mut body: BoundedBody,
    activity: Arc<ConnectionActivity>,
) {
    if body.is_end_stream() || activity.evicted.is_cancelled() {
        return;
    }
    activity.set_body_phase(BodyPhase::Discarding);
    context.metrics.increment("bodies_discarded_total");
    tokio::spawn(async move {
        let reading = async {
            let mut bytes = 0;
            while let Some(Ok(data)) = body.data().await {
                bytes += data.len();
                if bytes > MAX_DISCARDED_BYTES {
                    return;
                }
            }
        };
        // A body that is still arriving then is not worth its bandwidth.
        let reading = tokio::time::timeout(DISCARD_TIMEOUT, reading);
        let _ = activity.evicted.run_until_cancelled(reading).await;
    });
}
