//! Merging quality digests is idempotent and does not depend on their order.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::{
    LengthBucket, QualityCell, QualityDigest, QualityEstimate, QualityObservation, QualityOrigin,
    QualityTable, TimePoint, VersionSpec,
};
use proptest::collection::vec;

use crate::fixture::{key, runner};

fn origin(index: usize) -> QualityOrigin {
    QualityOrigin {
        host: format!("host-{index}").as_str().into(),
        incarnation: 1,
    }
}

fn observation(rating: f64) -> QualityObservation {
    QualityObservation {
        cell: QualityCell {
            version: key("small"),
            task: "advice".into(),
            ..Default::default()
        },
        rating: Some(rating),
        latency: None,
    }
}

/// Returns the digests of three hosts, one taken after each observation.
fn digests(ratings: &[(usize, f64)]) -> Vec<QualityDigest> {
    let mut tables: Vec<_> = (0..3)
        .map(|index| QualityTable::new(origin(index)))
        .collect();
    let mut digests = Vec::new();
    for (host, rating) in ratings {
        tables[*host].observe(&observation(*rating), TimePoint::ZERO);
        digests.push(tables[*host].digest(TimePoint::ZERO));
    }
    digests
}

fn merged(digests: &[QualityDigest]) -> Vec<QualityDigest> {
    let mut table = QualityTable::new(origin(9));
    for digest in digests {
        table.merge(digest, TimePoint::ZERO);
    }
    let cell = observation(0.0).cell;
    (0..3)
        .map(|index| {
            let mut digest = QualityTable::new(origin(index)).digest(TimePoint::ZERO);
            let sums = table.bucket_sums(&origin(index), 0, &cell);
            digest.entries.push(galenamast::state::QualityEntry {
                cell: cell.clone(),
                bucket: 0,
                age: Duration::ZERO,
                sums,
            });
            digest
        })
        .collect()
}

#[test]
fn repeated_and_reordered_digests_give_the_same_sums() {
    let strategy = (vec((0..3_usize, 0.0..1.0_f64), 1..30), 0..1_000_usize);
    let property = |(ratings, rotation): (Vec<(usize, f64)>, usize)| {
        let digests = digests(&ratings);
        let expected = merged(&digests);
        let mut shuffled = digests.clone();
        shuffled.rotate_left(rotation % digests.len());
        shuffled.reverse();
        shuffled.extend(digests.iter().take(rotation % 7).cloned());
        assert_eq!(merged(&shuffled), expected);
        Ok(())
    };
    runner()
        .run(&strategy, property)
        .expect("the property holds");
}

#[test]
fn estimates_follow_merged_ratings_and_old_ratings_decay() {
    let mut table = QualityTable::new(origin(0));
    let digests = digests(&vec![(1, 0.2); 300]);
    table.merge(
        digests.last().expect("at least one digest"),
        TimePoint::ZERO,
    );
    let estimate = |table: &QualityTable, now| {
        let spec = VersionSpec {
            prior_quality: 0.8,
            ..Default::default()
        };
        let length = LengthBucket::Short;
        QualityEstimate::of(table, &key("small"), &spec, &"advice".into(), length, now).mean
    };
    assert!(estimate(&table, TimePoint::ZERO) < 0.25);
    let later = TimePoint::ZERO + Duration::from_secs(24 * 3_600);
    assert!(estimate(&table, later) > 0.75);
    let shared = Arc::new(table);
    assert!(estimate(&shared, TimePoint::ZERO) < 0.25);
}
