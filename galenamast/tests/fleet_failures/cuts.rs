//! A failure domain that is cut off from the other domains, from the platform, or from both.

use std::time::{Duration, Instant};

use galenamast::coordination::ConfigObject;
use galenamast::state::{PoolSpec, VersionStage};
use galenamast_testbed::{CutSide, Fleet, wait_until};

use crate::ledger_check::{check_all, check_answered};
use crate::support::{TRIAL_FRESHNESS_BOUND, change, fleet_permit, start_trial_fleet, withdraw};
use crate::traffic::{Call, CallKind, CallSite, Traffic};

/// Failure domain that is cut off.
const CUT_DOMAIN: &str = "jamnagar";
/// Time after a cut from which on a version under roll-out gets no new work in the domain.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Starts callers of the hosts in the domain to be cut off, and callers of the other hosts.
fn start_callers(fleet: &Fleet) -> (Traffic, Traffic) {
    let options = &fleet.deployment.options;
    let (inside, outside): (Vec<_>, Vec<_>) = fleet
        .hosts
        .values()
        .partition(|host| host.domain == CUT_DOMAIN);
    let addresses = |hosts: Vec<&galenamast_testbed::FleetHost>| {
        let hosts = hosts.into_iter();
        hosts.map(|host| host.entry().caller_address()).collect()
    };
    (
        Traffic::start(options, "inside", addresses(inside)),
        Traffic::start(options, "outside", addresses(outside)),
    )
}

/// Returns the chats and streams among the calls.
fn idempotent(calls: &[Call]) -> Vec<Call> {
    let idempotent = calls.iter().filter(|call| call.kind != CallKind::Claim);
    idempotent.cloned().collect()
}

/// Resends unanswered claims to a host outside the domain.
async fn resend_claims(fleet: &Fleet, calls: &[Call]) -> Vec<Call> {
    let site = CallSite::of(&fleet.deployment.options);
    let target = fleet.address("rajkot-0");
    let mut resent = Vec::new();
    for call in calls {
        if call.kind == CallKind::Claim && !call.is_answered() {
            resent.push(Call::make(&site, CallKind::Claim, &call.key, target).await);
        }
    }
    resent
}

/// Cuts the domain off under traffic, changes the configuration outside it, heals the cut, and
/// checks answers, runs, billing and configuration.
async fn cut_and_heal(sides: &[CutSide]) {
    let _permit = fleet_permit().await;
    let mut fleet = start_trial_fleet(1_000).await;
    let (inside, outside) = start_callers(&fleet);
    inside.wait_for_calls(5).await;
    let before = inside.ended().len();
    fleet.cut(CUT_DOMAIN, sides);
    let cut_at = Instant::now();
    let isolated = sides.len() == 2;
    if isolated {
        wait_until(
            "the domain's configuration is older than the freshness bound",
            || {
                let mut hosts = fleet.hosts_in_domain(CUT_DOMAIN);
                hosts.all(|host| {
                    host.entry().context().tables.load().config_age > TRIAL_FRESHNESS_BOUND
                })
            },
        )
        .await;
    }
    let withdrawn = withdraw(&fleet, "small").await;
    let pool = PoolSpec {
        name: "added-meanwhile".into(),
        ..Default::default()
    };
    let added = change(&fleet, "add", vec![ConfigObject::Pool(pool)]).await;
    let added = added.expect("the change is accepted").generation;
    inside.wait_for_calls(5).await;
    outside.wait_for_calls(5).await;
    let during = inside.ended().split_off(before);
    fleet.heal();
    fleet.wait_for_generation(added).await;
    inside.wait_for_calls(3).await;
    let mut calls = inside.stop().await;
    let outside = outside.stop().await;
    // Established versions and idempotent requests are served everywhere during the cut.
    check_answered(&idempotent(&calls));
    check_answered(&outside);
    if isolated {
        let late = during.iter().filter(|call| call.sent > cut_at + STOP_LIMIT);
        let trial = late.filter(|call| call.version() == Some("trial")).count();
        assert_eq!(
            trial, 0,
            "the version under roll-out got work after STOP_LIMIT"
        );
        let last = during.iter().rfind(|call| call.kind == CallKind::Chat);
        assert_ne!(last.and_then(Call::version), Some("trial"));
    }
    if sides.contains(&CutSide::Platform) {
        let is_refused_claim = |call: &&Call| call.kind == CallKind::Claim && call.is_refused();
        assert!(
            during.iter().any(|call| is_refused_claim(&call)),
            "no claim was refused"
        );
        let claims = calls.iter().filter(|call| call.kind == CallKind::Claim);
        for call in claims.filter(|call| !call.is_answered()) {
            assert!(call.reply.is_some(), "a caller got no reply: {call:?}");
        }
    } else {
        check_answered(&calls);
    }
    // Accepted changes are not reverted by healing.
    assert!(withdrawn < added);
    for host in fleet.hosts.values() {
        let image = host.entry().context().image.load();
        assert!(image.pools.contains_key(&"added-meanwhile".into()));
        let stage = image.models[&"advice".into()].versions[&"small".into()].stage;
        assert_eq!(stage, VersionStage::Withdrawn);
    }
    calls.extend(resend_claims(&fleet, &calls).await);
    calls.extend(outside);
    check_all(fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_cut_off_from_its_peers_answers_and_bills_correctly() {
    cut_and_heal(&[CutSide::Peers]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_cut_off_from_the_platform_answers_and_bills_correctly() {
    cut_and_heal(&[CutSide::Platform]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_cut_off_from_both_answers_and_bills_correctly() {
    cut_and_heal(&[CutSide::Peers, CutSide::Platform]).await;
}
