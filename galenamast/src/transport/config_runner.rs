//! Runs [`ConfigSync`]: watches the head, probes peers, fetches objects and swaps the image.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use log::Level;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;

use crate::coordination::config_documents::CONFIG_KIND;
use crate::coordination::{
    CallPriority, ConfigAction, ConfigEvent, ConfigSource, ConfigSync, ConfigSyncSettings,
    DomainProgress, EncodedObject, HeadDocument, ObjectDigest, ObjectKey, ObjectRecord,
    ObjectVersion, PeerScope, RetryBackoff,
};
use crate::logging::{log_fault, log_record};
use crate::protocol::{LogRecord, PeerReply, PeerRequest, ProtocolError, SoftState};
use crate::state::{ConfigGeneration, HostName, RouteTables, TimePoint};
use crate::transport::config_cleaner::run_cleaner;
use crate::transport::config_writer::{decode_head, head_key};
use crate::transport::host_context::HostContext;
use crate::transport::object_client::ObjectClient;
use crate::transport::peer_mesh::{PeerMesh, lock};
use crate::transport::peer_registry::run_registry;
use crate::transport::peer_runner::run_mesh;
use crate::transport::transport_error::TransportError;

/// Time between ticks of [`ConfigSync`].
const TICK_PERIOD: Duration = Duration::from_millis(250);
/// Time for which one watch waits for a change, which bounds how stale an unchanged head can be.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Maximum total size of the objects in one reply, in bytes.
const MAX_OBJECTS_BYTES: usize = 1_500_000;
/// Maximum number of objects that one request asks for.
const MAX_DIGESTS: usize = 1_000;
/// Delay before the head is watched again after a failed watch.
const WATCH_BACKOFF: RetryBackoff = RetryBackoff {
    initial_delay: Duration::from_millis(100),
    max_delay: Duration::from_secs(2),
};

/// Keeps the configuration of a running entry host current; clones share one state.
#[derive(Clone, Debug)]
pub struct ConfigRunner {
    shared: Arc<RunnerShared>,
}

/// State that the clones of a runner share.
#[derive(Debug)]
struct RunnerShared {
    context: Weak<HostContext>,
    mesh: PeerMesh,
    objects: Option<ObjectClient>,
    config_sync: Mutex<ConfigSync>,
    watching: AtomicBool,
    watch_changed: Notify,
}

impl ConfigRunner {
    /// Creates the runner of a host and registers its handlers for requests from other hosts.
    pub fn new(context: &Arc<HostContext>, mesh: &PeerMesh) -> Self {
        let settings = ConfigSyncSettings {
            watchers: context.settings.peers.watchers_per_domain as usize,
            ..Default::default()
        };
        let config_sync = ConfigSync::new(settings, mesh.members(), rand::random());
        let objects = context.objects.as_ref();
        let runner = Self {
            shared: Arc::new(RunnerShared {
                context: Arc::downgrade(context),
                mesh: mesh.clone(),
                objects: objects.map(|client| client.with_priority(CallPriority::Config)),
                config_sync: Mutex::new(config_sync),
                watching: AtomicBool::new(false),
                watch_changed: Notify::new(),
            }),
        };
        runner.register_handlers();
        runner
    }

    /// Returns which generations are in force in each failure domain, as far as this host knows.
    pub fn domain_progress(&self) -> Vec<DomainProgress> {
        let now = self.now();
        lock(&self.shared.config_sync).domain_progress(now)
    }

    /// Returns the generation in force on this host.
    pub fn generation(&self) -> ConfigGeneration {
        lock(&self.shared.config_sync).generation()
    }

    /// Returns the time since the generation in force was last confirmed to be the newest.
    pub fn age(&self) -> Duration {
        let now = self.now();
        lock(&self.shared.config_sync).age(now)
    }

    /// Returns whether this host watches the head on the platform on behalf of its failure domain.
    pub fn is_watching(&self) -> bool {
        self.shared.watching.load(Ordering::SeqCst)
    }

    /// Runs until the task is aborted.
    pub async fn run(self) {
        tokio::join!(self.run_ticks(), self.run_watch());
    }

    /// Returns the current time.
    fn now(&self) -> TimePoint {
        self.shared.mesh.shared.timers.now()
    }

    /// Registers the handlers for requests and generation announcements from other hosts.
    fn register_handlers(&self) {
        let runner = self.clone();
        self.shared.mesh.on_request(
            &(Arc::new(move |host: &HostName, request: &PeerRequest| {
                let reply = runner.answer(host, request)?;
                let reply: futures_util::future::BoxFuture<'static, PeerReply> =
                    Box::pin(std::future::ready(reply));
                Some(reply)
            }) as Arc<_>),
        );
        let runner = self.clone();
        self.shared.mesh.on_soft_state(
            &(Arc::new(move |host: &HostName, state: &SoftState| {
                #[allow(irrefutable_let_patterns, reason = "other parts add variants")]
                if let SoftState::GenerationAdopted(generation) = state {
                    runner.dispatch(ConfigEvent::GenerationAnnounced(host.clone(), *generation));
                }
            }) as Arc<_>),
        );
    }

    /// Answers a request about the configuration; returns `None` for any other request.
    fn answer(&self, host: &HostName, request: &PeerRequest) -> Option<PeerReply> {
        let now = self.now();
        let mut config_sync = lock(&self.shared.config_sync);
        match request {
            PeerRequest::ProbeConfig(probe) => {
                let notice = config_sync.answer_probe(host, probe, now);
                Some(PeerReply::ConfigNotice(notice))
            }
            PeerRequest::ReadEntries { since } => {
                Some(PeerReply::ConfigEntries(config_sync.answer_entries(*since)))
            }
            PeerRequest::ReadObjects { digests } => {
                let objects = config_sync.answer_objects(digests, MAX_OBJECTS_BYTES);
                Some(PeerReply::ConfigObjects(objects))
            }
            #[allow(unreachable_patterns, reason = "other parts add variants")]
            _ => None,
        }
    }

    /// Passes the member table and ticks to [`ConfigSync`] and publishes the configuration age.
    async fn run_ticks(&self) {
        let mut ticks = self.shared.mesh.shared.timers.subscribe(TICK_PERIOD);
        loop {
            self.dispatch(ConfigEvent::Members(self.shared.mesh.members()));
            self.dispatch(ConfigEvent::Tick);
            self.publish_age();
            ticks.tick().await;
        }
    }

    /// Publishes the configuration age, plus one tick period so that it holds until the next tick.
    fn publish_age(&self) {
        let Some(context) = self.shared.context.upgrade() else {
            return;
        };
        let config_age = self.age().saturating_add(TICK_PERIOD);
        context.tables.rcu(|tables| RouteTables {
            config_age,
            ..RouteTables::clone(tables)
        });
    }

    /// Passes an event to [`ConfigSync`] and performs the resulting actions.
    fn dispatch(&self, event: ConfigEvent) {
        let now = self.now();
        let actions = lock(&self.shared.config_sync).handle(event, now);
        for action in actions {
            self.perform(action);
        }
    }

    /// Performs one action; actions that call the network run in tasks of their own.
    fn perform(&self, action: ConfigAction) {
        match action {
            ConfigAction::Watch(watching) => {
                self.shared.watching.store(watching, Ordering::SeqCst);
                self.shared.watch_changed.notify_one();
            }
            ConfigAction::ReadHead => self.spawn(|runner| async move { runner.read_head().await }),
            ConfigAction::Probe(host, probe) => self.spawn(|runner| async move {
                let sent = runner.now();
                let request = PeerRequest::ProbeConfig(probe);
                let event = match runner.shared.mesh.request(&host, request).await {
                    Ok(PeerReply::ConfigNotice(notice)) => ConfigEvent::Probed(host, notice, sent),
                    _ => ConfigEvent::ProbeFailed(host),
                };
                runner.dispatch(event);
            }),
            ConfigAction::FetchEntries(host, since) => self.spawn(move |runner| async move {
                let request = PeerRequest::ReadEntries { since };
                let event = match runner.shared.mesh.request(&host, request).await {
                    Ok(PeerReply::ConfigEntries(entries)) => {
                        ConfigEvent::EntriesArrived(host, entries)
                    }
                    _ => ConfigEvent::FetchFailed(ConfigSource::Peer(host)),
                };
                runner.dispatch(event);
            }),
            ConfigAction::FetchObjects(source, digests) => self.spawn(|runner| async move {
                let event = match runner.fetch(&source, digests).await {
                    Ok(objects) => ConfigEvent::ObjectsArrived(source, objects),
                    Err(error) => {
                        log_fault("config", &error);
                        ConfigEvent::FetchFailed(source)
                    }
                };
                runner.dispatch(event);
            }),
            ConfigAction::Adopt(image) => {
                let generation = image.generation;
                if let Some(context) = self.shared.context.upgrade() {
                    context.image.store(image);
                }
                log_record(Level::Info, &LogRecord::ConfigAdopted { generation });
            }
            ConfigAction::Announce(generation) => {
                let state = SoftState::GenerationAdopted(generation);
                if let Err(error) = self.shared.mesh.broadcast(PeerScope::Fleet, &state) {
                    log_fault("config", &error);
                }
                self.publish_age();
            }
            ConfigAction::ReportRegression(offered) => {
                let current = self.generation();
                let record = LogRecord::ConfigRegressed { offered, current };
                log_record(Level::Error, &record);
            }
            ConfigAction::ReportInvalid(generation, errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                let message = format!("generation {generation} is invalid: {}", texts.join("; "));
                log_fault("config", &message);
            }
        }
    }

    /// Runs a network call in its own task.
    fn spawn<F>(&self, call: impl FnOnce(Self) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(call(self.clone()));
    }

    /// Fetches at most [`MAX_DIGESTS`] objects from another host or the platform.
    async fn fetch(
        &self,
        source: &ConfigSource,
        mut digests: Vec<ObjectDigest>,
    ) -> Result<Vec<EncodedObject>, TransportError> {
        digests.truncate(MAX_DIGESTS);
        match source {
            ConfigSource::Peer(host) => {
                let request = PeerRequest::ReadObjects { digests };
                match self.shared.mesh.request(host, request).await? {
                    PeerReply::ConfigObjects(objects) => Ok(objects),
                    _ => Ok(Vec::new()),
                }
            }
            ConfigSource::Platform => {
                let client = self.shared.objects.as_ref();
                let client = client.ok_or(TransportError::MissingSetting {
                    section: "platform",
                    name: "objects",
                })?;
                let mut objects = Vec::with_capacity(digests.len());
                for digest in digests {
                    let key = ObjectKey::new(CONFIG_KIND, &digest.0);
                    if let Some(record) = client.read(&key).await? {
                        objects.push(decode_value("configuration object", record)?);
                    }
                }
                Ok(objects)
            }
        }
    }

    /// Reads the head from the platform once.
    async fn read_head(&self) {
        let Some(client) = &self.shared.objects else {
            return;
        };
        let sent = self.now();
        match client.read(&head_key()).await {
            Ok(Some(record)) => self.handle_head(record, sent),
            Ok(None) => {}
            Err(error) => log_fault("config", &error),
        }
    }

    /// Passes a head that was read to [`ConfigSync`]; `confirmed` is when the read was sent.
    fn handle_head(&self, record: ObjectRecord, confirmed: TimePoint) {
        match decode_head(record) {
            Ok(HeadDocument {
                generation,
                entries,
                ..
            }) => self.dispatch(ConfigEvent::HeadRead {
                generation,
                entries,
                confirmed,
            }),
            Err(error) => log_fault("config", &error),
        }
    }

    /// Watches the head on the platform while [`ConfigSync`] asks for it.
    async fn run_watch(&self) {
        let Some(client) = self.shared.objects.clone() else {
            return;
        };
        let timers = &self.shared.mesh.shared.timers;
        let mut after = ObjectVersion::default();
        let mut generation = ConfigGeneration::default();
        let mut failures = 0;
        loop {
            if !self.is_watching() {
                self.shared.watch_changed.notified().await;
                after = ObjectVersion::default();
                continue;
            }
            let sent = self.now();
            match client.watch(&head_key(), after, WATCH_WAIT).await {
                Ok(Some(record)) => {
                    failures = 0;
                    after = record.version;
                    generation = generation_of(&record);
                    self.handle_head(record, sent);
                }
                Ok(None) => {
                    failures = 0;
                    let ended = sent + WATCH_WAIT;
                    // An early answer confirms the head only for the time of the request.
                    let confirmed = if self.now() >= ended { ended } else { sent };
                    let event = ConfigEvent::HeadUnchanged {
                        generation,
                        confirmed,
                    };
                    self.dispatch(event);
                }
                Err(error) => {
                    log_fault("config", &error);
                    let delay = WATCH_BACKOFF.delay(failures, &mut rand::rng());
                    failures = (failures + 1).min(16);
                    timers.sleep(delay).await;
                }
            }
        }
    }
}

/// Returns the generation of a head that was read; the default one if the head is malformed.
fn generation_of(record: &ObjectRecord) -> ConfigGeneration {
    let generation = record.value.get("generation");
    let generation = generation.and_then(serde_json::Value::as_u64);
    ConfigGeneration(generation.unwrap_or_default())
}

/// Decodes the value of an object.
fn decode_value<T: DeserializeOwned>(
    what: &'static str,
    record: ObjectRecord,
) -> Result<T, ProtocolError> {
    serde_json::from_value(record.value).map_err(|source| ProtocolError::Json { what, source })
}

/// Starts the tasks of a host for its peers, its configuration and the host objects.
///
/// # Errors
///
/// Returns an error if the socket for peers cannot be opened.
pub fn start_peer_tasks(
    context: &Arc<HostContext>,
) -> Result<Vec<tokio::task::JoinHandle<()>>, TransportError> {
    let (mesh, events) = PeerMesh::open(&context.settings, &context.timers)?;
    let runner = ConfigRunner::new(context, &mesh);
    let _ = context.peers.set(mesh.clone());
    let _ = context.config.set(runner.clone());
    let peers = context.settings.peers.clone();
    let mut tasks = vec![
        tokio::spawn(run_mesh(mesh.clone(), events, peers)),
        tokio::spawn(runner.run()),
    ];
    if let Some(objects) = &context.objects {
        tasks.push(tokio::spawn(run_registry(mesh.clone(), objects.clone())));
        tasks.push(tokio::spawn(run_cleaner(mesh, objects.clone())));
    }
    Ok(tasks)
}
