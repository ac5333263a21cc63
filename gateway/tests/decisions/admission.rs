//! Admission under a burst after most engines are lost: the engines left are offered twice what
//! they can serve before the callers' deadlines.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::admission::{
    AdmissionSettings, AdmissionVerdict, ServiceForecast, decide_admission, retry_pause,
};
use galenamast_gateway::coordination::placement::{
    LoadEstimator, LoadSettings, PickQuery, PickSettings, PromptPrefixes, pick_server,
};
use galenamast_gateway::state::{PromptPart, ServerEntry};
use proptest::prelude::*;

/// Engines that are left.
const ENGINES: usize = 2;
/// Requests that an engine runs concurrently.
const SLOTS: u32 = 4;
/// Time that an engine takes for a request, in milliseconds.
const WORK_MS: u64 = 500;
/// Time that a caller waits for the beginning of the answer, in milliseconds.
const DEADLINE_MS: u64 = 5_000;
/// Pause between requests, in milliseconds; half of what the engines take for one.
const ARRIVAL_MS: u64 = WORK_MS / ENGINES as u64 / 2;
/// Number of requests.
const REQUESTS: u64 = 240;

/// A request in the queue of an engine.
struct QueuedRequest {
    sent_at: u64,
    begins_at: u64,
}

/// What callers saw.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    rejected: usize,
    // Waits of callers who were not served in time, in milliseconds.
    wasted_waits: Vec<u64>,
}

/// Returns the engines that are left.
fn engines() -> Vec<ServerEntry> {
    let entry = |number: usize| ServerEntry {
        id: format!("i-{number}").into(),
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16)),
        domain: "north".into(),
        version: "v1".into(),
        slots: SLOTS,
        draining: false,
        started_ms: None,
        cold_for: Duration::ZERO,
    };
    (0..ENGINES).map(entry).collect()
}

/// Replays the burst through the choice of a server, in virtual time. Engines run one request after
/// the other, also those whose callers have left.
fn replay_burst(rejects_hopeless: bool) -> Outcome {
    let engines = engines();
    let serving: Vec<&ServerEntry> = engines.iter().collect();
    let prompt = PromptPrefixes::new(
        "small",
        &[PromptPart {
            digest: 1,
            tokens: 4_000,
        }],
    );
    let mut loads = LoadEstimator::new(LoadSettings::default());
    let mut queues: Vec<VecDeque<QueuedRequest>> = (0..ENGINES).map(|_| VecDeque::new()).collect();
    let mut outcome = Outcome::default();
    // Each prompt is new, so that no engine caches any of it.
    let settings = PickSettings {
        home_hit_probability: 0.0,
        domain_home_hit_probability: 0.0,
        ..PickSettings::default()
    };
    let work = WORK_MS as f64 / 1_000.0;
    for number in 0..REQUESTS {
        let sent_at = number * ARRIVAL_MS;
        for (engine, queue) in engines.iter().zip(&mut queues) {
            while queue
                .front()
                .is_some_and(|queued| queued.begins_at <= sent_at)
            {
                queue.pop_front();
                loads.record_begun(&engine.id, work);
                loads.record_ended(&engine.id);
            }
        }
        let query = PickQuery {
            domain: "north",
            prompt: Some(&prompt),
            work,
            tie_breaker: number,
            ..PickQuery::default()
        };
        let now = TimePoint::from_millis(sent_at);
        let pick =
            pick_server(&serving, &query, &loads, &settings, now).expect("an engine is left");
        let forecast = ServiceForecast {
            starts_in: pick.earliest_start,
            error: 0.0,
            has_free_slot: pick.has_free_slot,
        };
        let time_left = Duration::from_millis(DEADLINE_MS);
        let verdict = decide_admission(&forecast, time_left, &AdmissionSettings::default());
        if rejects_hopeless && verdict == AdmissionVerdict::Reject {
            outcome.rejected += 1;
            continue;
        }
        loads.record_sent(&pick.server.id, work);
        let index = engines
            .iter()
            .position(|engine| engine.id == pick.server.id)
            .expect("the engine is known");
        let free_at = queues[index]
            .back()
            .map_or(sent_at, |last| last.begins_at.max(sent_at));
        let begins_at = free_at + WORK_MS;
        queues[index].push_back(QueuedRequest { sent_at, begins_at });
        let queued = queues[index].back().expect("it was just queued");
        if queued.begins_at - queued.sent_at <= DEADLINE_MS {
            outcome.served += 1;
        } else {
            outcome.wasted_waits.push(DEADLINE_MS);
        }
    }
    outcome
}

#[test]
fn hopeless_requests_are_rejected_at_once_and_more_of_the_others_are_served() {
    let (with, without) = (replay_burst(true), replay_burst(false));
    assert!(
        with.served >= 2 * without.served,
        "with {with:?}, without {without:?}"
    );
    assert!(with.rejected > 0, "{with:?}");
    assert!(with.wasted_waits.is_empty(), "{with:?}");
    assert!(!without.wasted_waits.is_empty(), "{without:?}");
}

#[test]
fn request_is_admitted_while_a_slot_is_free_or_the_forecast_is_uncertain() {
    let settings = AdmissionSettings::default();
    let time_left = Duration::from_secs(5);
    let forecast = ServiceForecast {
        starts_in: 9.0,
        error: 0.5,
        has_free_slot: false,
    };
    let verdict = |forecast| decide_admission(&forecast, time_left, &settings);
    assert_eq!(verdict(forecast), AdmissionVerdict::Reject);
    let uncertain = ServiceForecast {
        error: 2.5,
        ..forecast
    };
    assert_eq!(verdict(uncertain), AdmissionVerdict::Admit);
    let idle = ServiceForecast {
        has_free_slot: true,
        ..forecast
    };
    assert_eq!(verdict(idle), AdmissionVerdict::Admit);
}

#[test]
fn load_reported_by_other_hosts_counts_as_taken_slots() {
    let engines = engines();
    let serving: Vec<&ServerEntry> = engines.iter().collect();
    let now = TimePoint::from_millis(10);
    let mut other_host = LoadEstimator::new(LoadSettings::default());
    for _ in 0..SLOTS {
        engines
            .iter()
            .for_each(|engine| other_host.record_sent(&engine.id, 0.5));
    }
    let has_free_slot = |loads: &LoadEstimator| {
        let query = PickQuery::default();
        let settings = PickSettings::default();
        pick_server(&serving, &query, loads, &settings, now).map(|pick| pick.has_free_slot)
    };
    let mut loads = LoadEstimator::new(LoadSettings::default());
    assert_eq!(has_free_slot(&loads), Some(true));
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    loads.record_remote(peer, &other_host.local_loads(), now);
    assert_eq!(has_free_slot(&loads), Some(false));
}

#[test]
fn prediction_error_follows_missed_forecasts() {
    let mut loads = LoadEstimator::new(LoadSettings::default());
    let route: Arc<str> = "advice".into();
    assert_eq!(loads.prediction_error(&route), 0.0);
    for _ in 0..100 {
        loads.record_prediction(&route, 1.0, Duration::from_secs(3));
        loads.record_prediction(&route, 3.0, Duration::from_secs(1));
    }
    assert!((loads.prediction_error(&route) - 2.0).abs() < 0.01);
    assert!(loads.excess(&route) < 0.2);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]
    #[test]
    fn retry_pause_leaves_the_caller_time_to_be_served(starts_in in -1.0..1e9_f64, left_ms in 0u64..60_000) {
        let settings = AdmissionSettings::default();
        let time_left = Duration::from_millis(left_ms);
        let pause = retry_pause(starts_in, time_left, &settings);
        prop_assert!(pause <= time_left.mul_f64(settings.max_retry_part));
    }
}
