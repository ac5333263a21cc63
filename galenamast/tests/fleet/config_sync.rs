//! `ConfigSync`, the state machine that keeps a host's configuration current, without I/O.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use galenamast::coordination::{
    ConfigAction, ConfigEvent, ConfigNotice, ConfigObject, ConfigSource, ConfigSync,
    ConfigSyncSettings, EncodedObject, MemberRecord, MemberStatus, MemberTable, ObjectDigest,
};
use galenamast::state::{ConfigGeneration, PoolSpec, TimePoint};

/// Returns the member table of the first host, with all hosts in one failure domain.
fn table_of(names: &[&str]) -> Arc<MemberTable> {
    let record = |name: &str| MemberRecord {
        name: name.into(),
        domain: "cumbre".into(),
        address: ([127, 0, 0, 1], 9).into(),
        incarnation: 1,
        status: MemberStatus::Alive,
    };
    Arc::new(MemberTable {
        own: names[0].into(),
        domain: "cumbre".into(),
        members: names
            .iter()
            .map(|name| ((*name).into(), record(name)))
            .collect(),
        ..Default::default()
    })
}

/// Returns the head entries for a configuration with one pool, and the encoded pool.
fn entries_of(slots: u32) -> (BTreeMap<String, ObjectDigest>, EncodedObject) {
    let pool = ConfigObject::Pool(PoolSpec {
        name: "advice".into(),
        slots_per_server: slots,
        ..Default::default()
    });
    let encoded = pool.encode().expect("it encodes");
    let entries = [(pool.entry_name(), encoded.digest.clone())].into();
    (entries, encoded)
}

/// Delivers a generation read from the platform; returns whether it was adopted.
fn adopt(config_sync: &mut ConfigSync, generation: u64, slots: u32, now: TimePoint) -> bool {
    let (entries, object) = entries_of(slots);
    let head = ConfigEvent::HeadRead {
        generation: ConfigGeneration(generation),
        entries,
        confirmed: now,
    };
    let mut actions = config_sync.handle(head, now);
    let arrived = ConfigEvent::ObjectsArrived(ConfigSource::Platform, vec![object]);
    actions.extend(config_sync.handle(arrived, now));
    actions
        .iter()
        .any(|action| matches!(action, ConfigAction::Adopt(_)))
}

#[test]
fn only_a_higher_generation_is_adopted() {
    let mut config_sync = ConfigSync::new(ConfigSyncSettings::default(), table_of(&["a"]), 1);
    let now = TimePoint::from_millis(1_000);
    assert!(adopt(&mut config_sync, 5, 8, now));
    assert!(!adopt(&mut config_sync, 5, 9, now));
    assert!(!adopt(&mut config_sync, 4, 9, now));
    assert!(!adopt(&mut config_sync, 0, 9, now));
    assert_eq!(config_sync.generation(), ConfigGeneration(5));
    let (entries, _) = entries_of(9);
    let lower = ConfigEvent::HeadRead {
        generation: ConfigGeneration(4),
        entries,
        confirmed: now,
    };
    let actions = config_sync.handle(lower, now + Duration::from_secs(1));
    assert_eq!(
        actions,
        [ConfigAction::ReportRegression(ConfigGeneration(4))]
    );
    assert!(adopt(&mut config_sync, 6, 9, now));
}

#[test]
fn an_invalid_configuration_is_not_adopted() {
    let mut config_sync = ConfigSync::new(ConfigSyncSettings::default(), table_of(&["a"]), 1);
    let now = TimePoint::from_millis(1_000);
    assert!(adopt(&mut config_sync, 1, 8, now));
    assert!(
        !adopt(&mut config_sync, 2, 0, now),
        "a pool with no slots is invalid"
    );
    assert_eq!(config_sync.generation(), ConfigGeneration(1));
    assert!(adopt(&mut config_sync, 3, 9, now));
}

#[test]
fn a_reported_age_counts_from_when_the_probe_was_sent() {
    let mut config_sync = ConfigSync::new(ConfigSyncSettings::default(), table_of(&["a", "b"]), 1);
    let start = TimePoint::from_millis(1_000);
    assert!(adopt(&mut config_sync, 1, 8, start));
    let asked = start + Duration::from_secs(100);
    let answered = asked + Duration::from_secs(2);
    // The other host confirmed the generation before this host started.
    let notice = |age| ConfigNotice {
        generation: ConfigGeneration(1),
        age,
        domain_progress: Vec::new(),
    };
    let stale = notice(Duration::from_secs(3_600));
    config_sync.handle(ConfigEvent::Probed("b".into(), stale, asked), answered);
    assert_eq!(config_sync.age(answered), Duration::from_secs(102));
    let fresh = notice(Duration::from_secs(5));
    config_sync.handle(ConfigEvent::Probed("b".into(), fresh, asked), answered);
    assert_eq!(config_sync.age(answered), Duration::from_secs(7));
    let announcement = ConfigEvent::GenerationAnnounced("b".into(), ConfigGeneration(1));
    config_sync.handle(announcement, answered);
    assert_eq!(config_sync.age(answered), Duration::from_secs(7));
}

#[test]
fn the_platform_is_asked_only_when_no_peer_has_the_objects() {
    let mut config_sync =
        ConfigSync::new(ConfigSyncSettings::default(), table_of(&["a", "b", "c"]), 1);
    let now = TimePoint::from_millis(1_000);
    let notice = ConfigNotice {
        generation: ConfigGeneration(7),
        age: Duration::ZERO,
        domain_progress: Vec::new(),
    };
    config_sync.handle(ConfigEvent::Probed("b".into(), notice, now), now);
    let (entries, object) = entries_of(8);
    let entries = galenamast::coordination::ConfigEntries {
        generation: ConfigGeneration(7),
        base: None,
        changed: entries,
        removed: Vec::new(),
    };
    let mut actions = config_sync.handle(ConfigEvent::EntriesArrived("b".into(), entries), now);
    let mut asked = Vec::new();
    while let Some(ConfigAction::FetchObjects(source, _)) = actions.pop() {
        asked.push(source.clone());
        if source == ConfigSource::Platform {
            let arrived = ConfigEvent::ObjectsArrived(source, vec![object.clone()]);
            actions = config_sync.handle(arrived, now);
        } else {
            actions = config_sync.handle(ConfigEvent::FetchFailed(source), now);
        }
    }
    let expected = [
        ConfigSource::Peer("b".into()),
        ConfigSource::Peer("c".into()),
        ConfigSource::Platform,
    ];
    assert_eq!(asked, expected);
    assert_eq!(config_sync.generation(), ConfigGeneration(7));
}

#[test]
fn two_hosts_watch_the_platform_or_one_if_it_is_alone() {
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let count_watchers = |names: &[&str]| {
        let mut count = 0;
        for index in 0..names.len() {
            let mut own_first = names.to_vec();
            own_first.swap(0, index);
            let settings = ConfigSyncSettings::default();
            let mut config_sync = ConfigSync::new(settings, table_of(&own_first), 1);
            let actions = config_sync.handle(ConfigEvent::Tick, TimePoint::ZERO);
            count += usize::from(actions.contains(&ConfigAction::Watch(true)));
        }
        count
    };
    assert_eq!(count_watchers(&names), 2);
    assert_eq!(count_watchers(&names[..1]), 1);
}
