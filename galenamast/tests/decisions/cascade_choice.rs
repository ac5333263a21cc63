//! Cascades are planned only where they are allowed and cheaper.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::{
    QualityCell, QualityObservation, RouteOutcome, RouteRequest, RouteTables, TimePoint, plan_route,
};

use crate::fixture::{edit_workspace, image, key, rate, request, server, tables};

/// Returns tables in which the ratings of the cheap version vary, so that the check can separate
/// good answers from bad ones.
fn varied_tables() -> RouteTables {
    let mut tables = tables([server("s1", "here")]);
    rate(&mut tables, "large", 0.95, 400);
    for rating in [0.55, 0.65, 0.75, 0.85, 0.95] {
        for _ in 0..100 {
            let observation = QualityObservation {
                cell: QualityCell {
                    version: key("small"),
                    task: "advice".into(),
                    ..Default::default()
                },
                rating: Some(rating),
                latency: Some(Duration::from_millis(200)),
            };
            Arc::make_mut(&mut tables.quality).observe(&observation, TimePoint::ZERO);
        }
    }
    tables
}

fn is_cascade(request: &RouteRequest, enabled: bool) -> bool {
    let mut image = image();
    image.rollouts.clear();
    edit_workspace(&mut image, |workspace| {
        workspace.cascades = enabled;
        // Without mixing, no version below the target is used unchecked.
        workspace.mixing_shortfall = 0.0;
    });
    let tables = varied_tables();
    let decision = plan_route(request, &image, &tables, TimePoint::ZERO, 3);
    matches!(decision.outcome, RouteOutcome::Cascade(_))
}

#[test]
fn cascades_need_permission_idempotence_and_time() {
    let base = RouteRequest {
        prompt_tokens: 400,
        max_output_tokens: 400,
        ..request()
    };
    assert!(is_cascade(&base, true));
    assert!(!is_cascade(&base, false));
    let streamed = RouteRequest {
        streamed: true,
        ..base.clone()
    };
    assert!(!is_cascade(&streamed, true));
    let not_idempotent = RouteRequest {
        idempotent: false,
        ..base.clone()
    };
    assert!(!is_cascade(&not_idempotent, true));
    let urgent = RouteRequest {
        time_left: Duration::from_millis(800),
        ..base.clone()
    };
    assert!(!is_cascade(&urgent, true));
    // Rating an answer this short costs more than the answer.
    let tiny = RouteRequest {
        prompt_tokens: 5,
        max_output_tokens: 5,
        ..base
    };
    assert!(!is_cascade(&tiny, true));
}
