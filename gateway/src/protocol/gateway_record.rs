//! Log records of an entry host: one line for each decision and each observed change.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

/// Inputs of a server choice.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DecisionInputs {
    /// Version of the configuration in use.
    pub configuration: u64,
    /// Milliseconds since the list of servers was last confirmed.
    pub servers_age_ms: u64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Number of servers that could have been chosen.
    pub candidates: usize,
    /// Limit that the chosen server names, in requests per second; left out if it names none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_limit: Option<f64>,
    /// Requests of this host that are in flight on the chosen server.
    pub in_flight: u32,
    /// Tokens of the prompt that the chosen server is expected to cache.
    pub kept_tokens: u32,
    /// Predicted time until the answer begins, in milliseconds.
    pub predicted_ms: u64,
}

/// A log record, written as one JSON line.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum GatewayRecord {
    /// The process serves callers.
    Started {
        /// Name of the host.
        host: Arc<str>,
        /// Failure domain of the host.
        domain: Arc<str>,
        /// Address that callers connect to.
        callers: String,
        /// Version of the program.
        build: &'static str,
        /// Version of the messages between hosts.
        wire_version: u8,
    },
    /// The process begins to shut down.
    Stopping {
        /// Requests whose response has not started.
        in_flight: usize,
    },
    /// The process has shut down.
    Stopped {
        /// Callers' connections that were still open at the end of the grace period.
        abandoned: usize,
        /// Requests whose response had not started.
        in_flight: usize,
        /// Time since the stop signal, in milliseconds.
        elapsed_ms: u64,
    },
    /// The settings were read again.
    SettingsReloaded {
        /// Whether they are valid.
        valid: bool,
    },
    /// A new configuration took effect.
    ConfigurationAdopted {
        /// Version of the configuration.
        version: u64,
        /// Number of its routes.
        routes: usize,
    },
    /// A server appeared, began to drain or was removed.
    ServerChanged {
        /// Identifier of the server.
        server: Arc<str>,
        /// Service of the server.
        service: Arc<str>,
        /// Software version of the server.
        version: Arc<str>,
        /// State of the server after the change.
        state: &'static str,
    },
    /// A server named another limit in its answer, or none any more.
    ServerLimited {
        /// Identifier of the server.
        server: Arc<str>,
        /// Limit before, in requests per second, if there was one.
        from: Option<f64>,
        /// Limit from now on, in requests per second; `None` if it ended.
        to: Option<f64>,
        /// Requests that this host may send in each window; 0 if it holds no share, `None` without
        /// a limit.
        share_requests: Option<usize>,
        /// Where the host learned it: from the server's `answer`, or from another `host`.
        source: &'static str,
    },
    /// A server stated that it is brittle, or no longer.
    ServerBrittle {
        /// Identifier of the server.
        server: Arc<str>,
        /// Requests that it can refuse in a second without falling over; `None` if it is not brittle.
        tolerated: Option<u32>,
        /// Where the host learned it: from the server's `answer`, or from another `host`.
        source: &'static str,
    },
    /// A server stated that it leaves.
    ServerLeaving {
        /// Identifier of the server.
        server: Arc<str>,
        /// Where the host learned it: from the server's `answer`, or from another `host`.
        source: &'static str,
    },
    /// A server refused a request and wants none of this host for a time.
    ServerPaused {
        /// Identifier of the server.
        server: Arc<str>,
        /// The time, in milliseconds.
        pause_ms: u64,
    },
    /// The store stopped or resumed answering.
    StoreContact {
        /// Which data is read.
        part: &'static str,
        /// Whether the store answers.
        answers: bool,
        /// Why it does not answer; empty if it does.
        reason: String,
    },
    /// An object of the store cannot be read and is not used.
    ObjectUnreadable {
        /// Kind of the object.
        kind: &'static str,
        /// Name of the object; empty if the name cannot be read either.
        name: Arc<str>,
        /// Why the object cannot be read.
        reason: String,
    },
    /// A kind of objects was listed after the store returned from an older copy.
    StoreRestored {
        /// Which data was listed.
        part: &'static str,
        /// Era of the store before.
        from_era: u64,
        /// Era of the store now.
        to_era: u64,
    },
    /// A server was chosen for an attempt.
    AttemptChosen {
        /// Identifier of the request.
        request: Arc<str>,
        /// Name of the route.
        route: Arc<str>,
        /// Hash of the session.
        session: String,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Identifier of the server.
        server: Arc<str>,
        /// Version of the server.
        version: Arc<str>,
        /// Model, if the host chose one.
        model: Option<Arc<str>>,
        /// Inputs of the choice.
        inputs: DecisionInputs,
    },
    /// A request was rejected because no server would begin it before its deadline.
    RequestRejected {
        /// Identifier of the request.
        request: Arc<str>,
        /// Name of the route.
        route: Arc<str>,
        /// Predicted time until the first of the servers begins, in milliseconds.
        starts_in_ms: u64,
        /// Mean error of the route's recent predictions, in milliseconds.
        error_ms: u64,
        /// Time left until the deadline, in milliseconds.
        left_ms: u64,
        /// Time after which the caller should return, before it is spread, in milliseconds.
        retry_ms: u64,
    },
    /// Servers could serve a request, but this host may not send to any of them now.
    SendsDenied {
        /// Identifier of the request.
        request: Arc<str>,
        /// Name of the route.
        route: Arc<str>,
        /// Servers that leave.
        leaving: usize,
        /// Servers that asked this host for a pause.
        paused: usize,
        /// Servers of whose limit the host has used its share.
        share_used: usize,
        /// Servers of whose limit the host holds no share.
        no_share: usize,
        /// Brittle servers without room.
        full: usize,
        /// Servers in failure domains that are evacuated.
        evacuated: usize,
        /// Servers that are cold or suspected to be, until a known time.
        cold: usize,
    },
    /// A smaller model had too little confidence in its answer, which was kept nevertheless, or
    /// dropped in order to run a larger model.
    ModelJudged {
        /// Identifier of the request.
        request: Arc<str>,
        /// Model that answered.
        model: Arc<str>,
        /// Confidence of the answer, from 0 to 100.
        confidence: f64,
        /// Confidence below which the larger model should run under the present load.
        bound: f64,
        /// The larger model.
        larger: Arc<str>,
        /// Predicted time from the request to the beginning of the second run's answer, in
        /// milliseconds.
        ready_ms: u64,
        /// Time by which the route's recent answers began later than predicted, in milliseconds.
        excess_ms: u64,
        /// Whether the larger model runs; `false` also if the retry budget is exhausted.
        asks_larger: bool,
    },
    /// An attempt ended without an answer that is delivered.
    AttemptEnded {
        /// Identifier of the request.
        request: Arc<str>,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Identifier of the server.
        server: Arc<str>,
        /// How it ended.
        outcome: String,
        /// Time until the attempt failed or the head of its answer arrived, in milliseconds. For a
        /// stream that broke off, it is the time since the request head was read.
        elapsed_ms: u64,
        /// The next step.
        next: &'static str,
        /// Why no further attempt is made: `attempts`, `budget` or `repeat` if the request must not run
        /// twice; left out if one is made or none is wanted.
        #[serde(skip_serializing_if = "Option::is_none")]
        denied: Option<&'static str>,
    },
    /// The response of a server exceeded a bound and was given up.
    ResponseUnbounded {
        /// Identifier of the request.
        request: Arc<str>,
        /// Identifier of the server.
        server: Arc<str>,
        /// The bound: `framing`, `size`, `first_event`, `event` or `filler`.
        bound: &'static str,
    },
    /// A request was read, and its connection closed before the response was complete.
    RequestAbandoned {
        /// Identifier of the request.
        request: Arc<str>,
        /// Name of the route, if one was found.
        route: Option<Arc<str>>,
        /// Who closed the connection: the `caller`, or the host because of its `stop`.
        cause: &'static str,
        /// What was in progress: reading the `body`, an `attempt` at a server, the choice of a `server`, or
        /// sending the `events` of a stream.
        stage: &'static str,
        /// Time since the request head was read, in milliseconds.
        elapsed_ms: u64,
        /// Time left until the deadline of the request, in milliseconds; 0 while the body is read.
        left_ms: u64,
        /// Number of attempts that ended.
        attempts: u32,
        /// Number of events that the server of the latest attempt had sent.
        events: u64,
    },
    /// A request ended.
    RequestEnded {
        /// Identifier of the request.
        request: Arc<str>,
        /// Name of the route, if one was found.
        route: Option<Arc<str>>,
        /// HTTP status that the caller received.
        status: u16,
        /// How the request ended.
        outcome: String,
        /// Time since the request head was read, in milliseconds.
        elapsed_ms: u64,
        /// Time until the head of a streamed answer was read, in milliseconds; `None` if no stream
        /// was started.
        head_ms: Option<u64>,
        /// Longest pause between events, in milliseconds.
        pause_ms: u64,
        /// Number of attempts.
        attempts: u32,
        /// Number of events that were delivered.
        events: u64,
    },
    /// The state of a roll-out changed, or this host stopped the new version.
    RolloutChanged {
        /// Service of the roll-out.
        service: Arc<str>,
        /// New version.
        target: Arc<str>,
        /// New state of the roll-out.
        state: String,
        /// Share of the sessions that the new version serves, in thousandths.
        share: u32,
        /// Evidence for the change.
        evidence: String,
    },
    /// A request crashed servers.
    CrashNoted {
        /// Identifier of the request.
        request: Arc<str>,
        /// Identifier of the server.
        server: Arc<str>,
        /// Fingerprint of the request.
        fingerprint: String,
        /// Digests of the prompt's parts in order, without the last.
        parts: Vec<String>,
        /// Number of events that the server had sent in answer to the request.
        events: u64,
        /// Number of crashes that are held against it.
        crashes: usize,
    },
    /// Requests with a prompt part are refused from now on because servers crash with it, or no longer.
    PartChanged {
        /// Digest of the part.
        part: String,
        /// Whether requests with it are refused.
        refused: bool,
        /// Number of crashes for which it is refused; 0 if it is not.
        crashes: usize,
        /// Where the host learned it: from a `crash` or an `answer` of its own, or from another `host`.
        source: &'static str,
    },
    /// A server was lost together with its neighbours, so no request is blamed for a crash.
    CutSeen {
        /// Identifier of the lost server.
        server: Arc<str>,
        /// Failure domain of the server.
        domain: Arc<str>,
    },
    /// A request is passed on to another host, as this one reaches no server of the service.
    RequestRelayed {
        /// Identifier of the request.
        request: Arc<str>,
        /// The service.
        service: Arc<str>,
        /// Name of the other host.
        host: Arc<str>,
    },
    /// The host lost its path to all servers of a service, or reaches one again.
    PathChanged {
        /// The service.
        service: Arc<str>,
        /// Whether no server is reached.
        lost: bool,
        /// Number of servers that were probed.
        probed: usize,
        /// For how long no server was reached, in milliseconds; `None` while none is.
        lost_ms: Option<u64>,
    },
    /// A failure domain is evacuated from now on, or no longer.
    EvacuationChanged {
        /// Name of the domain.
        domain: Arc<str>,
        /// State after the change: `evacuated` or `ended`.
        state: &'static str,
        /// Where the host learned it: from the `store`, or from another `host`.
        source: &'static str,
        /// Number of listed servers in the domain.
        servers: usize,
    },
    /// A failure from which the host recovers.
    Fault {
        /// Component that encountered the failure.
        part: &'static str,
        /// Description of the failure.
        message: String,
    },
    /// Connections of callers gave way to others since the last such line.
    ConnectionsEvicted {
        /// Number of them by what they did.
        evicted: BTreeMap<&'static str, usize>,
        /// Connections of callers that were open.
        open: usize,
        /// Largest number of them.
        max_open: usize,
        /// Memory that was held, in bytes.
        held_bytes: usize,
        /// Sum above which connections give way, in bytes.
        pressure_bytes: usize,
    },
    /// Records were dropped since the last one.
    LinesDropped {
        /// Number of records.
        count: u64,
    },
    /// A server is cold: it tolerates few requests for a time.
    ServerCold {
        /// Identifier of the server.
        server: Arc<str>,
        /// Time for which it stays cold, in milliseconds.
        remaining_ms: u64,
        /// Requests that this host may send in each window; 0 if it holds no share.
        share_requests: usize,
        /// Where the host learned it: from the `list`, from the server's `answer`, or from another
        /// `host`.
        source: &'static str,
    },
    /// A server that was cold is open to all hosts again.
    ServerWarm {
        /// Identifier of the server.
        server: Arc<str>,
    },
    /// A server at which requests wait accepts no connection and is taken for lost.
    ServerLost {
        /// Identifier of the server.
        server: Arc<str>,
        /// Attempts that wait for their first byte there.
        waiting: usize,
        /// Longest time for which one of them has waited without activity, in milliseconds.
        silent_ms: u64,
        /// Connections in a row that failed.
        failures: u32,
    },
    /// A server that was taken for lost is active again.
    ServerReturned {
        /// Identifier of the server.
        server: Arc<str>,
        /// Time for which it was taken for lost, in milliseconds.
        lost_ms: u64,
    },
    /// The lasting speed of a server, by which placement predicts, changed considerably.
    ServerSpeed {
        /// Identifier of the server.
        server: Arc<str>,
        /// Ratio of its time to that of a typical server before; above 1 is slower.
        from: f64,
        /// The ratio from now on; 1 if the server does not clearly deviate any more.
        to: f64,
        /// Samples of all hosts that it rests on.
        samples: usize,
    },
}
