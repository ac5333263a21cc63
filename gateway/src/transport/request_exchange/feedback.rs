//! What the end of an attempt tells of servers and versions.

use std::time::Duration;

use log::Level;

use crate::coordination::requests::AttemptOutcome;
use crate::protocol::{GatewayRecord, PeerMessage};
use crate::state::{AnswerGrade, ServerEntry};
use crate::transport::crash_check::{LostServer, check_crash};
use crate::transport::record_log::log_record;
use crate::transport::request_exchange::RequestExchange;

impl RequestExchange {
    /// Takes what an attempt's end says of the server into the host's beliefs.
    pub(super) async fn record_outcome(&self, server: &ServerEntry, outcome: AttemptOutcome) {
        let now = self.context.now();
        match outcome {
            AttemptOutcome::NotSent => self.context.loads().record_connect_failure(&server.id, now),
            AttemptOutcome::WrongServer => self.context.servers().mark_reused(&server.id, now),
            AttemptOutcome::Silent => self.context.loads().record_timeout(&server.id, now),
            AttemptOutcome::Rejected | AttemptOutcome::Failed | AttemptOutcome::Garbled => {
                self.context.loads().record_failure(&server.id, now);
            }
            AttemptOutcome::Broken => {
                self.context.loads().record_failure(&server.id, now);
                self.context.crashes().record_disconnect(&server.id, now);
                let lost = LostServer {
                    server,
                    tried: &self.tried,
                    fingerprint: self.fingerprint,
                };
                check_crash(&self.context, lost).await;
            }
        }
    }

    /// Notes which version serves the session, here and, where it matters, at other hosts.
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

    /// Takes a good answer into the host's beliefs.
    pub(super) fn note_good_response(&self, server: &ServerEntry, latency: Duration) {
        let (class, size) = self.class();
        let now = self.context.now();
        {
            let mut loads = self.context.loads();
            loads.record_first_byte(&server.id, &class, size, self.head.prompt_tokens, latency);
            loads.record_success(&server.id, now);
            loads.record_prediction(&self.route.name, self.wait, latency);
        }
        let version = &server.version;
        let grade = self
            .context
            .rollouts()
            .grade(&self.service, version, latency, self.predicted);
        self.note_trial(server, grade);
    }

    /// Takes a server's failure into the judgement of its version.
    pub(super) fn note_failed_answer(&mut self, server: &ServerEntry) {
        self.note_trial(server, AnswerGrade::Failed);
        let trial_version = self.context.rollouts().trial_version(&self.service);
        self.avoided_version = trial_version
            .filter(|version| *version == server.version)
            .or(self.avoided_version.take());
    }

    /// Takes an answer into the judgement of its version.
    pub(super) fn note_trial(&self, server: &ServerEntry, grade: AnswerGrade) {
        let named = (&server.id, &server.version);
        let mut rollouts = self.context.rollouts();
        let was_stopped = rollouts.is_stopped(&self.service);
        let note = rollouts.record_answer(&self.service, &self.route.name, named, grade);
        if let Some(note) = note {
            self.context.send_to_peers(PeerMessage::Trial(note));
        }
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

    /// Notes what an engine reads.
    pub(super) fn record_read(&self, server: &ServerEntry) {
        if let Some(path) = self.prompt_prefixes() {
            let now = self.context.now();
            self.context
                .prompt_cache()
                .record_read(&path, &server.id, now);
        }
    }
}
