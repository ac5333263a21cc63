//! What a version of the configuration allows, and its form in the store.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::platform_config::{BODY_BYTES, attempts, has_seasonal_route};
use crate::request_class::{CLASSES, RequestClass, SEASONAL};

/// Services of the streams.
pub(crate) const ENGINE_SERVICES: [&str; 2] = ["engines", "engines-b"];
/// Services of the plain requests.
pub(crate) const PLAIN_SERVICES: [&str; 2] = ["desk", "desk-b"];
/// Tenants that hold the callers' keys.
pub(crate) const TENANTS: [&str; 3] = ["hule930", "lohu930", "puxa403"];
/// Keys of the callers. A configuration may lack those from `FIRST_MOVED_KEY` on.
pub(crate) const KEYS: [&str; 4] = ["key-1", "key-2", "key-3", "key-4"];
/// Index of the first key that changes give to another tenant or take away.
const FIRST_MOVED_KEY: usize = 2;
/// A key that no configuration holds.
pub(crate) const UNKNOWN_KEY: &str = "key-0";

/// A route with its services.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRoute {
    /// Class of its requests.
    pub(crate) class: &'static RequestClass,
    /// Time limit in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Services with their weights.
    pub(crate) services: Vec<(&'static str, f64)>,
}

/// A version of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct ConfigPlan {
    /// Its version.
    pub(crate) version: u64,
    /// Idle limit of a connection in milliseconds.
    pub(crate) idle_timeout_ms: u64,
    /// Its routes.
    pub(crate) routes: Vec<PlannedRoute>,
    /// Its keys with their tenants.
    pub(crate) keys: BTreeMap<&'static str, &'static str>,
}

impl ConfigPlan {
    /// Returns a version in which each class has its own service and all keys are held.
    pub(crate) fn plain(version: u64, idle_timeout_ms: u64) -> Self {
        let seasonal = has_seasonal_route(version).then_some(&SEASONAL);
        let route = |class: &'static RequestClass| PlannedRoute {
            class,
            timeout_ms: limit_ms(class),
            services: vec![(services_of(class)[0], 1.0)],
        };
        let tenant = |number: usize| TENANTS[number.saturating_sub(1)];
        let keys = KEYS.iter().enumerate();
        Self {
            version,
            idle_timeout_ms,
            routes: CLASSES.iter().chain(seasonal).map(route).collect(),
            keys: keys.map(|(number, key)| (*key, tenant(number))).collect(),
        }
    }

    /// Draws a version that moves, splits and removes routes, changes time limits and moves keys.
    pub(crate) fn draw(version: u64, idle_timeout_ms: u64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(version));
        let mut plan = Self::plain(version, idle_timeout_ms);
        plan.routes.retain(|_| random.random_bool(0.9));
        for route in &mut plan.routes {
            let [first, second] = services_of(route.class);
            route.services = match random.random_range(0..4) {
                0 => vec![(second, 1.0)],
                1 => vec![(first, 0.7), (second, 0.3)],
                _ => vec![(first, 1.0)],
            };
            let factors = [0.4, 1.0, 1.0, 2.0];
            let factor = factors.choose(&mut random).copied().unwrap_or(1.0);
            route.timeout_ms = (limit_ms(route.class) as f64 * factor) as u64;
        }
        for key in &KEYS[FIRST_MOVED_KEY..] {
            if random.random_bool(0.2) {
                plan.keys.remove(key);
            } else if let Some(tenant) = TENANTS.choose(&mut random) {
                plan.keys.insert(key, tenant);
            }
        }
        plan
    }

    /// Returns the route of a class; `None` if there is none.
    pub(crate) fn route(&self, class: &RequestClass) -> Option<&PlannedRoute> {
        self.routes
            .iter()
            .find(|route| route.class.name == class.name)
    }

    /// Returns whether requests of a class may go to a service.
    pub(crate) fn allows(&self, class: &RequestClass, service: &str) -> bool {
        let route = self.route(class);
        route.is_some_and(|route| route.services.iter().any(|(name, _)| *name == service))
    }

    /// Returns the configuration as the operator writes it.
    pub(crate) fn to_json(&self) -> Value {
        let routes = self.routes.iter().map(|route| {
            let class = route.class;
            let mut entry = json!({
                "name": class.name, "host": "desk.example",
                "path_prefix": format!("/{}/", class.name), "kind": class.kind.name(),
                "timeout_ms": route.timeout_ms, "goal_ms": class.goal_ms, "priority": 2,
                "attempts": attempts(class), "public": false,
                "sticky": class.is_stream(), "resumable": class.is_stream(), "gap_goal_ms": 800,
            });
            let split = route.services.iter();
            let split: Vec<Value> = split
                .map(|(service, weight)| json!({"service": service, "weight": weight}))
                .collect();
            match &route.services[..] {
                [(service, _)] => entry["service"] = json!(service),
                _ => entry["split"] = json!(split),
            }
            entry
        });
        let engines = ENGINE_SERVICES.map(|name| {
            json!({"name": name, "health_path": "/health", "connection_limit": 370,
                   "engine": {"slots": 64, "models": [{"name": "m", "cost": 0.01}]}})
        });
        let plain = PLAIN_SERVICES
            .map(|name| json!({"name": name, "health_path": "/health", "connection_limit": 110}));
        let tenants = TENANTS.iter().map(|tenant| {
            let keys = self.keys.iter().filter(|(_, holder)| *holder == tenant);
            let keys: Vec<_> = keys.map(|(key, _)| key).collect();
            json!({"name": tenant, "keys": keys, "priority": 1})
        });
        json!({
            "version": self.version,
            "routes": routes.collect::<Vec<_>>(),
            "services": engines.into_iter().chain(plain).collect::<Vec<_>>(),
            "limits": {"header_bytes": 16384, "body_bytes": BODY_BYTES, "header_timeout_ms": 3000,
                       "idle_timeout_ms": self.idle_timeout_ms},
            "tenants": tenants.collect::<Vec<_>>(),
        })
    }
}

/// Returns the services that may serve a class; the first one serves it unless a change moves it.
fn services_of(class: &RequestClass) -> [&'static str; 2] {
    if class.is_stream() {
        ENGINE_SERVICES
    } else {
        PLAIN_SERVICES
    }
}

/// Returns the time limit of a class in milliseconds.
fn limit_ms(class: &RequestClass) -> u64 {
    (class.limit * 1000.0) as u64
}
