//! The operator: configurations in series, and roll-outs of versions.

use std::io::Error;
use std::sync::Arc;
use std::time::{Duration, Instant};

use galenamast_platform_standin::StandInServer;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::config_plan::{ConfigPlan, ENGINE_SERVICES, PLAIN_SERVICES};
use crate::fault_driver::DRAIN;
use crate::fault_event::FaultKind;
use crate::platform_config::IDLE_TIMEOUT_MS;
use crate::server_pool::ServerSpec;
use crate::soak_state::SoakState;

/// Idle limits of connections, in milliseconds.
const IDLE_LIMITS_MS: [u64; 4] = [1_000, 2_000, 5_000, IDLE_TIMEOUT_MS];
/// Time after the limit of a roll-out at which the operator gives up on it.
const ROLLOUT_SLACK: Duration = Duration::from_secs(3);
/// Time between two looks at a roll-out.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Changes configurations and rolls out versions.
#[derive(Debug)]
pub(crate) struct OperatorDriver {
    state: Arc<SoakState>,
}

impl OperatorDriver {
    /// Creates a driver.
    pub(crate) fn new(state: Arc<SoakState>) -> Self {
        Self { state }
    }

    /// Rolls versions of both main services out; never returns.
    pub(crate) async fn roll_out_all(&self, mut random: ChaCha8Rng) {
        let other = ChaCha8Rng::from_rng(&mut random);
        tokio::join!(
            self.roll_out(ENGINE_SERVICES[0], true, random),
            self.roll_out(PLAIN_SERVICES[0], false, other),
        );
    }

    /// Writes versions that are drawn, singly and in bursts, and sends SIGHUP now and then; returns only if
    /// a host can't be signalled.
    pub(crate) async fn change_plans(
        &self,
        mut random: ChaCha8Rng,
        seed: u64,
    ) -> Result<(), Error> {
        loop {
            let pause = [0.1, 0.8, 4.0].choose(&mut random).copied().unwrap_or(1.0);
            sleep(Duration::from_secs_f64(
                pause * random.random_range(0.3..1.5),
            ))
            .await;
            if random.random_bool(0.2) {
                let host = random.random_range(0..self.state.hosts.len());
                self.state.note(FaultKind::Hangup, Some(host));
                self.state.hosts[host].signal("HUP")?;
            } else {
                let idle = IDLE_LIMITS_MS.choose(&mut random).copied();
                let idle = idle.unwrap_or(IDLE_TIMEOUT_MS);
                let draw = |version| ConfigPlan::draw(version, idle, seed);
                self.state.put_plan(draw);
            }
        }
    }

    /// Rolls versions of a service out, one after the other; never returns.
    async fn roll_out(&self, service: &'static str, is_engine: bool, mut random: ChaCha8Rng) {
        let state = &self.state;
        let old = state.servers.servers().into_iter();
        let mut old: Vec<_> = old
            .filter(|server| server.entry()["service"] == service)
            .collect();
        for number in 2_u64.. {
            sleep(Duration::from_secs_f64(random.random_range(0.5..4.0))).await;
            let target = format!("v{number}");
            let limit = random.random_range(6.0..14.0);
            let is_bad = random.random_bool(0.3);
            let order = json!({"service": service, "target": target, "duration_s": limit});
            let kind = FaultKind::RolloutOrdered(service.to_owned(), target.clone());
            state.note(kind, None);
            state.store.put("rollouts", service, &order);
            sleep(Duration::from_secs_f64(random.random_range(0.0..1.0))).await;
            let mut new = Vec::new();
            for _ in 0..old.len() {
                let spec = ServerSpec {
                    service,
                    is_engine,
                    version: target.clone(),
                    failure_ratio: if is_bad { 0.4 } else { 0.0 },
                };
                new.push(state.servers.start_server(spec, &state.store).await);
            }
            let is_done = self.await_end(service, &target, limit).await;
            if is_done {
                self.stop_at_once(&old, random.random_range(0.0..3.6));
                old = new;
            } else {
                sleep(Duration::from_secs_f64(random.random_range(1.0..3.0))).await;
                self.drain(&new, random.random_range(0.2..6.0));
            }
        }
    }

    /// Waits until a roll-out has ended or its time is over; returns whether it was carried out.
    async fn await_end(&self, service: &str, target: &str, limit: f64) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(limit) + ROLLOUT_SLACK;
        while Instant::now() < until {
            let object = self.state.store.get("rollouts", service);
            let status = object.map_or(Value::Null, |object| object["status"].clone());
            // The status may still be that of the order before.
            let state = status["state"].as_str();
            let state = state.filter(|_| status["target"] == target);
            if let Some(ended @ ("done" | "rolled_back")) = state {
                let kind = FaultKind::RolloutEnded(service.to_owned(), ended.to_owned());
                self.state.note(kind, None);
                return ended == "done";
            }
            sleep(POLL_PERIOD).await;
        }
        let kind = FaultKind::RolloutEnded(service.to_owned(), "given up".to_owned());
        self.state.note(kind, None);
        false
    }

    /// Stops servers without a notice; their entries stay for `listed` seconds.
    fn stop_at_once(&self, servers: &[Arc<StandInServer>], listed: f64) {
        for server in servers {
            let id = server.id().to_owned();
            self.state.note(FaultKind::ServerStopped(id.clone()), None);
            server.stop();
            let state = self.state.clone();
            tokio::spawn(async move {
                sleep(Duration::from_secs_f64(listed)).await;
                state.store.delete("servers", &id);
            });
        }
    }

    /// Has servers drain and stops them `longer` seconds after the shortest time.
    fn drain(&self, servers: &[Arc<StandInServer>], longer: f64) {
        for server in servers {
            let id = server.id().to_owned();
            self.state.note(FaultKind::ServerDrains(id.clone()), None);
            self.state
                .store
                .put("servers", &id, &server.draining_entry());
            let (state, server) = (self.state.clone(), server.clone());
            tokio::spawn(async move {
                sleep(DRAIN + Duration::from_secs_f64(longer)).await;
                state.note(FaultKind::ServerStopped(id.clone()), None);
                server.stop();
                state.store.delete("servers", &id);
            });
        }
    }
}
