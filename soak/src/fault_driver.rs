//! Carries out the faults of a profile.

use std::io::Error;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use galenamast_platform_standin::StoreFault;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::config_plan::ENGINE_SERVICES;
use crate::fault_event::FaultKind;
use crate::fault_profile::FaultProfile;
use crate::operator_driver::OperatorDriver;
use crate::platform_config::IDLE_TIMEOUT_MS;
use crate::soak_state::SoakState;

/// Time from SIGTERM to SIGKILL.
pub(crate) const GRACE: Duration = Duration::from_secs(8);
/// Time for which a server serves after the store has accepted that it leaves.
pub(crate) const DRAIN: Duration = Duration::from_secs(2);
/// Time between two looks at a process.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Draws faults from a seed and carries them out.
#[derive(Debug)]
pub(crate) struct FaultDriver {
    state: Arc<SoakState>,
    profile: FaultProfile,
    // Hosts on which a fault is in progress.
    taken: Mutex<Vec<usize>>,
}

impl FaultDriver {
    /// Creates a driver for a profile.
    pub(crate) fn new(state: Arc<SoakState>, profile: FaultProfile) -> Self {
        Self {
            state,
            profile,
            taken: Mutex::new(Vec::new()),
        }
    }

    /// Carries out faults; returns only if a process can't be started or signalled.
    pub(crate) async fn run(&self, seed: u64) -> Error {
        let random = |number| ChaCha8Rng::seed_from_u64(seed.wrapping_add(number));
        let operator = OperatorDriver::new(self.state.clone());
        tokio::select! {
            Err(error) = operator.change_plans(random(11), seed), if self.profile.moves_routes() => error,
            () = operator.roll_out_all(random(12)), if self.profile.rolls_out() => unreachable!(),
            Err(error) = self.stop_hosts(random(1)), if self.profile.stops_hosts() => error,
            Err(error) = self.signal_hosts(random(2)), if self.profile.signals_hosts() => error,
            Err(error) = self.change_configuration(random(3)), if self.profile.changes_configuration() => error,
            () = self.fail_store(random(5)), if self.profile.fails_store() => unreachable!(),
            () = self.replace_servers(random(4)), if self.profile.replaces_servers() => unreachable!(),
            Err(error) = self.watch_processes() => error,
        }
    }

    /// Stops hosts in series, with overlaps, and starts them again on the same ports.
    async fn stop_hosts(&self, mut random: ChaCha8Rng) -> Result<(), Error> {
        loop {
            let mut order: Vec<usize> = (0..self.state.hosts.len()).collect();
            order.shuffle(&mut random);
            let longest = [1.2, 2.5, 9.5][random.random_range(0..3)];
            let mut begins = 0.0;
            let mut stops = Vec::new();
            for host in order.into_iter().take(random.random_range(3..10)) {
                let restart = random.random_range(0.1..1.5);
                // Further signals while the host stops change nothing.
                let again = (random.random_bool(0.3)).then(|| random.random_range(0.0..4.0));
                stops.push(self.stop_host(host, begins, restart, again));
                begins += random.random_range(0.8..longest);
            }
            for result in join_all(stops).await {
                result?;
            }
            sleep(Duration::from_secs_f64(random.random_range(0.5..3.0))).await;
        }
    }

    /// Stops one host after `begins` seconds and starts it again `restart` seconds after its end. It gets
    /// SIGHUP and SIGTERM once more `again` seconds after the first one.
    async fn stop_host(
        &self,
        host: usize,
        begins: f64,
        restart: f64,
        again: Option<f64>,
    ) -> Result<(), Error> {
        sleep(Duration::from_secs_f64(begins)).await;
        if !self.take(host) {
            return Ok(());
        }
        let process = self.state.hosts[host].clone();
        self.state.note(FaultKind::Term, Some(host));
        let began = Instant::now();
        process.signal("TERM")?;
        let mut again = again.map(Duration::from_secs_f64);
        while process.is_running() && began.elapsed() < GRACE {
            if again.is_some_and(|again| began.elapsed() >= again) {
                again = None;
                process.signal("HUP")?;
                process.signal("TERM")?;
            }
            sleep(POLL_PERIOD).await;
        }
        if process.is_running() {
            self.state.note(FaultKind::GraceKill, Some(host));
        }
        process.end();
        self.state.note(FaultKind::Ended, Some(host));
        sleep(Duration::from_secs_f64(restart)).await;
        self.restart(host)
    }

    /// Kills, freezes and hangs up hosts.
    async fn signal_hosts(&self, mut random: ChaCha8Rng) -> Result<(), Error> {
        loop {
            sleep(Duration::from_secs_f64(random.random_range(1.0..6.0))).await;
            let host = random.random_range(0..self.state.hosts.len());
            let kind = random.random_range(0..6);
            let pause = Duration::from_secs_f64(random.random_range(0.2..3.0));
            if kind >= 4 {
                self.state.note(FaultKind::Hangup, Some(host));
                self.state.hosts[host].signal("HUP")?;
                continue;
            }
            if kind == 3 {
                self.stop_host(host, 0.0, pause.as_secs_f64(), None).await?;
                continue;
            }
            if !self.take(host) {
                continue;
            }
            let process = self.state.hosts[host].clone();
            if kind == 0 {
                self.state.note(FaultKind::Kill, Some(host));
                process.end();
                sleep(pause).await;
                self.restart(host)?;
            } else {
                self.state.note(FaultKind::Freeze, Some(host));
                process.signal("STOP")?;
                sleep(pause).await;
                process.signal("CONT")?;
                self.state.note(FaultKind::Thaw, Some(host));
                self.release(host);
            }
        }
    }

    /// Writes configurations in series, and sends SIGHUP now and then.
    async fn change_configuration(&self, mut random: ChaCha8Rng) -> Result<(), Error> {
        loop {
            let pause = if random.random_bool(0.5) { 0.15 } else { 2.0 };
            sleep(Duration::from_secs_f64(
                pause * random.random_range(0.3..1.5),
            ))
            .await;
            if random.random_bool(0.3) {
                let host = random.random_range(0..self.state.hosts.len());
                self.state.note(FaultKind::Hangup, Some(host));
                self.state.hosts[host].signal("HUP")?;
            } else {
                let limits = [2_000, 5_000, IDLE_TIMEOUT_MS];
                self.state
                    .put_configuration(limits[random.random_range(0..limits.len())]);
            }
        }
    }

    /// Has the store fail for some seconds at a time, in each way.
    async fn fail_store(&self, mut random: ChaCha8Rng) {
        let ways = [
            StoreFault::Unavailable,
            StoreFault::Unresponsive,
            StoreFault::DropWriteResponses,
            StoreFault::RateLimited,
            StoreFault::EndlessWatches,
        ];
        loop {
            sleep(Duration::from_secs_f64(random.random_range(1.0..6.0))).await;
            let fault = ways[random.random_range(0..ways.len())];
            self.state.note(FaultKind::StoreFails(fault), None);
            self.state.store.set_fault(fault);
            sleep(Duration::from_secs_f64(random.random_range(0.3..6.0))).await;
            self.state.store.set_fault(StoreFault::None);
            self.state.note(FaultKind::StoreReturns, None);
        }
    }

    /// Replaces servers one after the other; some leave without a notice.
    async fn replace_servers(&self, mut random: ChaCha8Rng) {
        let state = &self.state;
        let mut gone: Vec<String> = Vec::new();
        loop {
            sleep(Duration::from_secs_f64(random.random_range(1.0..4.0))).await;
            let servers = state.servers.servers();
            let live: Vec<_> = servers
                .iter()
                .filter(|server| !gone.iter().any(|id| id == server.id()))
                .collect();
            let server = live[random.random_range(0..live.len())];
            let (id, entry) = (server.id().to_owned(), server.draining_entry());
            let is_engine = entry["service"] == ENGINE_SERVICES[0];
            let added = state.servers.add(is_engine, &state.store).await;
            state.note(FaultKind::ServerStarted(added), None);
            sleep(Duration::from_secs_f64(random.random_range(0.5..2.0))).await;
            if random.random_bool(0.7) {
                state.note(FaultKind::ServerDrains(id.clone()), None);
                state.store.put("servers", &id, &entry);
            } else {
                state.note(FaultKind::ServerRemoved(id.clone()), None);
                state.store.delete("servers", &id);
            }
            gone.push(id.clone());
            let stays = DRAIN + Duration::from_secs_f64(random.random_range(0.5..12.0));
            let (state, server) = (state.clone(), (*server).clone());
            tokio::spawn(async move {
                sleep(stays).await;
                state.note(FaultKind::ServerStopped(id.clone()), None);
                server.stop();
                state.store.delete("servers", &id);
            });
        }
    }

    /// Starts hosts that ended by themselves again.
    async fn watch_processes(&self) -> Result<(), Error> {
        loop {
            sleep(POLL_PERIOD * 10).await;
            for host in 0..self.state.hosts.len() {
                if !self.state.hosts[host].is_running() && self.take(host) {
                    // A fault may have begun and ended since the first look.
                    if !self.state.hosts[host].is_running() {
                        self.state.note(FaultKind::OwnEnd, Some(host));
                        self.state.hosts[host].start()?;
                    }
                    self.release(host);
                }
            }
        }
    }

    /// Starts a host and lets other faults concern it.
    fn restart(&self, host: usize) -> Result<(), Error> {
        self.state.hosts[host].start()?;
        self.state.note(FaultKind::Start, Some(host));
        self.release(host);
        Ok(())
    }

    /// Takes a host for a fault; returns `false` if another one is in progress.
    fn take(&self, host: usize) -> bool {
        let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        let is_free = !taken.contains(&host);
        if is_free {
            taken.push(host);
        }
        is_free
    }

    /// Ends a fault on a host.
    fn release(&self, host: usize) {
        let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        taken.retain(|other| *other != host);
    }
}
