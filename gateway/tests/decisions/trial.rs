//! A version on trial that few requests reach, at each of many hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast_gateway::coordination::rollouts::{TrialSettings, VersionTrial};
use galenamast_gateway::state::{AnswerGrade, GradeCounts, PaceCounts};
use rand::{Rng, SeedableRng};

/// Returns a trial with answers of two servers of the new version, in turn.
fn trial(grades: &[AnswerGrade]) -> VersionTrial {
    let mut trial = VersionTrial::new(TrialSettings::default());
    let route: Arc<str> = "advice".into();
    for (number, grade) in grades.iter().enumerate() {
        let server: Arc<str> = format!("i-{}", number % 2).into();
        trial.record_candidate(&route, &server, *grade);
    }
    trial
}

#[test]
fn failures_of_two_servers_stop_a_version() {
    use AnswerGrade::{Failed, Good};
    assert!(trial(&[Failed, Failed, Good, Failed]).is_bad());
    assert!(!trial(&[Failed, Good, Good, Failed]).is_bad());
}

#[test]
fn failures_of_one_server_of_several_do_not_stop_a_version() {
    let mut trial = trial(&[AnswerGrade::Good, AnswerGrade::Good]);
    let (route, broken): (Arc<str>, Arc<str>) = ("advice".into(), "i-0".into());
    for _ in 0..5 {
        trial.record_candidate(&route, &broken, AnswerGrade::Failed);
    }
    assert!(!trial.is_bad());
}

#[test]
fn failures_shared_with_the_previous_version_do_not_stop_a_version() {
    use AnswerGrade::{Failed, Good};
    let mut trial = trial(&[Failed, Good, Failed, Good, Good, Failed]);
    for number in 0..20 {
        trial.record_baseline(if number % 3 == 0 { Failed } else { Good });
    }
    assert!(!trial.is_bad());
}

#[test]
fn version_that_turns_bad_late_is_stopped() {
    let mut trial = trial(&[AnswerGrade::Good; 200]);
    let route: Arc<str> = "advice".into();
    let mut answers = 0;
    while !trial.is_bad() {
        let server: Arc<str> = format!("i-{}", answers % 2).into();
        trial.record_candidate(&route, &server, AnswerGrade::Failed);
        answers += 1;
    }
    assert!(answers <= 4, "{answers} failures");
}

/// Guards against missing a version that takes eight times as long: its idle servers answered as
/// fast as the busy servers of the previous version.
#[test]
fn slow_version_on_idle_servers_is_stopped() {
    let mut trial = VersionTrial::new(TrialSettings::default());
    let millis = Duration::from_millis;
    for _ in 0..20 {
        // Busy servers: long waits, as predicted, and cached prompts.
        trial.record_baseline_pace(millis(400), millis(900));
        trial.record_baseline(trial.grade(millis(400), millis(900)));
    }
    assert_eq!(
        trial.grade(millis(300), millis(260)),
        AnswerGrade::Good,
        "a cold cache does not make an answer slow"
    );
    assert_eq!(trial.grade(millis(900), millis(120)), AnswerGrade::Slow);
    let (route, server): (Arc<str>, Arc<str>) = ("advice".into(), "i-0".into());
    for _ in 0..8 {
        trial.record_candidate(&route, &server, trial.grade(millis(900), millis(120)));
    }
    assert!(trial.is_bad());
}

/// Guards against missing a version of which six answers in ten take four times as long. Such
/// versions passed in three seeds of a simulated day, when only answers beyond five times the usual
/// pace counted as slow.
#[test]
fn version_with_some_slow_answers_is_stopped() {
    let mut trial = VersionTrial::new(TrialSettings::default());
    let millis = Duration::from_millis;
    for _ in 0..20 {
        trial.record_baseline_pace(millis(400), millis(900));
        trial.record_baseline(trial.grade(millis(400), millis(900)));
    }
    let (route, server): (Arc<str>, Arc<str>) = ("advice".into(), "i-0".into());
    for number in 0..10 {
        let took = if number % 10 < 6 { 800 } else { 200 };
        trial.record_candidate(&route, &server, trial.grade(millis(took), millis(400)));
    }
    assert!(trial.is_bad());
}

/// Guards against each of eight hosts seeing one or two failures of a bad version, too few for a
/// verdict, so that the version was given all sessions.
#[test]
fn few_failures_at_each_of_many_hosts_stop_a_version() {
    let mut trial = trial(&[AnswerGrade::Good, AnswerGrade::Failed, AnswerGrade::Good]);
    assert!(!trial.is_bad());
    for host in 0..4 {
        let address = SocketAddr::from(([10, 0, 0, host], 7_340));
        trial.record_remote(
            address,
            GradeCounts {
                answers: 4,
                failures: 1,
                slow: 0,
            },
        );
    }
    assert!(trial.is_bad());
}

/// Plays a roll-out at 82 hosts of which each serves a number of answers on each of three routes, a share
/// of them late, and returns how many hosts stop the version. The paces that the others reported are those
/// of the version before.
fn hosts_that_stop(slow_share: f64, answers: u32) -> usize {
    const HOSTS: u8 = 82;
    let mut random = rand::rngs::StdRng::seed_from_u64(5);
    let mut stopped = 0;
    for _ in 0..HOSTS {
        let mut trial = VersionTrial::new(TrialSettings::default());
        for number in 0..160 {
            // The version before has one slow answer in nine.
            let is_slow = number % 9 == 0;
            trial.record_baseline(if is_slow {
                AnswerGrade::Slow
            } else {
                AnswerGrade::Good
            });
        }
        for host in 1..HOSTS {
            let counts = GradeCounts {
                answers: 24,
                failures: 0,
                slow: 3,
            };
            let address = SocketAddr::from(([10, 0, 0, host], 7_340));
            trial.record_remote(address, counts);
            let paces = PaceCounts {
                answers: 4,
                slow: 0,
            };
            trial.record_remote_paces(address, paces);
        }
        let mut is_bad = false;
        for number in 0..answers {
            let server: Arc<str> = format!("i-{}", number % 5).into();
            for route in ["advice", "review", "reply"] {
                let is_slow = random.random_bool(slow_share);
                let grade = if is_slow {
                    AnswerGrade::Slow
                } else {
                    AnswerGrade::Good
                };
                trial.record_candidate(&route.into(), &server, grade);
                is_bad |= trial.is_bad();
            }
        }
        stopped += usize::from(is_bad);
    }
    stopped
}

/// Guards against rolling back a good version in a burst: at one of 82 hosts seven of 24 answers began
/// late, although all hosts together saw hardly more of them than before the roll-out.
#[test]
fn good_version_is_stopped_by_no_host_of_a_large_fleet() {
    assert_eq!(hosts_that_stop(0.16, 40), 0);
}

#[test]
fn slow_version_is_stopped_by_many_hosts_of_a_large_fleet() {
    let stopped = hosts_that_stop(0.5, 16);
    assert!(stopped >= 20, "{stopped} of 82 hosts");
}
