//! Which version a decision chooses, and the verdicts on the others.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::{
    ChoiceReason, ConfigImage, RefusalReason, RouteOutcome, RouteRequest, RouteTables, TimePoint,
    VersionStage, VersionVerdict, WithdrawnPolicy, plan_route,
};
use proptest::prelude::any;

use crate::fixture::{
    edit_version, edit_workspace, image, key, rate, request, runner, server, tables, verdict,
};

#[test]
fn each_unusable_version_has_the_matching_verdict() {
    let tables = tables([server("s1", "here")]);
    let mut withdrawn = image();
    edit_version(&mut withdrawn, "small", |spec| {
        spec.stage = VersionStage::Withdrawn;
    });
    let found = verdict("small", &request(), &withdrawn, &tables, 1);
    assert_eq!(found, VersionVerdict::Withdrawn);

    let mut braked = tables.clone();
    braked
        .brakes
        .insert(key("large"), TimePoint::from_millis(1));
    let found = verdict("large", &request(), &image(), &braked, 1);
    assert_eq!(found, VersionVerdict::Braked);
    braked.brakes.insert(key("large"), TimePoint::ZERO);
    let found = verdict("large", &request(), &image(), &braked, 1);
    assert_ne!(found, VersionVerdict::Braked);

    let mut stale = tables.clone();
    stale.config_age = Duration::from_secs(11);
    assert_eq!(
        verdict("next", &request(), &image(), &stale, 1),
        VersionVerdict::Stale
    );
    assert_ne!(
        verdict("large", &request(), &image(), &stale, 1),
        VersionVerdict::Stale
    );

    let mut pinned = request();
    pinned.pinned = Some(key("large"));
    assert_eq!(
        verdict("small", &pinned, &image(), &tables, 1),
        VersionVerdict::NotPinned
    );
    assert_eq!(
        verdict("large", &pinned, &image(), &tables, 1),
        VersionVerdict::Chosen
    );
}

#[test]
fn a_version_outside_the_allowed_set_is_never_chosen() {
    let mut image = image();
    edit_workspace(&mut image, |workspace| {
        let allowed = workspace.allowed.values_mut();
        allowed.for_each(|versions| versions.retain(|name| name.as_str() == "small"));
    });
    let tables = tables([server("s1", "here")]);
    for pin in [None, Some(key("large"))] {
        let mut request = request();
        request.pinned = pin;
        for seed in 0..50 {
            let decision = plan_route(&request, &image, &tables, TimePoint::ZERO, seed);
            if let RouteOutcome::Dispatch(target) = decision.outcome {
                assert_eq!(target.version, key("small"));
            }
        }
    }
}

#[test]
fn a_session_of_a_withdrawn_version_is_refused_or_moved() {
    let tables = tables([server("s1", "here")]);
    let mut image = image();
    edit_version(&mut image, "large", |spec| {
        spec.stage = VersionStage::Withdrawn;
    });
    let mut request = request();
    request.pinned = Some(key("large"));
    let decision = plan_route(&request, &image, &tables, TimePoint::ZERO, 1);
    let refused = RouteOutcome::Refuse(RefusalReason::VersionWithdrawn);
    assert_eq!(decision.outcome, refused);

    edit_workspace(&mut image, |workspace| {
        workspace.withdrawn_session = WithdrawnPolicy::Move;
    });
    let decision = plan_route(&request, &image, &tables, TimePoint::ZERO, 1);
    assert!(matches!(decision.outcome, RouteOutcome::Dispatch(_)));
}

#[test]
fn the_cheapest_adequate_version_is_chosen() {
    let cases = [
        (0.5, ChoiceReason::CheapestAdequate, "large"),
        (0.9, ChoiceReason::CheapestAdequate, "small"),
    ];
    for (rating, reason, version) in cases {
        let mut tables = tables([server("s1", "here")]);
        rate(&mut tables, "small", rating, 400);
        let mut image = image();
        image.rollouts.clear();
        let decision = plan_route(&request(), &image, &tables, TimePoint::ZERO, 1);
        assert_eq!(decision.reason, Some(reason));
        assert_eq!(
            verdict(version, &request(), &image, &tables, 1),
            VersionVerdict::Chosen
        );
    }
}

#[test]
fn the_best_version_is_chosen_when_none_reaches_the_target() {
    let mut image = image();
    image.rollouts.clear();
    edit_workspace(&mut image, |workspace| workspace.quality_target = 0.99);
    let tables = tables([server("s1", "here")]);
    let decision = plan_route(&request(), &image, &tables, TimePoint::ZERO, 1);
    assert_eq!(decision.reason, Some(ChoiceReason::BestAvailable));
    assert_eq!(
        verdict("large", &request(), &image, &tables, 1),
        VersionVerdict::Chosen
    );
}

#[test]
fn a_rollout_gets_its_share_of_new_sessions() {
    let tables = tables([server("s1", "here")]);
    let image = image();
    let seeds = 10_000;
    let chosen = (0..seeds)
        .filter(|seed| {
            let found = verdict("next", &request(), &image, &tables, *seed);
            found == VersionVerdict::Chosen
        })
        .count();
    // The share is 50 thousandths: 500 expected, with a standard deviation of 22.
    assert!((400..600).contains(&chosen), "{chosen} of {seeds}");
}

#[test]
fn mixing_keeps_the_mean_quality_above_the_target() {
    let mut tables = tables([server("s1", "here")]);
    rate(&mut tables, "small", 0.7, 400);
    rate(&mut tables, "large", 0.95, 400);
    let mut image = image();
    image.rollouts.clear();
    edit_workspace(&mut image, |workspace| workspace.mixing_shortfall = 0.15);
    let count_mixed = |request: &RouteRequest, image: &ConfigImage| {
        (0..10_000)
            .filter(|seed| {
                let decision = plan_route(request, image, &tables, TimePoint::ZERO, *seed);
                decision.reason == Some(ChoiceReason::Mixed)
            })
            .count()
    };
    let mixed = count_mixed(&request(), &image);
    // A share above 0.6 of 0.7 against 0.95 would bring the mean below the target of 0.8.
    assert!((4_000..6_000).contains(&mixed), "{mixed}");

    // Neither a request that is not idempotent nor a session of another version is mixed.
    let mut not_idempotent = request();
    not_idempotent.idempotent = false;
    assert_eq!(count_mixed(&not_idempotent, &image), 0);
    let mut pinned = request();
    pinned.pinned = Some(key("large"));
    assert_eq!(count_mixed(&pinned, &image), 0);

    // The mean of the version lies 0.1 below the target and its lower bound further below, so
    // neither of these shortfalls allows it.
    for shortfall in [0.0, 0.1] {
        edit_workspace(&mut image, |workspace| {
            workspace.mixing_shortfall = shortfall;
        });
        assert_eq!(count_mixed(&request(), &image), 0, "{shortfall}");
    }
}

#[test]
fn a_suspected_version_gets_a_small_share_of_its_rollout() {
    let mut tables = tables([server("s1", "here")]);
    let mut image = image();
    image.rollouts.values_mut().for_each(|rollout| {
        Arc::make_mut(rollout).step = 3;
    });
    let count_chosen = |tables: &RouteTables| {
        (0..2_000)
            .filter(|seed| {
                let found = verdict("next", &request(), &image, tables, *seed);
                found == VersionVerdict::Chosen
            })
            .count()
    };
    // The share is a half at this step, and a twentieth for a suspected version.
    let chosen = count_chosen(&tables);
    assert!((900..1_100).contains(&chosen), "{chosen}");
    tables.suspects.insert(key("next"));
    let chosen = count_chosen(&tables);
    assert!((50..150).contains(&chosen), "{chosen}");
}

#[test]
fn exploration_is_bounded() {
    let mut tables = tables([server("s1", "here")]);
    rate(&mut tables, "large", 0.95, 400);
    let mut image = image();
    image.rollouts.clear();
    edit_version(&mut image, "small", |spec| spec.prior_quality = 0.76);
    let explored = (0..10_000)
        .filter(|seed| {
            let decision = plan_route(&request(), &image, &tables, TimePoint::ZERO, *seed);
            decision.reason == Some(ChoiceReason::Explored)
        })
        .count();
    // The share is 2 in 100: 200 expected, with a standard deviation of 14.
    assert!((130..270).contains(&explored), "{explored}");
}

#[test]
fn equal_inputs_give_equal_decisions() {
    let tables = tables([
        server("s1", "here"),
        server("s2", "here"),
        server("s3", "there"),
    ]);
    let image = image();
    let property = |seed: u64| {
        let decide = || plan_route(&request(), &image, &tables, TimePoint::ZERO, seed);
        assert_eq!(decide(), decide());
        Ok(())
    };
    runner()
        .run(&any::<u64>(), property)
        .expect("the property holds");
}
