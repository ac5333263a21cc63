//! Merging evidence digests is idempotent and does not depend on their order.

use galenamast::coordination::{BettingTest, EvidenceDigest};
use galenamast::state::{QualityOrigin, TimePoint};
use proptest::collection::vec;

use crate::fixture::runner;

fn test(index: usize) -> BettingTest {
    let origin = QualityOrigin {
        host: format!("host-{index}").as_str().into(),
        incarnation: 1,
    };
    BettingTest::new(origin, 0.02, TimePoint::ZERO)
}

fn merged(digests: &[EvidenceDigest]) -> (u64, f64) {
    let mut combined = test(9);
    for digest in digests {
        combined.merge(digest, TimePoint::ZERO);
    }
    (combined.count(), combined.log_evidence())
}

#[test]
fn repeated_and_reordered_digests_give_the_same_evidence() {
    let strategy = (vec((0..3_usize, 0.0..1.0_f64), 1..30), 0..1_000_usize);
    let property = |(ratings, rotation): (Vec<(usize, f64)>, usize)| {
        let mut tests: Vec<_> = (0..3).map(test).collect();
        let mut digests = Vec::new();
        for (host, rating) in &ratings {
            tests[*host].observe(*rating, 0.8, TimePoint::ZERO);
            digests.push(tests[*host].digest());
        }
        let (count, evidence) = merged(&digests);
        let mut shuffled = digests.clone();
        shuffled.rotate_left(rotation % digests.len());
        shuffled.reverse();
        shuffled.extend(digests.iter().take(rotation % 7).cloned());
        let (shuffled_count, shuffled_evidence) = merged(&shuffled);
        assert_eq!(count, ratings.len() as u64);
        assert_eq!(count, shuffled_count);
        assert!((evidence - shuffled_evidence).abs() < 1e-9);
        Ok(())
    };
    runner()
        .run(&strategy, property)
        .expect("the property holds");
}

#[test]
fn evidence_of_several_hosts_adds_up() {
    let mut tests: Vec<_> = (0..3).map(test).collect();
    let threshold = 4_000_f64.ln();
    let ratings_per_host = 10;
    for test in &mut tests {
        (0..ratings_per_host).for_each(|_| test.observe(0.1, 0.9, TimePoint::ZERO));
        assert!(!test.reaches(threshold));
    }
    let mut combined = test(9);
    for test in &tests {
        combined.merge(&test.digest(), TimePoint::ZERO);
    }
    assert!(combined.reaches(threshold));
}
