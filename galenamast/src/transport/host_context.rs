//! What the parts of a running entry host share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;

use crate::config::Settings;
use crate::state::{ConfigImage, RouteTables};
use crate::transport::backend_client::BackendClient;
use crate::transport::http_client::HttpClient;
use crate::transport::object_client::{CallLimits, ObjectClient};
use crate::transport::timer_service::TimerService;

/// Shared parts of a running entry host.
#[derive(Debug)]
pub struct HostContext {
    /// Settings of the host.
    pub settings: Settings,
    /// Source of time.
    pub timers: TimerService,
    /// Configuration in force.
    pub image: ArcSwap<ConfigImage>,
    /// Tables that routing decisions read.
    pub tables: ArcSwap<RouteTables>,
    /// Client of the backend servers.
    pub backends: BackendClient,
    /// Client of the object API, if the settings name one.
    pub objects: Option<ObjectClient>,
    /// HTTP client of the other services of the platform.
    pub client: HttpClient,
    seeds: AtomicU64,
}

impl HostContext {
    /// Creates the context of a host that knows no configuration and no server yet.
    pub fn new(settings: Settings, timers: TimerService) -> Arc<Self> {
        let client = HttpClient::new();
        let objects = settings.platform.objects.map(|address| {
            let limits = CallLimits {
                call_timeout: settings.platform.call_timeout,
                calls_per_second: settings.platform.calls_per_second,
                ..Default::default()
            };
            ObjectClient::with_limits(client.clone(), address, limits, timers.clone())
        });
        let tables = RouteTables {
            domain: settings.host.domain.clone(),
            ..Default::default()
        };
        Arc::new(Self {
            timers,
            image: ArcSwap::from_pointee(ConfigImage::default()),
            tables: ArcSwap::from_pointee(tables),
            backends: BackendClient::new(client.clone()),
            objects,
            client,
            seeds: AtomicU64::new(rand::random()),
            settings,
        })
    }

    /// Returns the seed for the next random choice.
    pub fn next_seed(&self) -> u64 {
        self.seeds.fetch_add(1, Ordering::Relaxed)
    }
}
