//! Follows the objects of one kind in the platform's store, by a list and then a series of watches.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use log::Level;
use rand::Rng;
use tokio::sync::{Notify, watch};

use crate::protocol::{GatewayRecord, ObjectChange, ObjectKind, ObjectQuery, StoredObject};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;
use crate::transport::store_client::StoreError;

/// Delay after the first failed call. All delays here are reduced by a random part of up to half.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Longest delay after failed calls; a recovered store must be noticed within a second or two.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(900);
/// Delay of the other followers while the leading one fails; they rely on it to reach the store.
const NON_LEADER_RETRY_DELAY: Duration = Duration::from_secs(6);
/// Wait of the first watch after a failed call; short, so that a recovered store is noticed soon.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(200);
/// Consecutive failures of one page after which a list starts over; the history of changes since
/// its first page may be gone by then.
const MAX_PAGE_FAILURES: u32 = 12;
/// Time beyond the wait of a watch after which its connection is considered dead.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// A kind of objects to follow, and how.
pub(crate) struct KindFeed {
    /// Kind of the objects.
    pub(crate) kind: ObjectKind,
    /// Name of the kind in logs.
    pub(crate) part: &'static str,
    /// Pause after a change before the next watch, which then returns all changes made meanwhile.
    pub(crate) settle_delay: Duration,
    /// Returns the longest time that the store may hold the next watch.
    pub(crate) wait: Box<dyn Fn() -> Duration + Send + Sync>,
    /// Whether this follower retries quickly on behalf of all followers while the store fails.
    pub(crate) is_leader: bool,
    /// Notified to have the follower list the kind again.
    pub(crate) relist: Arc<Notify>,
}

/// An update about a kind of objects.
#[derive(Debug)]
pub(crate) enum KindUpdate {
    /// All objects, as listed.
    Listed(Vec<StoredObject>),
    /// One object changed or was removed.
    Changed(ObjectChange),
    /// All changes until now have been delivered.
    Confirmed,
    /// A call to the store failed.
    Lost,
}

/// Follows a kind of objects until the task is dropped, and passes each update to `apply_update`.
pub(crate) async fn follow_kind(
    context: Arc<GatewayContext>,
    feed: KindFeed,
    apply_update: impl Fn(KindUpdate) + Send + Sync + 'static,
) {
    let KindFeed { kind, part, .. } = feed;
    let store_recoveries = context.store_recoveries.subscribe();
    let mut contact = StoreContact {
        context: context.clone(),
        part,
        is_leader: feed.is_leader,
        is_reachable: true,
        retry_delay: INITIAL_RETRY_DELAY,
        store_recoveries,
    };
    loop {
        let revision = match list_kind(&context, kind, &mut contact).await {
            Ok((objects, revision)) => {
                contact.record_success();
                apply_update(KindUpdate::Listed(objects));
                revision
            }
            Err(error) => {
                apply_update(KindUpdate::Lost);
                contact.record_failure(&error).await;
                continue;
            }
        };
        let mut revision = revision;
        while let ControlFlow::Continue(next) =
            watch_kind(&context, &feed, revision, &apply_update, &mut contact).await
        {
            revision = next;
        }
    }
}

/// Whether the store responded to the last call of one follower.
struct StoreContact {
    context: Arc<GatewayContext>,
    part: &'static str,
    is_leader: bool,
    is_reachable: bool,
    retry_delay: Duration,
    store_recoveries: watch::Receiver<u64>,
}

impl StoreContact {
    /// Records a successful call; wakes the other followers if the previous call had failed.
    fn record_success(&mut self) {
        self.retry_delay = INITIAL_RETRY_DELAY;
        if !self.is_reachable {
            self.is_reachable = true;
            if self.is_leader {
                self.context.store_reachable.store(true, Ordering::Relaxed);
            }
            let record = GatewayRecord::StoreContact {
                part: self.part,
                answers: true,
                reason: String::new(),
            };
            log_record(Level::Info, &record);
            self.context
                .store_recoveries
                .send_modify(|count| *count += 1);
            self.store_recoveries.mark_unchanged();
        }
    }

    /// Waits until another follower reaches the store again. A pending call of this one may hang on
    /// a connection that died at the same time as that follower's.
    async fn recovered_elsewhere(&mut self) {
        // The sender is never dropped.
        let _ = self.store_recoveries.changed().await;
    }

    /// Records a failed call and waits before the next one.
    async fn record_failure(&mut self, error: &StoreError) {
        if self.is_reachable {
            self.is_reachable = false;
            if self.is_leader {
                self.context.store_reachable.store(false, Ordering::Relaxed);
            }
            let reason = error.to_string();
            let record = GatewayRecord::StoreContact {
                part: self.part,
                answers: false,
                reason,
            };
            log_record(Level::Warn, &record);
        }
        let waits_for_leader =
            !self.is_leader && !self.context.store_reachable.load(Ordering::Relaxed);
        let retry_delay = if waits_for_leader {
            NON_LEADER_RETRY_DELAY
        } else {
            self.retry_delay
        };
        // Hosts that failed at the same time retry at different times.
        let retry_delay = retry_delay.mul_f64(rand::rng().random_range(0.5..1.0));
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        tokio::select! {
            () = tokio::time::sleep(retry_delay) => {}
            () = self.recovered_elsewhere() => self.retry_delay = INITIAL_RETRY_DELAY,
        }
    }
}

/// Lists all objects of a kind and returns them with the revision to watch from.
///
/// A page that fails is read again without those before it: hosts that start at the same time may
/// request more pages than the store allows.
async fn list_kind(
    context: &GatewayContext,
    kind: ObjectKind,
    contact: &mut StoreContact,
) -> Result<(Vec<StoredObject>, u64), StoreError> {
    let (mut objects, mut first_revision, mut after) = (Vec::new(), None, None);
    let mut failures = 0;
    loop {
        let query = ObjectQuery::List {
            kind,
            after: after.clone(),
            stale: false,
        };
        let path = (context.format.query_path)(&query);
        let read = context.store.read(&path, context.settings.store_timeout);
        let page = match read.await {
            Ok(body) => (context.format.read_page)(&body)?,
            Err(error) if first_revision.is_some() && failures < MAX_PAGE_FAILURES => {
                failures += 1;
                contact.record_failure(&error).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        failures = 0;
        let last = page.objects.last().map(|object| object.name.to_string());
        objects.extend(page.objects);
        // The watch returns changes made while later pages were read.
        let revision = *first_revision.get_or_insert(page.revision);
        if !page.has_more || last.is_none() {
            return Ok((objects, revision));
        }
        after = last;
    }
}

/// Makes one watch and returns the revision to go on from; breaks if the kind must be listed again.
async fn watch_kind(
    context: &GatewayContext,
    feed: &KindFeed,
    revision: u64,
    apply_update: &impl Fn(KindUpdate),
    contact: &mut StoreContact,
) -> ControlFlow<(), u64> {
    let wait = if contact.is_reachable {
        (feed.wait)()
    } else {
        RECOVERY_WATCH_WAIT
    };
    let kind = feed.kind;
    let path = (context.format.query_path)(&ObjectQuery::Watch {
        kind,
        revision,
        wait,
    });
    let read = tokio::select! {
        read = context.store.read(&path, wait + WATCH_SLACK) => read,
        () = contact.recovered_elsewhere() => return ControlFlow::Continue(revision),
        () = feed.relist.notified() => return ControlFlow::Break(()),
    };
    let changes = read.and_then(|body| Ok((context.format.read_changes)(&body)?));
    match changes {
        Ok(changes) => {
            contact.record_success();
            let has_changes = !changes.changes.is_empty();
            for change in changes.changes {
                apply_update(KindUpdate::Changed(change));
            }
            apply_update(KindUpdate::Confirmed);
            if has_changes {
                // The next watch returns everything that changes meanwhile.
                tokio::time::sleep(feed.settle_delay).await;
            }
            ControlFlow::Continue(changes.revision.max(revision))
        }
        Err(StoreError::Status(StatusCode::GONE)) => ControlFlow::Break(()),
        Err(error) => {
            apply_update(KindUpdate::Lost);
            contact.record_failure(&error).await;
            ControlFlow::Continue(revision)
        }
    }
}
