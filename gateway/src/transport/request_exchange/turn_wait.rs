//! Lets a request wait in the host until a server can begin it soon.

use log::Level;

use crate::coordination::backlog::{SentWork, TurnVerdict, WaitingRequest};
use crate::coordination::placement::ServerPick;
use crate::protocol::GatewayRecord;
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::record_log::log_record;
use crate::transport::request_backlog::{QueuePlace, RequestBacklog, ServerView, Turn, queue_id};
use crate::transport::request_exchange::{ANSWER_MARGIN, RequestExchange};

impl RequestExchange {
    /// Returns whether the request has to wait in the host before its first attempt. If the server
    /// that placement prefers has no free slot and others have a short queue, `pick` becomes one of
    /// those.
    pub(super) fn needs_turn(&mut self, pick: &mut ServerPick) -> bool {
        if !self.context.settings.queues_requests {
            return false;
        }
        let service = self.snapshot.services.get(&self.service);
        let has_engines = service.is_some_and(|service| service.engine_slots.is_some());
        if !has_engines || self.has_turn || self.tally.tries > 0 {
            return false;
        }
        let queue = queue_id(&self.service, &pick.server.version);
        let now = self.context.now();
        let view = self.view(pick);
        let backlog = &self.context.backlog;
        match backlog.decide_pass(queue, self.urgency, &view, now) {
            TurnVerdict::Send => false,
            TurnVerdict::SendElsewhere => {
                self.prefer_short_queues();
                if let Some(other) = self.pick() {
                    *pick = other;
                }
                false
            }
            TurnVerdict::Wait => true,
        }
    }

    /// Lets placement prefer servers with a queue that is short for the request's route.
    fn prefer_short_queues(&mut self) {
        let settings = &self.context.settings.backlog.turn;
        self.max_queue = Some(settings.longest_queue(self.route.goal));
    }

    /// Waits until the request may be sent; fails if it will not be in time.
    pub(super) async fn wait_for_turn(&mut self, pick: &ServerPick) -> Result<(), ExchangeFailure> {
        let queue = queue_id(&self.service, &pick.server.version);
        let now = self.context.now();
        let view = self.view(pick);
        let request = (self.request.clone(), self.waiting_request(pick));
        let entered = RequestBacklog::enter(&self.context, queue, request, &view, now);
        let mut place = match entered {
            Ok(place) => place,
            Err(retry_in) => {
                self.backlog_pause = Some(retry_in);
                self.log_backlog_rejection(pick);
                return Err(ExchangeFailure::Backlog);
            }
        };
        self.log_queued(&place, pick);
        loop {
            let now = self.context.now();
            let is_first = match place.standing(now) {
                Turn::Rejected(retry_in) => {
                    place.leave("rejected");
                    self.backlog_pause = Some(retry_in);
                    self.log_backlog_rejection(pick);
                    return Err(ExchangeFailure::Backlog);
                }
                Turn::Closed => {
                    place.leave("stopping");
                    return Err(ExchangeFailure::Backlog);
                }
                turn => turn == Turn::First,
            };
            if is_first {
                if self.has_no_path() && self.has_peers() {
                    place.leave("no path");
                    return Ok(());
                }
                let Some(pick) = self.pick() else {
                    place.leave("no server");
                    return Err(self.no_server_left());
                };
                let view = self.view(&pick);
                if place.take_turn(&view, now) == Turn::Granted {
                    self.prefer_short_queues();
                    place.leave("sent");
                    self.has_turn = true;
                    return Ok(());
                }
            }
            place.wait(is_first).await;
        }
    }

    /// Returns what a server choice shows of the servers.
    fn view(&self, pick: &ServerPick) -> ServerView {
        let stay = self.context.backlog.stay(&self.service);
        let sent = if self.context.backlog.waiting() > 0 {
            let hosts = self.context.peers().len();
            let now = self.context.now();
            let (own, others) = self.context.loads().waiting_totals(hosts, now);
            SentWork { own, others }
        } else {
            SentWork::default()
        };
        ServerView::new(pick, self.route.goal, stay, sent)
    }

    /// Returns the request as the queue orders it.
    fn waiting_request(&self, pick: &ServerPick) -> WaitingRequest {
        let deadline = self.deadline + ANSWER_MARGIN;
        let (limit, goal) = (self.route.timeout, self.route.goal);
        let (since, goal) = WaitingRequest::times_before(deadline, limit, goal);
        WaitingRequest {
            urgency: self.urgency,
            workspace: self.workspace.clone().unwrap_or_default(),
            work: pick.work,
            since,
            goal,
            deadline: self.deadline,
            bytes: self.body.bytes.len(),
        }
    }

    /// Logs that the request waits.
    fn log_queued(&self, place: &QueuePlace, pick: &ServerPick) {
        self.context.metrics.increment("requests_queued_total");
        let Some(at) = place.place(self.context.now()) else {
            return;
        };
        let record = GatewayRecord::RequestQueued {
            request: self.request.clone(),
            route: self.route.name.clone(),
            service: self.service.clone(),
            position: at.position,
            work_ahead_s: (at.work_ahead * 1_000.0).round() / 1_000.0,
            queue_level: at.level,
            server_queue_ms: (pick.queue * 1_000.0) as u64,
        };
        log_record(Level::Info, &record);
    }
}
