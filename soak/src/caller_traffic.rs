//! The callers: requests at the rates of their classes, on new and on kept connections.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_util::task::TaskTracker;

use crate::attempt_end::AttemptEnd;
use crate::caller_connection::CallerConnection;
use crate::config_plan::{KEYS, UNKNOWN_KEY};
use crate::request_class::{CLASSES, RequestKind};
use crate::request_plan::RequestPlan;
use crate::request_trace::RequestTrace;
use crate::soak_state::SoakState;

/// Time between two probes of a host.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Pause before a repeat after a failure that states none.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// Sends requests and keeps connections.
#[derive(Debug)]
pub(crate) struct CallerTraffic {
    state: Arc<SoakState>,
    kept: Mutex<BTreeMap<(u32, String), Vec<CallerConnection>>>,
    /// The requests in progress.
    pub(crate) tasks: TaskTracker,
}

impl CallerTraffic {
    /// Creates callers without connections.
    pub(crate) fn new(state: Arc<SoakState>) -> Self {
        Self {
            state,
            kept: Mutex::new(BTreeMap::new()),
            tasks: TaskTracker::new(),
        }
    }

    /// Sends requests drawn from a seed; never returns.
    pub(crate) async fn send_requests(self: Arc<Self>, seed: u64, zones: Vec<String>) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let rate: f64 = CLASSES.iter().map(|class| class.rate).sum();
        let mut due = tokio::time::Instant::now();
        let mut number = 0;
        loop {
            let pause = -random.random_range(f64::EPSILON..1.0).ln() / rate;
            due += Duration::from_secs_f64(pause);
            tokio::time::sleep_until(due).await;
            number += 1;
            let plan = RequestPlan::draw(&mut random);
            let zone = zones[random.random_range(0..zones.len())].clone();
            let traffic = self.clone();
            self.tasks
                .spawn(async move { traffic.send(number, plan, zone).await });
        }
    }

    /// Asks each host once per second for a route that only some configurations have; never
    /// returns.
    pub(crate) async fn probe_hosts(self: Arc<Self>) {
        let mut period = tokio::time::interval(PROBE_PERIOD);
        let keys = KEYS.into_iter().chain([UNKNOWN_KEY]).cycle();
        for (number, key) in (0_u64..).zip(keys) {
            period.tick().await;
            for (host, process) in self.state.hosts.iter().enumerate() {
                let (traffic, address) = (self.clone(), process.front);
                self.tasks.spawn(async move {
                    if let Ok(mut connection) = CallerConnection::open(host, address).await {
                        let id = format!("c{number:05}{host:03}");
                        let plan = RequestPlan::seasonal(key);
                        traffic.state.note_sent(&id);
                        let mut trace = RequestTrace::new(id, plan, host, false);
                        connection.exchange(&mut trace).await;
                        traffic.state.record(trace);
                    }
                });
            }
        }
    }

    /// Sends a request and repeats it once where callers may.
    async fn send(&self, number: u64, plan: RequestPlan, zone: String) {
        for attempt in 0..2 {
            // Repeats go out on new connections.
            let id = format!("q{number:06}{attempt}");
            let trace = self.attempt(id, plan.clone(), &zone, attempt).await;
            let is_promise = matches!(trace.status, Some(408 | 421 | 429 | 503));
            let failed = trace.end != AttemptEnd::Answered
                || trace.status.is_some_and(|status| status >= 500);
            let may_repeat = match plan.class.kind {
                RequestKind::Unsafe => is_promise || trace.end == AttemptEnd::Refused,
                RequestKind::Safe | RequestKind::Stream => is_promise || failed,
            };
            let pause = trace.header("retry-after").parse().ok();
            let pause = pause.map_or(REPEAT_PAUSE, Duration::from_secs_f64);
            let is_over = trace.lasted().as_secs_f64() > plan.class.limit / 2.0;
            let has_left = trace.end == AttemptEnd::Left;
            self.state.record(trace);
            if !may_repeat || is_over || has_left {
                return;
            }
            tokio::time::sleep(pause.min(Duration::from_secs_f64(plan.class.limit / 3.0))).await;
        }
    }

    /// Sends one attempt and returns what its caller saw.
    async fn attempt(
        &self,
        id: String,
        plan: RequestPlan,
        zone: &str,
        attempt: u32,
    ) -> RequestTrace {
        let key = (plan.client, zone.to_owned());
        let kept = (plan.keeps && attempt == 0).then(|| self.take_kept(&key));
        let opened = match kept.flatten() {
            Some(connection) => Ok(connection),
            None => {
                let host = self.state.balancer.pick(plan.client, zone, attempt);
                let address = self.state.hosts[host].front;
                let opened = CallerConnection::open(host, address).await;
                opened.map_err(|end| (host, end))
            }
        };
        let keeps = plan.keeps;
        let mut connection = match opened {
            Ok(connection) => connection,
            Err((host, end)) => {
                let mut trace = RequestTrace::new(id, plan, host, false);
                trace.end = end;
                return trace;
            }
        };
        self.state.note_sent(&id);
        let was_kept = connection.requests > 0;
        let mut trace = RequestTrace::new(id, plan, connection.host, was_kept);
        connection.exchange(&mut trace).await;
        let stays = trace.end == AttemptEnd::Answered
            && trace.written.is_some()
            && trace.surplus == 0
            && !trace.header("connection").eq_ignore_ascii_case("close");
        if keeps && stays {
            let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
            kept.entry(key).or_default().push(connection);
        }
        trace
    }

    /// Takes a kept connection that is open and wasn't idle for too long.
    fn take_kept(&self, key: &(u32, String)) -> Option<CallerConnection> {
        let reuse_time = self.state.reuse_time();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = kept.get_mut(key)?;
        connections
            .retain(|connection| connection.used_at.elapsed() < reuse_time && connection.is_open());
        connections.pop()
    }
}
