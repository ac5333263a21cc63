//! Responses that are late, repeated or of another request, on new and reused connections.

use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::requests::{
    AttemptOutcome, HeadStatement, ResponseOrigin, check_statement,
};

/// Returns all heads of responses to the request `r-1`: their origin and what they state.
fn all_heads() -> Vec<(ResponseOrigin, HeadStatement)> {
    let mut heads = Vec::new();
    for named in [None, Some("r-1"), Some("r-0"), Some("")] {
        for bits in 0..16_u8 {
            let is_set = |bit: u8| bits & (1 << bit) != 0;
            let statement = HeadStatement {
                wrong_server: is_set(0),
                not_run: is_set(1),
                is_deliverable: is_set(2),
            };
            heads.push((ResponseOrigin::new(named, "r-1", is_set(3)), statement));
        }
    }
    heads
}

// A refusal of an earlier request was taken for one of the request that waited.
#[test]
fn only_a_refusal_of_the_request_itself_states_that_it_did_not_run() {
    for (origin, statement) in all_heads() {
        let checked = check_statement(origin, statement);
        let is_not_run = checked.is_err_and(|outcome| !outcome.may_have_run());
        let is_refusal = statement.not_run || statement.wrong_server;
        assert_eq!(
            is_not_run,
            is_refusal && origin.is_certain(),
            "{origin:?} {statement:?}"
        );
    }
}

#[test]
fn only_a_response_that_names_the_request_is_delivered() {
    for (origin, statement) in all_heads() {
        let is_delivered = check_statement(origin, statement).is_ok();
        let is_refusal = statement.not_run || statement.wrong_server;
        let is_own = origin == ResponseOrigin::Named;
        assert_eq!(
            is_delivered,
            is_own && statement.is_deliverable && !is_refusal
        );
    }
}

#[test]
fn only_a_response_to_the_request_itself_ends_a_demand() {
    let sent_at = TimePoint::ZERO + Duration::from_secs(5);
    for (origin, _) in all_heads() {
        let ends_demands = origin.stated_after(sent_at) == Some(sent_at);
        assert_eq!(ends_demands, origin.is_certain(), "{origin:?}");
        let counts = origin.stated_after(sent_at).is_some();
        assert_eq!(counts, origin != ResponseOrigin::Foreign);
    }
}

// After a refusal that proves nothing, the next one has to prove something.
#[test]
fn attempt_after_an_unproven_refusal_needs_a_new_connection() {
    assert!(AttemptOutcome::Unproven.doubts_connections());
    assert!(!AttemptOutcome::Rejected.doubts_connections());
}
