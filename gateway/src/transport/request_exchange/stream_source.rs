//! Finds where a stream goes on that its server no longer sends.
//!
//! Load pattern: a host loses its path to all servers in the middle of many streams, which other hosts could
//! go on with. Only streams that may run again are passed on, and each time as a retry.

use crate::coordination::requests::AttemptOutcome;
use crate::state::ServerEntry;
use crate::transport::attempt_runner::{OpenResponse, SettledResponse, remaining_time};
use crate::transport::event_intake::EventIntake;
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::reach_probe::{check_path, check_server_path, is_service_evacuated};
use crate::transport::request_exchange::relay::RelayAnswer;
use crate::transport::request_exchange::relayed_stream::RelayedResponse;
use crate::transport::request_exchange::{MIN_ATTEMPT_TIME, RequestExchange};

/// What sends the events of a stream.
#[derive(Debug)]
pub(crate) enum StreamSource {
    /// A server.
    Server(Box<OpenResponse>),
    /// Another host, which relays them.
    Host(Box<RelayedResponse>),
}

impl RequestExchange {
    /// Continues a stream at another server, or at another host if this one has lost its path to the
    /// servers.
    pub(crate) async fn go_on(
        &mut self,
        intake: &EventIntake,
    ) -> Result<StreamSource, ExchangeFailure> {
        let end = match self.open(Some(intake)).await {
            Ok(SettledResponse::Stream(response)) => return Ok(StreamSource::Server(response)),
            // Responses to streamed requests are streams.
            Ok(SettledResponse::Whole(whole)) => {
                return Err(ExchangeFailure::ServerResponse(whole.response));
            }
            Err(end) => end,
        };
        if !self.may_go_on_elsewhere(&end).await {
            return Err(end);
        }
        let outcome = self.latest.unwrap_or(AttemptOutcome::Broken);
        match self.relay(outcome, intake.order().last_id()).await? {
            RelayAnswer::Stream(source) => {
                self.context.metrics.increment("streams_passed_on_total");
                Ok(StreamSource::Host(source))
            }
            RelayAnswer::Whole(response) => Err(ExchangeFailure::ServerResponse(response)),
        }
    }

    /// Returns whether a request that may have run, with `in_progress` attempts at servers, may run at
    /// another host.
    pub(crate) fn may_pass_on(&self, in_progress: u32) -> bool {
        let may_run = self.tally.runs + in_progress < self.attempts;
        may_run && self.route.resumable && !self.is_relayed && self.has_peers()
    }

    /// Takes a retry in place of the response of a server that is out of reach, so that another host goes
    /// on with it. Returns false if there is none or the retry budget does not allow it.
    pub(crate) fn take_relay(&mut self) -> bool {
        self.may_pass_on(1) && self.pick_peer(&[]).is_some() && self.take_grant()
    }

    /// Checks the path to a silent server, and returns once no server of its service is reached.
    pub(crate) async fn wait_until_cut_off(&self, server: &ServerEntry) {
        let is_lost = self.may_pass_on(1) && check_server_path(&self.context, server).await;
        if !is_lost || is_service_evacuated(&self.context, &self.service) {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether a stream that may have run and ended so is to be passed on.
    pub(super) async fn may_go_on_elsewhere(&self, end: &ExchangeFailure) -> bool {
        self.tally.runs > 0 && self.may_pass_on(0) && self.is_cut_off(end).await
    }

    /// Returns whether an attempt failed because the host reaches no server.
    async fn is_cut_off(&self, end: &ExchangeFailure) -> bool {
        let has_time = remaining_time(&self.context, self.deadline) >= MIN_ATTEMPT_TIME;
        match end {
            ExchangeFailure::NoPath => true,
            ExchangeFailure::HostResponse(_) if has_time => {
                !is_service_evacuated(&self.context, &self.service)
                    && check_path(&self.context, &self.service).await
            }
            _ => false,
        }
    }
}
