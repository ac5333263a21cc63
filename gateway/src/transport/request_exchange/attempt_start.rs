//! Starts an attempt at a server, beside those in progress.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;

use crate::coordination::placement::ServerPick;
use crate::coordination::requests::AttemptOutcome;
use crate::protocol::strip_connection_headers;
use crate::state::{AttemptHead, RouteKind, ServerEntry};
use crate::transport::attempt_runner::{AttemptRequest, remaining_time};
use crate::transport::event_intake::EventIntake;
use crate::transport::request_exchange::attempt_plan::LeftServer;
use crate::transport::request_exchange::live_attempts::{LiveAttempt, LiveAttempts, ResponseTimes};
use crate::transport::request_exchange::{MIN_ATTEMPT_TIME, RequestExchange};
use crate::transport::send_permit::SendPermit;
use crate::transport::stream_relay::stall_timeout;

impl RequestExchange {
    /// Starts an attempt at the server that was picked, beside those in progress.
    pub(super) fn start_attempt(
        &mut self,
        pick: &ServerPick,
        is_return: bool,
        resumed: Option<&EventIntake>,
        live: &mut LiveAttempts,
    ) {
        let Ok(permit) = SendPermit::take(&self.context, &pick.server) else {
            // The choice and the permit must agree; if they ever do not, the next choice leaves the
            // server out, so that the attempts end.
            self.context.metrics.increment("permits_denied_total");
            self.tried.push(pick.server.id.clone());
            self.left.retain(|left| left.server != pick.server.id);
            return;
        };
        self.replace_late(live);
        self.record_pick(pick);
        let server = &pick.server;
        let is_return = is_return && self.return_to(server);
        self.number += 1;
        self.asked.push(server.id.clone());
        self.log_choice(pick);
        self.record_session(server);
        self.record_read(server);
        let remaining = remaining_time(&self.context, self.deadline);
        let times = self.response_times(&server.id);
        let is_last = live.count() + self.tally.runs + 1 >= self.attempts;
        let connect_timeout = match self.route.is_retryable() && !is_last {
            true => times.head.min(remaining),
            false => remaining,
        };
        let settings = &self.context.settings;
        let longest = settings.liveness.connect_timeout(remaining);
        let call = AttemptRequest {
            server: server.clone(),
            number: self.number,
            request: self.server_request(server, resumed, remaining),
            identifier: self.request.clone(),
            needs_new_connection: self.needs_new_connection(&server.id),
            connect_timeout: connect_timeout.min(longest).min(settings.connect_timeout),
            work: pick.work,
            permit,
            intake: (self.route.kind == RouteKind::Stream)
                .then(|| resumed.cloned().unwrap_or_else(|| self.new_intake())),
        };
        let mut attempt = LiveAttempt::start(&self.context, call, times, remaining);
        attempt.is_return = is_return;
        attempt.model.clone_from(&self.model);
        attempt.has_grant = std::mem::take(&mut self.has_grant);
        live.push(attempt);
        self.is_attempting = true;
    }

    /// Records that another server is asked in place of the latest attempt, if that is late.
    fn replace_late(&mut self, live: &mut LiveAttempts) {
        let Some(latest) = live.latest_mut() else {
            return;
        };
        let Some(outcome) = latest.late_outcome().filter(|_| !latest.is_replaced) else {
            return;
        };
        latest.replace();
        if outcome == AttemptOutcome::Lost {
            self.context.metrics.increment("attempts_ended_lost_total");
        }
        self.doubts_connections |= outcome.doubts_connections();
        self.record_late(&latest.server, outcome);
        let latency = self.context.now().since(latest.started_at);
        let (server, number) = (latest.server.clone(), latest.number);
        self.log_attempt(&server, number, outcome, latency, "another server", None);
    }

    /// Records that the request is sent once more to a server that was left. Returns whether the tally
    /// counts the run already.
    fn return_to(&mut self, server: &ServerEntry) -> bool {
        self.context.metrics.increment("servers_asked_again_total");
        let is_returned = |left: &&LeftServer| left.server == server.id && left.model == self.model;
        let is_doubted = self
            .left
            .iter()
            .find(is_returned)
            .is_some_and(|left| left.is_doubted);
        self.keeps_model |= is_doubted;
        self.left.retain(|left| left.server != server.id);
        self.tried.retain(|tried| *tried != server.id);
        !is_doubted
    }

    /// Returns whether the request generates a response on an engine, two of which may not work on it.
    pub(super) fn is_generated(&self) -> bool {
        self.route.kind == RouteKind::Stream || self.head.prompt_tokens > 0
    }

    /// Returns the time that the parts of a server's response may take.
    fn response_times(&self, server: &str) -> ResponseTimes {
        // A route may state a goal of zero.
        let head = self.head_timeout(server).max(MIN_ATTEMPT_TIME);
        let rest = match self.route.kind {
            RouteKind::Stream => stall_timeout(&self.route),
            RouteKind::Safe | RouteKind::Unsafe => head,
        };
        ResponseTimes {
            head,
            rest,
            first_byte: self.expected_first_byte(),
        }
    }

    /// Returns the intake of a stream that begins.
    pub(crate) fn new_intake(&self) -> EventIntake {
        EventIntake::new(self.head.resume_after, self.route.resumable)
    }

    /// Builds the request for a server; `None` if its host or path cannot be encoded.
    fn server_request(
        &self,
        server: &ServerEntry,
        resumed: Option<&EventIntake>,
        time_left: Duration,
    ) -> Option<Request<Full<Bytes>>> {
        let head = AttemptHead {
            server: server.id.clone(),
            time_left,
            workspace: self.workspace.clone(),
            model: self.model.clone(),
            urgency: Some(self.urgency).filter(|_| self.route.kind == RouteKind::Stream),
            resume_after: resumed.and_then(|intake| intake.order().last_id()),
        };
        let mut headers = self.parts.headers.clone();
        strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        (self.context.format.write_attempt)(&mut headers, &head);
        if !headers.contains_key(header::HOST) {
            let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
            headers.insert(header::HOST, host);
        }
        let path = self.parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = path.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}
