//! Stops under load, when callers go on sending to a host that ends.

use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::shutdown::{StopSchedule, StopSettings};
use proptest::prelude::{any, proptest};

proptest! {
    // Guards against admitting work by a constant window: a request with more time than that was cut.
    #[test]
    fn request_admitted_by_a_draining_host_can_use_all_its_time(
        grace in 500_u64..60_000,
        lag in 0_u64..5_000,
        sent in 0_u64..60_000,
        allowed in any::<u16>(),
    ) {
        let signalled_at = TimePoint::from_millis(1_000);
        let settings = StopSettings {
            grace_period: Duration::from_millis(grace),
            balancer_lag: Duration::from_millis(lag),
        };
        let schedule = StopSchedule::new(signalled_at, settings);
        let now = signalled_at + Duration::from_millis(sent);
        let deadline = now + Duration::from_millis(allowed.into());
        let is_draining = now >= schedule.drains_at();
        let can_end = deadline <= schedule.answers_until();
        assert_eq!(schedule.admits(deadline, now), !is_draining || can_end);
        assert!(schedule.answers_until() < schedule.ends_at());
        assert!(schedule.drains_at() <= schedule.answers_until());
    }
}
