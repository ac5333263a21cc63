//! One run: starts everything, plays the faults, and ends everything.

use std::collections::BTreeSet;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::time::{Duration, Instant};

use galenamast_platform_standin::StandInStore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::caller_traffic::CallerTraffic;
use crate::crowd_callers::start_crowd;
use crate::fault_driver::FaultDriver;
use crate::fault_profile::FaultProfile;
use crate::host_links::HostLinks;
use crate::host_process::{HostProcess, free_address};
use crate::link_driver::LinkDriver;
use crate::server_pool::ServerPool;
use crate::side_store::SideStore;
use crate::soak_options::SoakOptions;
use crate::soak_record::SoakRecord;
use crate::soak_report::SoakReport;
use crate::soak_state::SoakState;

/// Failure domains of the hosts and servers.
const ZONES: [&str; 4] = ["base-lodge", "cumbre", "bosque", "taller"];
/// Time within which all hosts have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time of traffic before the first fault.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time that requests get to end after the faults, at most.
const COOL_DOWN: Duration = Duration::from_secs(10);
/// Time between two progress lines.
const PROGRESS_PERIOD: Duration = Duration::from_secs(5);

/// Plays a run; an interrupt ends it early, and what was played until then is judged.
pub(crate) async fn play(
    options: &SoakOptions,
    interrupt: &CancellationToken,
) -> Result<SoakReport, Error> {
    let (state, side, links) = prepare(options).await?;
    let state = Arc::new(state);
    let mirrored = state.clone();
    let link_driver = LinkDriver::new(state.clone(), links);
    let profile = FaultProfile::of_name(&options.profile);
    let mirror = async move { side.mirror(&mirrored).await };
    let _mirror = profile
        .strands_hosts()
        .then(|| AbortOnDropHandle::new(tokio::spawn(mirror)));
    let zones: Vec<String> = ZONES.map(str::to_owned).to_vec();
    for host in &state.hosts {
        host.start()?;
    }
    tokio::select! {
        result = wait_until_ready(&state) => result?,
        () = interrupt.cancelled() => {}
    }
    let balancer = state.clone();
    let checks = tokio::spawn(async move { balancer.balancer.check_hosts().await });
    let traffic = Arc::new(CallerTraffic::new(state.clone()));
    let sending = tokio::spawn(traffic.clone().send_requests(options.seed, zones));
    let probing = tokio::spawn(traffic.clone().probe_hosts());
    let fronts: Vec<_> = state.hosts.iter().map(|host| host.front).collect();
    let crowd = profile
        .has_crowd()
        .then(|| start_crowd(&fronts, options.seed));
    let driver = FaultDriver::new(state.clone(), profile);
    let faults = async {
        sleep(WARM_UP).await;
        let seed = options.seed.wrapping_mul(1_000);
        tokio::select! {
            error = driver.run(seed) => error,
            () = link_driver.run(seed), if profile.fails_links() => unreachable!(),
        }
    };
    tokio::select! {
        error = faults => return Err(error),
        () = report_progress(&state) => {}
        () = sleep(WARM_UP + Duration::from_secs(options.seconds)) => {}
        () = interrupt.cancelled() => println!("interrupted"),
    }
    sending.abort();
    drop(crowd);
    probing.abort();
    traffic.tasks.close();
    // Requests that are still open are those of slow servers; hosts that were stopped go on to stop.
    tokio::select! {
        () = traffic.tasks.wait() => {}
        () = sleep(COOL_DOWN) => {}
        () = interrupt.cancelled() => {}
    }
    checks.abort();
    let report = SoakReport::new(&SoakRecord::collect(&state), options);
    for host in &state.hosts {
        host.end();
    }
    Ok(report)
}

/// Starts the stand-ins and writes the hosts' settings.
async fn prepare(options: &SoakOptions) -> Result<(SoakState, SideStore, Vec<HostLinks>), Error> {
    let logs = options.logs();
    std::fs::create_dir_all(&logs)?;
    let (store, side) = (StandInStore::start().await, SideStore::start().await);
    let zones = ZONES.map(str::to_owned);
    let profile = FaultProfile::of_name(&options.profile);
    let pacing = profile.pacing();
    let servers = ServerPool::start(options.seed, pacing, &zones, &store).await;
    let profile = FaultProfile::of_name(&options.profile);
    if profile.moves_routes() {
        servers.add_others(&store).await;
    }
    let mut ports = BTreeSet::new();
    let mut hosts = Vec::new();
    let mut links = Vec::new();
    for number in 0..options.hosts {
        let (name, zone) = (format!("front-{number}"), ZONES[number % ZONES.len()]);
        let program = &options.program;
        let is_stranded = profile.strands_hosts() && number % 3 == 0;
        let known_store = if is_stranded { &side.store } else { &store };
        let store_address = if profile.fails_links() {
            free_address(&mut ports)
        } else {
            known_store.address()
        };
        let mut host = HostProcess::new(
            program,
            &logs,
            &name,
            zone,
            store_address,
            profile.host_limits(),
            &mut ports,
        )?;
        if profile.fails_links() {
            let front = std::mem::replace(&mut host.front, free_address(&mut ports));
            links.push(HostLinks::open(
                [host.front, front],
                [store_address, store.address()],
                &servers.addresses(),
                || free_address(&mut ports),
            ));
        }
        hosts.push(Arc::new(host));
    }
    Ok((SoakState::new(store, servers, hosts), side, links))
}

/// Waits until all hosts are ready.
async fn wait_until_ready(state: &SoakState) -> Result<(), Error> {
    let began = Instant::now();
    for host in &state.hosts {
        while !host.is_ready().await {
            if began.elapsed() > READY_TIMEOUT {
                let text = format!("{} does not become ready", host.name);
                return Err(Error::new(ErrorKind::TimedOut, text));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

/// Prints a line every few seconds; never returns.
async fn report_progress(state: &SoakState) {
    loop {
        sleep(PROGRESS_PERIOD).await;
        let (requests, cut) = state.counts();
        let faults = state.faults().len();
        let elapsed = state.began.elapsed().as_secs();
        println!("{elapsed:4} s: {requests} requests ended, {cut} cut, {faults} faults");
    }
}
