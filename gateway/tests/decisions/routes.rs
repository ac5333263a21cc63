//! Route look-up by host name and longest path prefix.

use std::time::Duration;

use galenamast_gateway::state::{
    ConfigSnapshot, RouteKind, RouteTarget, ServiceRoute, WorkspaceEntry,
};

/// Returns a route with two weighted targets.
fn route(name: &str, prefix: &str) -> ServiceRoute {
    ServiceRoute {
        name: name.into(),
        host: "desk.example".into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        goal: Duration::from_secs(1),
        gap_goal: None,
        priority: 0,
        attempts: 1,
        public: false,
        resumable: false,
        models: Vec::new(),
        targets: vec![
            RouteTarget {
                service: "a".into(),
                weight: 90,
            },
            RouteTarget {
                service: "b".into(),
                weight: 10,
            },
        ],
    }
}

#[test]
fn longest_prefix_wins_and_host_names_ignore_case() {
    let mut image = ConfigSnapshot::default();
    image.set_routes(vec![route("short", "/a/"), route("long", "/a/b/")]);
    let name = |host, path| {
        image
            .find_route(host, path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(name("desk.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(
        name("DESK.example:8080", "/a/x?y=/b/").as_deref(),
        Some("short")
    );
    assert_eq!(name("desk.example", "/a"), None);
    assert_eq!(name("other.example", "/a/b/"), None);
}

#[test]
fn targets_are_picked_by_weight() {
    let route = route("r", "/a/");
    let picked = (0..100).filter_map(|point| route.pick_target(point));
    let to_a = picked.filter(|target| &*target.service == "a").count();
    assert_eq!(to_a, 90);
}

#[test]
fn credentials_are_stored_as_digests() {
    let mut image = ConfigSnapshot::default();
    let workspace = WorkspaceEntry {
        name: "rental".into(),
        priority: None,
    };
    image.add_workspace(&workspace, &["secret-key".into()]);
    assert_eq!(image.find_workspace("secret-key"), Some(&workspace));
    assert_eq!(image.find_workspace("secret-ke"), None);
    assert!(!format!("{image:?}").contains("secret-key"));
}
