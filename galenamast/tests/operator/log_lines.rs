//! Format of each kind of log line, and the rate limit on repeated faults.

use std::time::Duration;

use galenamast::coordination::fault_limiter::{FAULT_WINDOW, FAULTS_PER_WINDOW, FaultLimiter};
use galenamast::coordination::{
    MemberStatus, MoveKind, MoveReason, PlacementMove, RolloutStep, UsageRecord,
};
use galenamast::logging::format_log_line;
use galenamast::protocol::{ChangeRecord, DecisionRecord, HostStatistics, LogRecord};
use galenamast::state::{
    ConfigGeneration, RefusalReason, RequestId, RouteDecision, RouteOutcome, TimePoint, VersionKey,
    VersionReport, VersionVerdict,
};
use log::Level;

/// Returns a log record of each kind, with the name of its snapshot.
pub(crate) fn sample_records() -> Vec<(&'static str, LogRecord)> {
    let decision = RouteDecision {
        reason: None,
        generation: ConfigGeneration(7),
        seed: 11,
        outcome: RouteOutcome::Refuse(RefusalReason::NoEligibleVersion),
        candidates: vec![VersionReport {
            version: VersionKey::new("advice", "small"),
            verdict: VersionVerdict::Braked,
            quality: 0.75,
            quality_bound: 0.5,
            price: 120,
        }],
    };
    vec![
        (
            "decision",
            LogRecord::Decision(DecisionRecord {
                request_id: RequestId::default(),
                attempt: 1,
                workspace: "counter".into(),
                task: "boot-fitting".into(),
                session: Some("s-1".into()),
                decision,
            }),
        ),
        (
            "usage",
            LogRecord::Usage(UsageRecord {
                request_id: RequestId::default(),
                workspace: "counter".into(),
                task: "boot-fitting".into(),
                version: Some(VersionKey::new("advice", "small")),
                input_tokens: 10,
                output_tokens: 20,
                price: 7,
                ended_unix_ms: 1_700_000_000_000,
            }),
        ),
        (
            "host_started",
            LogRecord::HostStarted {
                callers: "127.0.0.1:8080".into(),
                operators: "127.0.0.1:8081".into(),
            },
        ),
        ("host_stopped", LogRecord::HostStopped),
        ("host_leaving", LogRecord::HostLeaving),
        (
            "request_abandoned",
            LogRecord::RequestAbandoned {
                request_id: RequestId::default(),
            },
        ),
        (
            "rollout_step",
            LogRecord::RolloutStep {
                rollout: "r1".into(),
                generation: ConfigGeneration(7),
                step: RolloutStep::Brake,
            },
        ),
        (
            "placement",
            LogRecord::Placement {
                domain: "cumbre".into(),
                term: 3,
                generation: ConfigGeneration(7),
                decision: PlacementMove {
                    server: "consejero-1".into(),
                    version: VersionKey::new("advice", "small"),
                    kind: MoveKind::Load,
                    reason: MoveReason::Demand,
                },
            },
        ),
        (
            "config_adopted",
            LogRecord::ConfigAdopted {
                generation: ConfigGeneration(7),
            },
        ),
        (
            "config_regressed",
            LogRecord::ConfigRegressed {
                offered: ConfigGeneration(6),
                current: ConfigGeneration(7),
            },
        ),
        (
            "member_changed",
            LogRecord::MemberChanged {
                host: "cumbre-1".into(),
                status: MemberStatus::Suspect,
            },
        ),
        (
            "host_statistics",
            LogRecord::HostStatistics(HostStatistics {
                members: 9,
                peer_bytes_sent: 52_000,
                peer_bytes_received: 51_000,
                platform_calls: 12,
                load_polls: 40,
                generation: ConfigGeneration(7),
                config_age_ms: 350,
            }),
        ),
        (
            "fault",
            LogRecord::Fault {
                part: "config".into(),
                message: "no answer".into(),
                suppressed: 3,
            },
        ),
        (
            "config_changed",
            LogRecord::ConfigChanged(ChangeRecord {
                change_id: "c-1".into(),
                author: "ana".into(),
                reason: "new till".into(),
                generation: ConfigGeneration(8),
                entries: vec!["pool/advice".into()],
                dry_run: false,
                repeated: false,
            }),
        ),
        (
            "call_refused",
            LogRecord::CallRefused {
                call: "Apply".into(),
                code: "conflict".into(),
                message: "overtaken".into(),
            },
        ),
        (
            "claim_resolved",
            LogRecord::ClaimResolved {
                author: "ana".into(),
                reason: "no hold in the ledger".into(),
                workspace: "counter".into(),
                ran: false,
            },
        ),
        (
            "host_drained",
            LogRecord::HostDrained {
                author: "ana".into(),
                reason: "patch".into(),
                draining: true,
            },
        ),
    ]
}

#[test]
fn each_log_line_matches_its_snapshot() {
    for (name, record) in sample_records() {
        let line =
            format_log_line(1_700_000_000_000, Level::Info, &record).expect("the record is JSON");
        insta::assert_snapshot!(name, line);
    }
}

#[test]
fn repeated_faults_are_limited_and_the_suppressed_ones_counted() {
    let mut limiter = FaultLimiter::new();
    let mut now = TimePoint::from_millis(5_000);
    let mut logged = 0;
    let mut suppressed_total = 0;
    for _ in 0..1_000 {
        if let Some(suppressed) = limiter.admit("backend", now) {
            logged += 1;
            suppressed_total += suppressed;
        }
    }
    assert_eq!(logged, FAULTS_PER_WINDOW);
    assert_eq!(
        limiter.admit("config", now),
        Some(0),
        "the limit applies to each part separately"
    );
    now = now + FAULT_WINDOW + Duration::from_millis(1);
    suppressed_total += limiter.admit("backend", now).expect("a new window admits");
    assert_eq!(u64::from(logged) + suppressed_total, 1_000);
}
