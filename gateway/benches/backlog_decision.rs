//! Measures the decisions on waiting requests with 240 servers, 295 hosts and 1,000 requests.

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use criterion::Criterion;
use galenamast::state::TimePoint;
use galenamast_gateway::coordination::backlog::{
    BacklogQueue, BacklogReport, BacklogSettings, FleetBacklog, FleetSettings, SentWork,
    TurnInputs, TurnSettings, WaitingRequest, decide_turn,
};

/// Number of waiting requests.
const REQUESTS: u64 = 1_000;
/// Number of hosts that report a backlog.
const HOSTS: u16 = 294;
/// Number of servers, each of which does a second of work per second.
const SERVERS: f64 = 240.0;
/// Number of workspaces.
const WORKSPACES: u64 = 24;
/// Number of levels in use.
const LEVELS: u64 = 4;

/// Returns a request; they differ in level, workspace, size and goal.
fn request(number: u64, now: TimePoint) -> WaitingRequest {
    let workspace: Arc<str> = format!("w-{}", number % WORKSPACES).into();
    WaitingRequest {
        urgency: (number % LEVELS) as u8,
        workspace,
        work: 0.02 + 0.001 * (number % 300) as f64,
        since: now,
        goal: now + Duration::from_millis(1_000 + number % 977),
        deadline: now + Duration::from_millis(8_000 + number % 4_999),
        bytes: 1_000,
    }
}

fn main() {
    let mut criterion = Criterion::default()
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(500))
        .configure_from_args();
    let now = TimePoint::from_millis(20_000);
    let settings = BacklogSettings {
        max_requests: REQUESTS as usize + 1,
        ..BacklogSettings::default()
    };
    let mut queue = BacklogQueue::new(settings);
    for number in 0..REQUESTS {
        queue
            .push(request(number, now), now)
            .expect("there is room");
    }
    let mut fleet = FleetBacklog::new(FleetSettings::default());
    for host in 0..HOSTS {
        let reports: Vec<BacklogReport> = (0..LEVELS)
            .map(|level| BacklogReport {
                queue: 1,
                level: level as u8,
                count: 10,
                work_ms: 1_000,
            })
            .collect();
        let peer = SocketAddr::from(([127, 0, 0, 1], 1_000 + host));
        fleet.record_report(peer, &reports, 1.0, now);
    }
    let mut group = criterion.benchmark_group("backlog_decision");
    group.bench_function("turn", |bencher| {
        bencher.iter(|| {
            let head = queue.head(now).expect("requests wait");
            let level = queue.level(head, now).expect("it waits");
            let own = queue.summary(now);
            let inputs = TurnInputs {
                preferred_queue: 0.4,
                shortest_queue: 0.3,
                mean_queue: 0.5,
                goal: Duration::from_secs(1),
                urgent_elsewhere: fleet.work_ahead(1, level, now),
                capacity: SERVERS,
                ..TurnInputs::default()
            };
            let part = fleet.own_part(1, &own, &SentWork::default(), now);
            black_box((decide_turn(&inputs, &TurnSettings::default()), part))
        });
    });
    // The capacity for all requests, and for half of them, of a host that holds this queue.
    let work = queue.work();
    for (name, rate) in [("expire_none", work), ("expire_half", work / 20.0)] {
        group.bench_function(name, |bencher| {
            bencher.iter_batched(
                || queue.clone(),
                |mut queue| black_box(queue.expire(now, rate)),
                criterion::BatchSize::SmallInput,
            );
        });
    }
    group.bench_function("push", |bencher| {
        bencher.iter_batched(
            || queue.clone(),
            |mut queue| black_box(queue.push(request(7, now), now)),
            criterion::BatchSize::SmallInput,
        );
    });
    group.finish();
    criterion.final_summary();
}
