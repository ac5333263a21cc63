//! Feeds the outcomes of attempts back into the state of servers, sessions and versions.

use std::time::Duration;

use log::Level;

use crate::coordination::requests::AttemptOutcome;
use crate::coordination::rollouts::AnswerPace;
use crate::protocol::{GatewayRecord, PeerMessage};
use crate::state::{AnswerGrade, ServerEntry, TrialReport};
use crate::transport::crash_check::{LostServer, check_crash};
use crate::transport::reach_probe::record_unreachable;
use crate::transport::record_log::log_record;
use crate::transport::request_exchange::RequestExchange;
use crate::transport::server_watch::record_evidence;

impl RequestExchange {
    /// Updates the state of the server after an attempt without a usable response.
    pub(super) async fn record_outcome(&self, server: &ServerEntry, outcome: AttemptOutcome) {
        let now = self.context.now();
        match outcome {
            AttemptOutcome::NotSent => {
                record_unreachable(&self.context, server);
                self.context
                    .permits()
                    .cold()
                    .record_failure(&server.id, now);
                let mut loads = self.context.loads();
                loads.record_connect_failure(&server.id, now);
                let reach = loads.domain_reach_mut();
                reach.record_unreachable(&server.domain, &server.id, now);
            }
            // What follows from a lost server was applied when it was judged.
            AttemptOutcome::NotTried
            | AttemptOutcome::Withheld
            | AttemptOutcome::Withdrawn
            | AttemptOutcome::Lost
            | AttemptOutcome::Superseded
            | AttemptOutcome::Doubted
            | AttemptOutcome::Left => {}
            AttemptOutcome::WrongServer => self.context.servers().mark_reused(&server.id, now),
            AttemptOutcome::Silent | AttemptOutcome::Overdue => self.record_late(server, outcome),
            AttemptOutcome::Rejected
            | AttemptOutcome::Unproven
            | AttemptOutcome::Failed
            | AttemptOutcome::Garbled => {
                self.context.loads().record_failure(&server.id, now);
            }
            AttemptOutcome::Broken => {
                self.context.loads().record_failure(&server.id, now);
                self.context.crashes().record_disconnect(&server.id, now);
                record_evidence(&self.context, &server.id);
                // A server that rejected the request did not crash with it.
                let tried = self.asked.iter().cloned();
                let tried: Vec<_> = tried.filter(|id| !self.rejected_by.contains(id)).collect();
                let lost = LostServer {
                    server,
                    tried: &tried,
                    request: &self.request,
                    suspect: &self.suspect,
                    events: self.attempt_events,
                    is_answered: self.is_answered,
                };
                check_crash(&self.context, lost).await;
            }
        }
    }

    /// Updates the state of a server whose response is late.
    pub(super) fn record_late(&self, server: &ServerEntry, outcome: AttemptOutcome) {
        // What follows from a lost server was applied when it was judged.
        if outcome != AttemptOutcome::Lost {
            let now = self.context.now();
            self.context.loads().record_timeout(&server.id, now);
        }
    }

    /// Records which version serves the session. Informs other hosts if they would otherwise assign
    /// the session to the version on trial.
    pub(super) fn record_session(&self, server: &ServerEntry) {
        let (service, version, now) = (&self.service, &server.version, self.context.now());
        let is_held = self
            .context
            .rollouts()
            .record_session(service, self.session, version, now);
        if is_held {
            self.context
                .send_to_peers(PeerMessage::HeldSessions(vec![self.session]));
        }
    }

    /// Records a successful response in the load estimates and in the grading of the server's
    /// version.
    pub(super) fn record_good_response(&self, server: &ServerEntry, latency: Duration) {
        let (class, size) = self.class();
        let now = self.context.now();
        {
            let mut loads = self.context.loads();
            loads.record_first_byte(&server.id, &class, size, self.head.prompt_tokens, latency);
            loads.record_success(&server.id, now);
            loads.domain_reach_mut().record_answer(&server.domain);
            loads.record_prediction(&self.route.name, self.predicted_wait, latency);
        }
        let version = &server.version;
        let grade =
            self.context
                .rollouts()
                .grade(&self.service, version, latency, self.typical_first_byte);
        self.record_trial_response(server, grade);
    }

    /// Records a failure response of the server against its version. If that version is on trial,
    /// later attempts of this request avoid it.
    pub(super) fn record_failed_response(&mut self, server: &ServerEntry) {
        self.record_trial_response(server, AnswerGrade::Failed);
        let trial_version = self.context.rollouts().trial_version(&self.service);
        self.avoided_version = trial_version
            .filter(|version| *version == server.version)
            .or(self.avoided_version.take());
    }

    /// Records a graded response for the trial of its version. Sends the counts to other hosts if a
    /// report is due, and logs if the evidence stops the version.
    pub(super) fn record_trial_response(&self, server: &ServerEntry, grade: AnswerGrade) {
        let responder = (&server.id, &server.version);
        let mut rollouts = self.context.rollouts();
        let was_stopped = rollouts.is_stopped(&self.service);
        let report = rollouts.record_answer(&self.service, &self.route.name, responder, grade);
        drop(rollouts);
        self.apply_trial(report, server, was_stopped);
    }

    /// Records the pace of a successful response for the speed of its server and the trial of its
    /// version: seconds between events, or of the whole response if it is not streamed.
    pub(crate) fn record_pace(&self, server: &ServerEntry, seconds: f64) {
        // The time between events depends on the model and not on the route.
        let (kind, _) = self.class();
        let now = self.context.now();
        let mut loads = self.context.loads();
        let load = loads.in_flight(&server.id, now);
        let pace = AnswerPace { seconds, load };
        let speeds = loads.speeds_mut();
        speeds.record(&server.id, &kind, pace, now);
        drop(loads);
        let responder = (&server.id, &server.version);
        let mut rollouts = self.context.rollouts();
        let was_stopped = rollouts.is_stopped(&self.service);
        let report = rollouts.record_pace(&self.service, &kind, responder, pace, now);
        drop(rollouts);
        self.apply_trial(report, server, was_stopped);
    }

    /// Sends a report on a version on trial to the other hosts, and logs if the evidence has stopped the
    /// version.
    fn apply_trial(&self, report: Option<TrialReport>, server: &ServerEntry, was_stopped: bool) {
        if let Some(report) = report {
            self.context.send_to_peers(PeerMessage::Trial(report));
        }
        let rollouts = self.context.rollouts();
        if rollouts.is_stopped(&self.service) && !was_stopped {
            let record = GatewayRecord::RolloutChanged {
                service: self.service.clone(),
                target: server.version.clone(),
                state: "stopped by this host".into(),
                share: 0,
                evidence: rollouts.evidence(&self.service),
            };
            log_record(Level::Warn, &record);
            self.context.rollout_changed.notify_one();
        }
    }

    /// Records which prompt prefixes the engine reads with this request.
    pub(super) fn record_read(&self, server: &ServerEntry) {
        if let Some(prompt) = self.prompt_prefixes() {
            let now = self.context.now();
            self.context
                .prefix_cache()
                .record_read(&prompt, &server.id, now);
        }
    }
}
