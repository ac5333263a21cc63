//! Passes a request on to another host while this one reaches no server of the service.

use std::net::SocketAddr;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use log::Level;
use rand::Rng;

use crate::coordination::liveness::ProbeResult;
use crate::coordination::reach::pick_relay;
use crate::coordination::requests::{
    AttemptLimits, AttemptOutcome, ExchangeState, ExchangeStep, FinalAnswer, NextServers,
    ResponseOrigin, exchange_step, promises_not_run,
};
use crate::protocol::{
    GatewayRecord, RELAY_UNSERVED, RELAYED_BY, RELAYED_REQUEST, has_relay_arrivals,
    strip_connection_headers, write_relay_attempts, write_relay_configuration,
};
use crate::state::{HostPresence, RouteKind};
use crate::transport::attempt_runner::{CompleteResponse, remaining_time};
use crate::transport::connection_pool::BackendConnection;
use crate::transport::counted_body::read_counted;
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::reach_probe::{is_service_evacuated, record_peer};
use crate::transport::record_log::log_record;
use crate::transport::request_exchange::RequestExchange;
use crate::transport::request_exchange::relayed_stream::RelayedResponse;

/// Greatest number of hosts that a request is passed on to, one after the other.
const MAX_RELAYS: u32 = 3;
/// Greatest number of hosts in addition that accept no connection, which bounds the time lost on them.
const MAX_UNREACHED: u32 = 3;
/// Time for which a host that did not serve a request gets no other one of the service.
const UNSERVED_PAUSE: Duration = Duration::from_secs(1);

/// The response of another host.
#[derive(Debug)]
pub(super) enum RelayAnswer {
    /// The beginning of a stream.
    Stream(Box<RelayedResponse>),
    /// A whole response.
    Whole(CompleteResponse),
}

/// How passing a request on ended, if there is no response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayFailure {
    /// The other host accepted no connection.
    Unreached,
    /// This host itself could open no connection.
    NotTried,
    /// The request did not run at the other host, and reached no server.
    Unserved,
    /// The request reached servers of the other host, which did not run it.
    Refused,
    /// The connection broke; the request may have run.
    Broken,
    /// No whole response came in time; the request may have run.
    TimedOut,
}

impl RelayFailure {
    /// Returns the outcome of the attempts that the other host made.
    fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Unreached | Self::Unserved => AttemptOutcome::NotSent,
            Self::NotTried => AttemptOutcome::NotTried,
            Self::Refused => AttemptOutcome::Rejected,
            Self::Broken => AttemptOutcome::Broken,
            Self::TimedOut => AttemptOutcome::Silent,
        }
    }
}

impl RequestExchange {
    /// Returns whether the request can only be served by way of another host; if all servers are
    /// evacuated, no host can.
    pub(super) fn has_no_path(&self) -> bool {
        let is_lost = self.context.reach().is_lost(&self.service);
        is_lost && !is_service_evacuated(&self.context, &self.service)
    }

    /// Returns whether the request is to be passed on before a server is asked.
    pub(super) fn needs_other_host(&self) -> bool {
        let may_run_there = self.tally.runs == 0 || self.may_pass_on(0);
        may_run_there && self.has_no_path() && self.has_peers()
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

    /// Passes the request on after an attempt with this outcome, and returns the response for the caller.
    /// Events up to `resume_after` were delivered before. After it may have run, it is passed on again only
    /// as another attempt may be made at a server.
    pub(super) async fn relay(
        &mut self,
        mut outcome: AttemptOutcome,
        resume_after: Option<u64>,
    ) -> Result<RelayAnswer, ExchangeFailure> {
        let limits = AttemptLimits {
            tries: self.tally.tries + MAX_RELAYS,
            ..self.limits()
        };
        let mut tried = Vec::new();
        let mut unreached = 0;
        loop {
            let state = ExchangeState {
                limits,
                latest: Some(outcome),
                ..self.state(0, 0)
            };
            let has_room = unreached < MAX_UNREACHED;
            let peer = self.pick_peer(&tried).filter(|_| has_room);
            let mut servers = NextServers {
                untried: peer.is_some(),
                left: false,
                in_budget: true,
            };
            let mut step = exchange_step(&state, servers);
            if step == (ExchangeStep::Ask { is_retry: true }) {
                servers.in_budget = self.take_grant();
                step = exchange_step(&state, servers);
            }
            let peer = match (step, peer) {
                (ExchangeStep::Ask { .. }, Some(peer)) => peer,
                (ExchangeStep::End(end), _) => return Err(self.failure(end)),
                _ => return Err(ExchangeFailure::HostResponse(FinalAnswer::Unknown)),
            };
            tried.push(peer.address);
            self.log_relay(&peer);
            let runs = self.tally.runs_to_pass_on(&limits);
            let failure = match self.relay_to(&peer, runs, resume_after).await {
                Ok(answer) => {
                    self.has_grant = false;
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            self.record_relay_failure(&peer, failure);
            if failure == RelayFailure::Unreached {
                unreached += 1;
                continue;
            }
            outcome = failure.outcome();
            // Hosts that reached no server do not use up a retry.
            self.has_grant &= !outcome.reached_server();
            self.note_relay_end(outcome, runs);
        }
    }

    /// Records what a failure shows of another host.
    fn record_relay_failure(&self, peer: &HostPresence, failure: RelayFailure) {
        match failure {
            RelayFailure::Unreached | RelayFailure::Broken => {
                record_peer(&self.context, peer.address, false);
            }
            RelayFailure::Unserved | RelayFailure::Refused => {
                let until = self.context.now() + UNSERVED_PAUSE;
                let mut reach = self.context.reach();
                reach.record_peer_lost(peer.address, &self.service, until);
            }
            RelayFailure::TimedOut | RelayFailure::NotTried => {}
        }
    }

    /// Picks the next host to pass the request on to.
    pub(super) fn pick_peer(&self, tried: &[SocketAddr]) -> Option<HostPresence> {
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

    /// Passes the request on to one host, where a number of servers may run it.
    async fn relay_to(
        &self,
        peer: &HostPresence,
        runs: u32,
        resume_after: Option<u64>,
    ) -> Result<RelayAnswer, RelayFailure> {
        let context = &self.context;
        let remaining = remaining_time(context, self.deadline);
        let request = self
            .relayed_request(remaining, runs, resume_after)
            .ok_or(RelayFailure::Unserved)?;
        // A request that must not run twice is not sent on a connection that may be closed already, or on
        // which a refusal may belong to an earlier request.
        let may_reuse = self.route.is_retryable();
        let pooled = context.pool.take(peer.address).filter(|_| may_reuse);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                let longest = context.settings.liveness.connect_timeout(remaining);
                let timeout = context.settings.peers.connect_timeout.min(longest);
                let opened = BackendConnection::open_counted(context, peer.address, timeout).await;
                let opened = opened.map_err(|error| match ProbeResult::of_error(&error) {
                    ProbeResult::NotTried => RelayFailure::NotTried,
                    _ => RelayFailure::Unreached,
                })?;
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
        let is_unserved = parts.headers.contains_key(RELAY_UNSERVED);
        let origin = self.response_origin(&parts, connection.reused);
        let is_unserved = is_refused || is_unserved;
        let states_not_run = is_unserved || promises_not_run(parts.status);
        let is_deliverable = origin == ResponseOrigin::Named || !parts.status.is_success();
        let is_doubtful = states_not_run && !origin.is_certain();
        if origin == ResponseOrigin::Foreign || is_doubtful || !is_deliverable {
            return Err(RelayFailure::Broken);
        }
        if is_unserved {
            let failure = if has_relay_arrivals(&parts.headers) {
                RelayFailure::Refused
            } else {
                RelayFailure::Unserved
            };
            return Err(failure);
        }
        strip_connection_headers(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        parts.headers.remove(RELAYED_REQUEST);
        if self.route.kind == RouteKind::Stream && parts.status.is_success() {
            return Ok(RelayAnswer::Stream(Box::new(RelayedResponse {
                parts,
                connection,
                body,
                runs,
            })));
        }
        let reading = read_counted(context, body, || ());
        let remaining = remaining_time(context, self.deadline);
        let read = tokio::time::timeout(remaining, reading).await;
        let read = read.map_err(|_| RelayFailure::TimedOut)?;
        let bytes = read.map_err(|_| RelayFailure::Broken)?;
        context.pool.keep(connection, None);
        Ok(RelayAnswer::Whole(CompleteResponse {
            status: parts.status,
            headers: parts.headers,
            body: bytes,
        }))
    }

    /// Returns what ties a response of another host to the request. Hosts of earlier builds name it only
    /// in the responses of servers.
    fn response_origin(&self, parts: &http::response::Parts, is_reused: bool) -> ResponseOrigin {
        let named = parts.headers.get(RELAYED_REQUEST);
        let named = named.and_then(|value| value.to_str().ok());
        let head = (self.context.format.read_answer)(parts.status, &parts.headers);
        ResponseOrigin::new(named.or(head.request.as_deref()), &self.request, is_reused)
    }

    /// Returns whether a response is a server's.
    fn is_signed(&self, headers: &HeaderMap, status: StatusCode) -> bool {
        (self.context.format.read_answer)(status, headers).signed
    }

    /// Returns the caller's request as it is passed on; `None` if its path cannot be encoded.
    fn relayed_request(
        &self,
        remaining: Duration,
        runs: u32,
        resume_after: Option<u64>,
    ) -> Option<Request<Full<bytes::Bytes>>> {
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
        if let Some(id) = resume_after {
            (self.context.format.write_resume_after)(&mut headers, id);
            // Another model would not continue the answer.
            if let Some(model) = &self.model {
                (self.context.format.write_model)(&mut headers, model);
            }
        }
        let host = HeaderValue::from_str(&self.context.settings.host).ok()?;
        headers.insert(RELAYED_BY, host);
        write_relay_attempts(&mut headers, runs);
        write_relay_configuration(&mut headers, self.snapshot.version);
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

    /// Counts the attempts of another host that broke off a response which it was granted `runs` for.
    pub(super) fn note_relay_end(&mut self, outcome: AttemptOutcome, runs: u32) {
        self.tally.note(outcome);
        if outcome.may_have_run() {
            // The other host may have used all the attempts that it was given.
            self.tally.runs += runs - 1;
        }
    }

    /// Records that another host broke off a response.
    pub(super) fn record_relay_broken(&self, peer: SocketAddr) {
        record_peer(&self.context, peer, false);
    }

    /// Logs the end of a request that was passed on, with the number of its events.
    pub(super) fn log_relay_end(&self, outcome: &'static str, events: u64) {
        self.log_end(200, outcome, self.tally.tries, events);
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
