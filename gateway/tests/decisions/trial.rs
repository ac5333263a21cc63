//! Load pattern: an unproven version that few requests reach, at each of many hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast_gateway::coordination::rollouts::{TrialSettings, VersionTrial};
use galenamast_gateway::state::{AnswerGrade, GradeCounts};

/// Returns a trial after answers of two servers of the new version.
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
fn one_broken_server_of_several_does_not() {
    let mut trial = trial(&[AnswerGrade::Good, AnswerGrade::Good]);
    let (route, broken): (Arc<str>, Arc<str>) = ("advice".into(), "i-0".into());
    for _ in 0..5 {
        trial.record_candidate(&route, &broken, AnswerGrade::Failed);
    }
    assert!(!trial.is_bad());
}

#[test]
fn failures_that_the_version_before_has_too_do_not() {
    use AnswerGrade::{Failed, Good};
    let mut trial = trial(&[Failed, Good, Failed, Good, Good, Failed]);
    for number in 0..20 {
        trial.record_baseline(if number % 3 == 0 { Failed } else { Good });
    }
    assert!(!trial.is_bad());
}

#[test]
fn a_version_that_turns_bad_late_is_stopped_by_its_latest_answers() {
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

/// A version that takes eight times as long was not noticed: its idle servers answered as fast as
/// the busy ones of the version before.
#[test]
fn a_slow_version_on_idle_servers_is_stopped() {
    let mut trial = VersionTrial::new(TrialSettings::default());
    let millis = Duration::from_millis;
    for _ in 0..20 {
        // Busy servers: long waits, as predicted, and prompts that are kept.
        trial.record_baseline_pace(millis(400), millis(900));
        trial.record_baseline(trial.grade(millis(400), millis(900)));
    }
    assert_eq!(
        trial.grade(millis(300), millis(260)),
        AnswerGrade::Good,
        "cold, not slow"
    );
    assert_eq!(trial.grade(millis(900), millis(120)), AnswerGrade::Slow);
    let (route, server): (Arc<str>, Arc<str>) = ("advice".into(), "i-0".into());
    for _ in 0..8 {
        trial.record_candidate(&route, &server, trial.grade(millis(900), millis(120)));
    }
    assert!(trial.is_bad());
}

/// A version of which six answers in ten took four times as long passed, three seeds of a day of our
/// own, as only those beyond five times the usual pace counted.
#[test]
fn a_version_that_is_slow_for_some_of_its_answers_is_stopped() {
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

/// Eight hosts each saw one or two failures of a bad version, none enough for a verdict, and the
/// version was given all sessions.
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
