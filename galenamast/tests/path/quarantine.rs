//! When the crash of a server counts against the requests that ran on it.

use std::time::Duration;

use galenamast::coordination::crash_quarantine::{MAX_CORRELATED_CRASHES, MAX_SUSPECTS};
use galenamast::coordination::{ConfigObject, CrashFingerprint, CrashQuarantine, ServerCrash};
use galenamast::event_loop::EntryHost;
use galenamast::state::{ConfigGeneration, SecretKey, SessionKeys, TimePoint};
use galenamast_testbed::{Caller, publish_config};

use crate::support::eventually;

/// Time for which a quarantined request is refused.
const QUARANTINE: Duration = Duration::from_secs(60);
/// Fingerprint of the request that crashes servers.
const CRASHING_REQUEST: CrashFingerprint = CrashFingerprint(1);

/// Returns the crash of a server that ran the crashing request and some bystanders.
fn crash(server: &str, bystanders: u64, first: u64) -> ServerCrash {
    let others = (0..bystanders).map(|index| CrashFingerprint(first + index));
    ServerCrash {
        server: server.into(),
        incarnation: 1,
        suspects: std::iter::once(CRASHING_REQUEST).chain(others).collect(),
    }
}

/// Returns the time of a step; crashes at different steps are too far apart to be correlated.
fn at(step: u64) -> TimePoint {
    TimePoint::from_millis(step * 5_000)
}

#[test]
fn two_crashes_quarantine_the_common_request_and_no_bystander() {
    let mut quarantine = CrashQuarantine::new(QUARANTINE);
    quarantine.record_crash(&crash("s0", 3, 100), at(1));
    assert_eq!(quarantine.refused_for(CRASHING_REQUEST, at(1)), None);
    quarantine.record_crash(&crash("s1", 3, 200), at(2));
    let left = quarantine.refused_for(CRASHING_REQUEST, at(2));
    assert_eq!(left, Some(QUARANTINE - Duration::from_secs(5)));
    for bystander in [100, 101, 200, 201] {
        let found = quarantine.refused_for(CrashFingerprint(bystander), at(2));
        assert_eq!(found, None, "{bystander}");
    }
    assert_eq!(quarantine.refused_for(CRASHING_REQUEST, at(20)), None);
}

#[test]
fn crashes_with_many_suspects_need_twice_the_evidence() {
    let mut quarantine = CrashQuarantine::new(QUARANTINE);
    let bystanders = MAX_SUSPECTS as u64;
    for step in 1..=3 {
        quarantine.record_crash(&crash(&format!("s{step}"), bystanders, 100), at(step));
        assert_eq!(quarantine.refused_for(CRASHING_REQUEST, at(step)), None);
    }
    quarantine.record_crash(&crash("s4", bystanders, 100), at(4));
    assert!(quarantine.refused_for(CRASHING_REQUEST, at(4)).is_some());
}

#[test]
fn the_crashes_of_a_failing_rack_quarantine_a_bounded_number_of_requests() {
    let mut quarantine = CrashQuarantine::new(QUARANTINE);
    let rack_servers = MAX_CORRELATED_CRASHES as u64 + 6;
    for index in 0..rack_servers {
        let rack_crash = ServerCrash {
            server: format!("s{index}").as_str().into(),
            incarnation: 1,
            // Each request is a suspect of a second crash while the rack fails.
            suspects: vec![CrashFingerprint(index), CrashFingerprint(index + 1)],
        };
        quarantine.record_crash(&rack_crash, at(1));
    }
    let refused = (0..=rack_servers)
        .filter(|id| {
            quarantine
                .refused_for(CrashFingerprint(*id), at(1))
                .is_some()
        })
        .count();
    assert!(refused < MAX_CORRELATED_CRASHES, "{refused}");
}

#[test]
fn a_repeated_note_counts_once() {
    let mut quarantine = CrashQuarantine::new(QUARANTINE);
    let notes = quarantine.record_crash(&crash("s0", 0, 0), at(1));
    for note in notes.iter().cycle().take(5) {
        quarantine.apply_note(note, at(1));
    }
    assert_eq!(quarantine.refused_for(CRASHING_REQUEST, at(1)), None);
}

#[test]
fn notes_of_other_hosts_count() {
    let mut own = CrashQuarantine::new(QUARANTINE);
    let mut other = CrashQuarantine::new(QUARANTINE);
    own.record_crash(&crash("s0", 0, 0), at(1));
    for note in other.record_crash(&crash("s1", 0, 0), at(1)) {
        own.apply_note(&note, at(1));
    }
    assert!(own.refused_for(CRASHING_REQUEST, at(1)).is_some());
}

#[tokio::test]
async fn a_request_that_crashes_servers_is_refused_by_other_hosts_too() {
    let mut options = crate::support::small_options(4);
    options.hosts_per_domain = 2;
    let deployment = galenamast_testbed::Deployment::start(options).await;
    let deployment = deployment.expect("starts");
    let mut documents = deployment.default_documents();
    documents.push(ConfigObject::SessionKeys(SessionKeys {
        current: SecretKey::from_bytes([9; 32]),
        previous: None,
    }));
    let generation = ConfigGeneration(2);
    publish_config(&deployment.objects, generation, &documents).expect("encodes");
    let hosts: Vec<_> = deployment.hosts.values().collect();
    eventually("the keys are adopted", || {
        let adopted = |host: &&EntryHost| host.context().image.load().generation == generation;
        hosts.iter().all(adopted)
    })
    .await;
    eventually("the hosts know each other", || {
        let knows_other_host = |host: &&EntryHost| {
            let mesh = host.context().peers.get().expect("a mesh");
            mesh.members().live_peers().count() == 1
        };
        hosts.iter().all(knows_other_host)
    })
    .await;
    for engine in deployment.engines.values() {
        engine.set_faults(|faults| faults.poison = Some("venom".into()));
    }
    let caller = Caller::new(crate::support::WORKSPACE);
    let first = caller.chat(hosts[0].caller_address(), "venom", &[]).await;
    assert_eq!(first.expect("answered").status, 502);
    let other = hosts[1].context().clone();
    let body = br#"{"messages":[{"content":"venom","role":"user"}],"model":"auto"}"#;
    let workspace = crate::support::WORKSPACE.into();
    let fingerprint = CrashFingerprint::of_request(&other.fingerprint_key(), &workspace, body);
    eventually("the notes arrive", || {
        let quarantine = other.quarantine.lock().expect("not poisoned");
        quarantine
            .refused_for(fingerprint, other.timers.now())
            .is_some()
    })
    .await;
    let again = caller.chat(hosts[1].caller_address(), "venom", &[]).await;
    assert_eq!(again.expect("answered").status, 422);
    let dead = deployment.engines.values().filter(|e| e.is_dead()).count();
    assert_eq!(dead, 2);
}
