//! Merging evidence is idempotent and indifferent to order.

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
    let mut all = test(9);
    for digest in digests {
        all.merge(digest, TimePoint::ZERO);
    }
    (all.count(), all.log_evidence())
}

#[test]
fn repeats_and_reordering_do_no_harm() {
    let strategy = (vec((0..3_usize, 0.0..1.0_f64), 1..30), 0..1_000_usize);
    let property = |(ratings, turn): (Vec<(usize, f64)>, usize)| {
        let mut tests: Vec<_> = (0..3).map(test).collect();
        let mut digests = Vec::new();
        for (host, rating) in &ratings {
            tests[*host].observe(*rating, 0.8, TimePoint::ZERO);
            digests.push(tests[*host].digest());
        }
        let (count, evidence) = merged(&digests);
        let mut shuffled = digests.clone();
        shuffled.rotate_left(turn % digests.len());
        shuffled.reverse();
        shuffled.extend(digests.iter().take(turn % 7).cloned());
        let (again, other) = merged(&shuffled);
        assert_eq!(count, ratings.len() as u64);
        assert_eq!(count, again);
        assert!((evidence - other).abs() < 1e-9);
        Ok(())
    };
    runner().run(&strategy, property).expect("it holds");
}

#[test]
fn evidence_of_several_hosts_adds_up() {
    let mut tests: Vec<_> = (0..3).map(test).collect();
    let threshold = 4_000_f64.ln();
    let alone = 10;
    for test in &mut tests {
        (0..alone).for_each(|_| test.observe(0.1, 0.9, TimePoint::ZERO));
        assert!(!test.reaches(threshold));
    }
    let mut all = test(9);
    for test in &tests {
        all.merge(&test.digest(), TimePoint::ZERO);
    }
    assert!(all.reaches(threshold));
}
