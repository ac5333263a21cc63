//! Passes a request on to another host while this one reaches no server of the service.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use log::Level;
use rand::Rng;

use crate::coordination::reach::pick_relay;
use crate::coordination::requests::FinalAnswer;
use crate::protocol::{GatewayRecord, RELAY_UNSERVED, RELAYED_BY, strip_connection_headers};
use crate::state::{HostPresence, RouteKind};
use crate::transport::attempt_runner::remaining_time;
use crate::transport::connection_pool::BackendConnection;
use crate::transport::counted_body::read_counted;
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::reach_probe::{is_service_evacuated, record_peer};
use crate::transport::record_log::log_record;
use crate::transport::request_exchange::RequestExchange;
use crate::transport::response_body::{ResponseBody, TruncatedResponse};
use crate::transport::stream_relay::stall_timeout;

/// Greatest number of hosts that a request is passed on to, one after the other.
const MAX_RELAYS: usize = 3;
/// Greatest number of hosts in addition that accept no connection, which bounds the time lost on them.
const MAX_UNREACHED: usize = 3;
/// Time for which a host that did not serve a request gets no other one of the service.
const UNSERVED_PAUSE: Duration = Duration::from_secs(1);
/// Shortest time without a frame of a stream after which the other host counts as lost.
const MIN_FRAME_TIMEOUT: Duration = Duration::from_secs(6);
/// The same as a multiple of the time after which the other host takes its server for stalled and
/// resumes the stream elsewhere.
const FRAME_STALL_FACTOR: f64 = 2.0;

/// How passing a request on ended, if there is no response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayFailure {
    /// The other host accepted no connection.
    Unreached,
    /// The other host did not get the request, or states that it did not run.
    Unserved,
    /// The connection broke; the request may have run.
    Broken,
    /// No whole response came in time; the request may have run.
    TimedOut,
}

impl RequestExchange {
    /// Returns whether the request can only be served by way of another host; if all servers are
    /// evacuated, no host can.
    pub(super) fn has_no_path(&self) -> bool {
        let is_lost = self.context.reach().is_lost(&self.service);
        is_lost && !is_service_evacuated(&self.context, &self.service)
    }

    /// Returns whether a request that ended without a response is to be passed on: no server was
    /// reached, or those that were tried were not and it is not known yet whether others are.
    pub(super) fn needs_relay(&self, end: &ExchangeFailure) -> bool {
        let is_unreached = match end {
            ExchangeFailure::NoPath => true,
            _ => {
                let is_suspect = self.context.reach().is_suspect(&self.service);
                let is_unreached = end.may_run_elsewhere() && is_suspect;
                is_unreached && !is_service_evacuated(&self.context, &self.service)
            }
        };
        is_unreached && !self.is_relayed && self.has_peers()
    }

    /// Returns whether there are other hosts.
    pub(super) fn has_peers(&self) -> bool {
        self.context.peers().len() > 1
    }

    /// Passes the request on, and returns the response for the caller. A request that may run only
    /// once is not passed on again after it may have run.
    pub(super) async fn relay(&mut self) -> Result<Response<ResponseBody>, ExchangeFailure> {
        let mut tried = Vec::new();
        let mut unreached = 0;
        while tried.len() - unreached < MAX_RELAYS && unreached < MAX_UNREACHED {
            let Some(peer) = self.pick_peer(&tried) else {
                break;
            };
            tried.push(peer.address);
            self.log_relay(&peer);
            match self.relay_to(&peer).await {
                Ok(response) => return Ok(response),
                Err(RelayFailure::Unreached) => {
                    unreached += 1;
                    record_peer(&self.context, peer.address, false);
                }
                Err(RelayFailure::Unserved) => {
                    let until = self.context.now() + UNSERVED_PAUSE;
                    let mut reach = self.context.reach();
                    reach.record_peer_lost(peer.address, &self.service, until);
                }
                Err(failure @ (RelayFailure::Broken | RelayFailure::TimedOut)) => {
                    if failure == RelayFailure::Broken {
                        record_peer(&self.context, peer.address, false);
                    }
                    self.tally.runs += 1;
                    if !self.route.is_retryable() {
                        break;
                    }
                }
            }
        }
        let end = if self.tally.runs == 0 {
            FinalAnswer::NotRun
        } else {
            FinalAnswer::Unknown
        };
        Err(ExchangeFailure::HostResponse(end))
    }

    /// Picks the next host to pass the request on to.
    fn pick_peer(&self, tried: &[SocketAddr]) -> Option<HostPresence> {
        let now = self.context.now();
        let peers = self.context.peers();
        let own = peers.get(&self.context.settings.host)?;
        let reach = self.context.reach();
        let peer_reach = self.context.peer_reach();
        let standing = |address| {
            let is_lost = reach.is_peer_lost(address, &self.service, now);
            (!is_lost).then(|| peer_reach.standing(address, now))
        };
        let draw = rand::rng().random();
        pick_relay(peers.values(), own, tried, standing, draw).cloned()
    }

    /// Passes the request on to one host.
    async fn relay_to(&self, peer: &HostPresence) -> Result<Response<ResponseBody>, RelayFailure> {
        let context = &self.context;
        let remaining = remaining_time(context, self.deadline);
        let request = self
            .relayed_request(remaining)
            .ok_or(RelayFailure::Unserved)?;
        // A request that must not run twice is not sent on a connection that may be closed already.
        let may_reuse = self.route.kind != RouteKind::Unsafe;
        let pooled = context.pool.take(peer.address).filter(|_| may_reuse);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                let longest = context.settings.liveness.connect_timeout(remaining);
                let timeout = context.settings.peers.connect_timeout.min(longest);
                let opened = BackendConnection::open(peer.address, timeout).await;
                let opened = opened.map_err(|_| RelayFailure::Unreached)?;
                record_peer(context, peer.address, true);
                opened
            }
        };
        let sending = tokio::time::timeout(remaining, connection.send(request));
        let response = match sending.await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => return Err(RelayFailure::Broken),
            Err(_) => return Err(RelayFailure::TimedOut),
        };
        let (mut parts, body) = response.into_parts();
        let is_refused = matches!(
            parts.status,
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN | StatusCode::NOT_FOUND
        );
        // This host has admitted the request; the other one may not know the configuration yet.
        let is_refused = is_refused && !self.is_signed(&parts.headers, parts.status);
        if is_refused || parts.headers.contains_key(RELAY_UNSERVED) {
            return Err(RelayFailure::Unserved);
        }
        strip_connection_headers(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        let body = if self.route.kind == RouteKind::Stream && parts.status.is_success() {
            self.stream_body(connection, body)
        } else {
            let reading = read_counted(context, body);
            let remaining = remaining_time(context, self.deadline);
            let read = tokio::time::timeout(remaining, reading).await;
            let read = read.map_err(|_| RelayFailure::TimedOut)?;
            let bytes = read.map_err(|_| RelayFailure::Broken)?;
            context.pool.keep(connection, None);
            bytes.into_body()
        };
        self.log_end(parts.status.as_u16(), "relayed", self.tally.tries, 0);
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        Ok(response)
    }

    /// Returns whether a response is a server's.
    fn is_signed(&self, headers: &HeaderMap, status: StatusCode) -> bool {
        (self.context.format.read_answer)(status, headers).signed
    }

    /// Returns the caller's request as it is passed on; `None` if its path cannot be encoded.
    fn relayed_request(&self, remaining: Duration) -> Option<Request<Full<bytes::Bytes>>> {
        let Parts {
            method,
            uri,
            headers,
            ..
        } = &self.parts;
        let mut headers = headers.clone();
        strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        (self.context.format.write_time_left)(&mut headers, remaining);
        let host = HeaderValue::from_str(&self.context.settings.host).ok()?;
        headers.insert(RELAYED_BY, host);
        if let (false, Some(name)) = (headers.contains_key(header::HOST), uri.host()) {
            headers.insert(header::HOST, HeaderValue::from_str(name).ok()?);
        }
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = method.clone();
        *request.uri_mut() = path.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Returns the body of a stream that the other host relays.
    fn stream_body(&self, connection: BackendConnection, body: Incoming) -> ResponseBody {
        let context = self.context.clone();
        let stall_timeout = stall_timeout(&self.route);
        let frame_timeout = stall_timeout
            .mul_f64(FRAME_STALL_FACTOR)
            .max(MIN_FRAME_TIMEOUT);
        let state = (Some(connection), body);
        let frames = stream::unfold(state, move |(mut connection, mut body)| {
            let context = context.clone();
            async move {
                connection.as_ref()?;
                match tokio::time::timeout(frame_timeout, body.frame()).await {
                    Ok(Some(Ok(frame))) => {
                        let bytes = frame.into_data().unwrap_or_default();
                        Some((Ok(Frame::data(bytes)), (connection, body)))
                    }
                    Ok(None) => {
                        let ended = connection.take();
                        ended
                            .into_iter()
                            .for_each(|ended| context.pool.keep(ended, None));
                        None
                    }
                    Ok(Some(Err(_))) | Err(_) => {
                        context.metrics.increment("relays_broken_total");
                        Some((Err(TruncatedResponse), (None, body)))
                    }
                }
            }
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    /// Logs that the request is passed on.
    fn log_relay(&self, peer: &HostPresence) {
        self.context.metrics.increment("requests_relayed_total");
        let record = GatewayRecord::RequestRelayed {
            request: self.request.clone(),
            service: self.service.clone(),
            host: peer.host.clone(),
        };
        log_record(Level::Info, &record);
    }
}
