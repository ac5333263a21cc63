//! What an entry host logs: one line for each decision and each change of what it believes.

use std::sync::Arc;

use serde::Serialize;

/// What a choice of a server rested on.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DecisionInputs {
    /// Version of the configuration.
    pub configuration: u64,
    /// Milliseconds since the list of servers was last confirmed.
    pub servers_age_ms: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Servers that could have been chosen.
    pub candidates: usize,
    /// Requests of this host that the chosen server runs.
    pub in_flight: u32,
    /// Tokens of the prompt that the chosen server is expected to keep.
    pub kept_tokens: u32,
    /// Predicted milliseconds until the answer starts.
    pub predicted_ms: u64,
}

/// A log record.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum GatewayRecord {
    /// The process serves.
    Started {
        /// Name of the host.
        host: Arc<str>,
        /// Failure domain of the host.
        domain: Arc<str>,
        /// Address that callers reach.
        callers: String,
    },
    /// The process begins to stop.
    Stopping {
        /// Requests in flight.
        in_flight: usize,
    },
    /// The process ends.
    Stopped {
        /// Requests that were given up.
        abandoned: usize,
    },
    /// The settings were read again.
    SettingsReloaded {
        /// Whether they could be read.
        valid: bool,
    },
    /// A new configuration is in force.
    ConfigurationAdopted {
        /// Its version.
        version: u64,
        /// Its routes.
        routes: usize,
    },
    /// A server appeared, changed or left.
    ServerChanged {
        /// Identifier of the server.
        server: Arc<str>,
        /// Its service.
        service: Arc<str>,
        /// Its version.
        version: Arc<str>,
        /// What it is now.
        state: &'static str,
    },
    /// The store stopped or began to answer.
    StoreContact {
        /// What is read.
        part: &'static str,
        /// Whether it answers.
        answers: bool,
        /// Why it does not.
        reason: String,
    },
    /// A server was chosen for an attempt.
    AttemptChosen {
        /// Identifier of the request.
        request: Arc<str>,
        /// Route.
        route: Arc<str>,
        /// Hash of the session.
        session: String,
        /// Number of the attempt.
        attempt: u32,
        /// Server.
        server: Arc<str>,
        /// Version of the server.
        version: Arc<str>,
        /// Model, if one was chosen.
        model: Option<Arc<str>>,
        /// What the choice rested on.
        inputs: DecisionInputs,
    },
    /// A smaller model's answer was kept, or dropped for a run of the largest one.
    ModelJudged {
        /// Identifier of the request.
        request: Arc<str>,
        /// Model that answered.
        model: Arc<str>,
        /// Its confidence, from 0 to 100.
        confidence: f64,
        /// Confidence below which the largest model is wanted.
        bound: f64,
        /// Milliseconds after the request at which the second run is predicted to begin.
        ready_ms: u64,
        /// Milliseconds by which answers of the route lately began later than predicted.
        excess_ms: u64,
        /// Whether the largest model is asked; a spent budget of repeats forbids it too.
        asks_larger: bool,
    },
    /// An attempt ended without a delivered answer.
    AttemptEnded {
        /// Identifier of the request.
        request: Arc<str>,
        /// Number of the attempt.
        attempt: u32,
        /// Server.
        server: Arc<str>,
        /// How it ended.
        outcome: String,
        /// Milliseconds since it was sent.
        elapsed_ms: u64,
        /// What follows.
        next: &'static str,
    },
    /// A request ended.
    RequestEnded {
        /// Identifier of the request.
        request: Arc<str>,
        /// Route, if one was found.
        route: Option<Arc<str>>,
        /// Status that the caller got.
        status: u16,
        /// Why.
        outcome: String,
        /// Milliseconds since its head was read.
        elapsed_ms: u64,
        /// Milliseconds until the answer's head was read, if one was delivered.
        head_ms: Option<u64>,
        /// Longest pause between events in milliseconds.
        pause_ms: u64,
        /// Attempts.
        attempts: u32,
        /// Events that were delivered.
        events: u64,
    },
    /// The belief about a roll-out changed.
    RolloutChanged {
        /// Service.
        service: Arc<str>,
        /// New version.
        target: Arc<str>,
        /// What became of it.
        state: String,
        /// Share of the sessions in thousandths.
        share: u32,
        /// What this rests on.
        evidence: String,
    },
    /// A request crashed servers.
    CrashNoted {
        /// Fingerprint of the request.
        fingerprint: String,
        /// Servers that it crashed.
        crashes: u32,
    },
    /// A server was lost together with its neighbours, so that no request is blamed.
    CutSeen {
        /// Server that was lost.
        server: Arc<str>,
        /// Failure domain of the server.
        domain: Arc<str>,
    },
    /// Something failed that the host recovers from.
    Fault {
        /// Part that met it.
        part: &'static str,
        /// What was met.
        message: String,
    },
    /// Lines were left out since the last one.
    LinesDropped {
        /// How many.
        count: u64,
    },
}
