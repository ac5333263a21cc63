//! Follows the objects of one kind in the platform's store.

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

/// Shortest pause after a failed call; half to all of it is waited.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Longest pause after failed calls; a store that is back must be heard of within a second or two.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(900);
/// Pause of the parts that leave it to the leading one to find the store again.
const NON_LEADER_RETRY_DELAY: Duration = Duration::from_secs(6);
/// Wait of the first watch after a failed call; a store that is back is heard of soon.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(200);
/// Failures of one page in a row after which a list is begun anew; its history may be gone by then.
const MAX_PAGE_FAILURES: u32 = 12;
/// Time beyond the wait of a watch after which its connection is taken to be dead.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// A kind of objects that is followed.
pub(crate) struct KindFeed {
    /// The kind.
    pub(crate) kind: ObjectKind,
    /// Its name in logs.
    pub(crate) part: &'static str,
    /// Rest after a change before the next call, which gathers what changes meanwhile.
    pub(crate) rest: Duration,
    /// Returns the longest time that the store may hold the next call.
    pub(crate) wait: Box<dyn Fn() -> Duration + Send + Sync>,
    /// Whether this part finds the store again for all parts.
    pub(crate) leads: bool,
    /// Wakes the follower to read the kind anew.
    pub(crate) wake: Arc<Notify>,
}

/// News of a kind of objects.
#[derive(Debug)]
pub(crate) enum KindUpdate {
    /// All objects, read anew.
    Listed(Vec<StoredObject>),
    /// A change.
    Changed(ObjectChange),
    /// Nothing changed until now.
    Confirmed,
    /// The store does not answer.
    Lost,
}

/// Follows a kind of objects for as long as the process runs.
pub(crate) async fn follow_kind(
    context: Arc<GatewayContext>,
    followed: KindFeed,
    apply_update: impl Fn(KindUpdate) + Send + Sync + 'static,
) {
    let KindFeed { kind, part, .. } = followed;
    let returns = context.store_recoveries.subscribe();
    let mut contact = StoreContact {
        context: context.clone(),
        part,
        leads: followed.leads,
        answers: true,
        pause: INITIAL_RETRY_DELAY,
        returns,
    };
    loop {
        let revision = match list_kind(&context, kind, &mut contact).await {
            Ok((objects, revision)) => {
                contact.note_reachable();
                apply_update(KindUpdate::Listed(objects));
                revision
            }
            Err(error) => {
                apply_update(KindUpdate::Lost);
                contact.lost(&error).await;
                continue;
            }
        };
        let mut revision = revision;
        while let ControlFlow::Continue(next) =
            watch_kind(&context, &followed, revision, &apply_update, &mut contact).await
        {
            revision = next;
        }
    }
}

/// Whether the store answers calls of one part, as far as the last one told.
struct StoreContact {
    context: Arc<GatewayContext>,
    part: &'static str,
    leads: bool,
    answers: bool,
    pause: Duration,
    returns: watch::Receiver<u64>,
}

impl StoreContact {
    /// Notes an answer.
    fn note_reachable(&mut self) {
        self.pause = INITIAL_RETRY_DELAY;
        if !self.answers {
            self.answers = true;
            if self.leads {
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
            self.returns.mark_unchanged();
        }
    }

    /// Waits until another part hears the store again. A call that this part waits for may hang on
    /// a connection that died with that part's.
    async fn recovered_elsewhere(&mut self) {
        // The sender lives as long as the process.
        let _ = self.returns.changed().await;
    }

    /// Notes a failed call and waits before the next one.
    async fn lost(&mut self, error: &StoreError) {
        if self.answers {
            self.answers = false;
            if self.leads {
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
        let waits_for_leader = !self.leads && !self.context.store_reachable.load(Ordering::Relaxed);
        let pause = if waits_for_leader {
            NON_LEADER_RETRY_DELAY
        } else {
            self.pause
        };
        // Hosts that failed together come back apart.
        let pause = pause.mul_f64(rand::rng().random_range(0.5..1.0));
        self.pause = (self.pause * 2).min(MAX_RETRY_DELAY);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.recovered_elsewhere() => self.pause = INITIAL_RETRY_DELAY,
        }
    }
}

/// Reads all objects of a kind and the revision to watch from. A page that fails is read again, not
/// those before it: hosts that start together may ask for more pages than the store allows.
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
                contact.lost(&error).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        failures = 0;
        let last = page.objects.last().map(|object| object.name.to_string());
        objects.extend(page.objects);
        // Changes made while later pages were read are seen again by the watch.
        let revision = *first_revision.get_or_insert(page.revision);
        if !page.has_more || last.is_none() {
            return Ok((objects, revision));
        }
        after = last;
    }
}

/// Waits for changes once; breaks if the kind has to be read anew.
async fn watch_kind(
    context: &GatewayContext,
    followed: &KindFeed,
    revision: u64,
    apply_update: &impl Fn(KindUpdate),
    contact: &mut StoreContact,
) -> ControlFlow<(), u64> {
    let wait = if contact.answers {
        (followed.wait)()
    } else {
        RECOVERY_WATCH_WAIT
    };
    let kind = followed.kind;
    let path = (context.format.query_path)(&ObjectQuery::Watch {
        kind,
        revision,
        wait,
    });
    let read = tokio::select! {
        read = context.store.read(&path, wait + WATCH_SLACK) => read,
        () = contact.recovered_elsewhere() => return ControlFlow::Continue(revision),
        () = followed.wake.notified() => return ControlFlow::Break(()),
    };
    let changes = read.and_then(|body| Ok((context.format.read_changes)(&body)?));
    match changes {
        Ok(changes) => {
            contact.note_reachable();
            let has_changes = !changes.changes.is_empty();
            for change in changes.changes {
                apply_update(KindUpdate::Changed(change));
            }
            apply_update(KindUpdate::Confirmed);
            if has_changes {
                // What changes meanwhile comes with one call.
                tokio::time::sleep(followed.rest).await;
            }
            ControlFlow::Continue(changes.revision.max(revision))
        }
        Err(StoreError::Status(StatusCode::GONE)) => ControlFlow::Break(()),
        Err(error) => {
            apply_update(KindUpdate::Lost);
            contact.lost(&error).await;
            ControlFlow::Continue(revision)
        }
    }
}
