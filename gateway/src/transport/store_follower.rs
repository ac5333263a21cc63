//! Follows the objects of one kind in the platform's store, by a list and then a series of watches.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use log::Level;
use rand::Rng;
use tokio::sync::{mpsc, watch};

use crate::protocol::{GatewayRecord, ObjectChange, ObjectChanges, ObjectQuery, StoredObject};
use crate::state::{FollowedKind, StorePosition};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::kind_reads::ReadRequest;
use crate::transport::object_reads::{self, read_page};
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
/// Wait of a watch. Its connection may break unnoticed for as long; a confirmation notices that a
/// change did not arrive.
const WATCH_WAIT: Duration = Duration::from_secs(28);
/// Wait of a read of the changes until now.
const IMMEDIATE_WAIT: Duration = Duration::from_millis(1);
/// Time beyond the wait of a watch after which its connection is considered dead.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// Time by which the lists of two hosts are apart on average after the store returned from a copy.
const RESTORED_LIST_SPREAD_PER_HOST: Duration = Duration::from_millis(5);
/// Longest such time in all, as a fraction of the time within which a change must be applied.
const MAX_RESTORED_LIST_SPREAD: f64 = 0.4;

/// A kind of objects to follow, and how.
pub(crate) struct KindFeed {
    /// Kind of the objects.
    pub(crate) kind: FollowedKind,
    /// Name of the kind in logs.
    pub(crate) part: &'static str,
    /// Pause after a change before the next watch, which then returns all changes made meanwhile.
    pub(crate) settle_delay: Duration,
    /// Whether this follower retries quickly on behalf of all followers while the store fails.
    pub(crate) is_leader: bool,
}

/// An update about a kind of objects.
#[derive(Debug)]
pub(crate) enum KindUpdate {
    /// All objects, as listed at a position.
    Listed(Vec<StoredObject>, StorePosition),
    /// All objects, as listed at a position after the store returned from an older copy.
    Restored(Vec<StoredObject>, StorePosition),
    /// One object changed or was removed.
    Changed(ObjectChange),
}

/// Follows a kind of objects until the task is dropped, and passes each update to `apply_update`.
///
/// Lists and watches may return stale data, which is cheaper; `store_confirmer` requests a read of
/// current data where it matters.
pub(crate) async fn follow_kind(
    context: Arc<GatewayContext>,
    feed: KindFeed,
    apply_update: impl Fn(KindUpdate) + Send + Sync + 'static,
) {
    let Some(requests) = context.kind_reads.take_receiver(feed.kind) else {
        return;
    };
    let contact = StoreContact {
        context: context.clone(),
        part: feed.part,
        is_leader: feed.is_leader,
        is_reachable: true,
        retry_delay: INITIAL_RETRY_DELAY,
        store_recoveries: context.store_recoveries.subscribe(),
    };
    let mut follower = KindFollower {
        context,
        feed,
        contact,
        requests,
        next_request: None,
        unanswered: Vec::new(),
        unreadable_watches: 0,
        apply_update,
    };
    // Only the first list may be stale: one after status 410 may name a lost revision again.
    let mut stale = true;
    let mut era = None;
    loop {
        let mut position = follower.list(std::mem::take(&mut stale), era).await;
        era = Some(position.era);
        while let ControlFlow::Continue(next) = follower.watch(position).await {
            position = next;
        }
    }
}

/// Follows one kind of objects.
struct KindFollower<F> {
    context: Arc<GatewayContext>,
    feed: KindFeed,
    contact: StoreContact,
    requests: mpsc::UnboundedReceiver<ReadRequest>,
    // A request that ended the wait after a failed call.
    next_request: Option<ReadRequest>,
    // Requests whose read could not be read; the list that takes its place answers them.
    unanswered: Vec<ReadRequest>,
    // Watches in a row that could not be read.
    unreadable_watches: u32,
    apply_update: F,
}

impl<F: Fn(KindUpdate)> KindFollower<F> {
    /// Lists the kind until that succeeds, and returns the position to watch from. `last_era` is the
    /// era of the last list, if there was one.
    async fn list(&mut self, stale: bool, last_era: Option<u64>) -> StorePosition {
        let kind = self.feed.kind;
        if last_era.is_some_and(|last_era| self.context.store.era() > last_era) {
            self.wait_for_turn().await;
        }
        loop {
            match list_kind(&self.context, kind, stale, &mut self.contact).await {
                Ok((objects, position)) => {
                    self.contact.record_success();
                    match last_era.filter(|last_era| position.era > *last_era) {
                        Some(last_era) => {
                            self.log_restored(last_era, position.era);
                            (self.apply_update)(KindUpdate::Restored(objects, position));
                        }
                        None => (self.apply_update)(KindUpdate::Listed(objects, position)),
                    }
                    self.context.freshness().record_listed(kind, position);
                    self.context.kind_listed.notify_one();
                    answer(self.unanswered.drain(..));
                    return position;
                }
                Err(error) => self.contact.record_failure(&error).await,
            }
        }
    }

    /// Waits a random time, so that the hosts do not all list at once when the store returns from a
    /// copy.
    async fn wait_for_turn(&self) {
        let hosts = u32::try_from(self.context.peers().len()).unwrap_or(u32::MAX);
        let bound = self.context.settings.configuration_bound;
        let longest = RESTORED_LIST_SPREAD_PER_HOST
            .saturating_mul(hosts)
            .min(bound.mul_f64(MAX_RESTORED_LIST_SPREAD));
        let part = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(longest.mul_f64(part)).await;
    }

    /// Logs that the kind was listed after the store returned from an older copy.
    fn log_restored(&self, from_era: u64, to_era: u64) {
        self.context.metrics.increment("store_returns_total");
        let record = GatewayRecord::StoreRestored {
            part: self.feed.part,
            from_era,
            to_era,
        };
        log_record(Level::Warn, &record);
    }

    /// Makes one watch and returns the position to go on from; breaks if the kind must be listed
    /// again.
    async fn watch(&mut self, revision: StorePosition) -> ControlFlow<(), StorePosition> {
        if let Some(request) = self.next_request.take() {
            return self.read_now(revision, request).await;
        }
        let wait = if self.contact.is_reachable {
            WATCH_WAIT
        } else {
            RECOVERY_WATCH_WAIT
        };
        let started_at = self.context.now();
        let read = tokio::select! {
            read = read_changes(&self.context, self.feed.kind, revision, wait, true) => read,
            Some(request) = self.requests.recv() => return self.read_now(revision, request).await,
            () = self.contact.recovered_elsewhere() => return ControlFlow::Continue(revision),
            _ = self.context.store.later_era(revision.era) => return ControlFlow::Break(()),
        };
        let has_changes = matches!(&read, Ok(changes) if !changes.changes.is_empty());
        let returned_early = read.is_ok() && self.context.now().since(started_at) < wait / 2;
        let next = self.apply_changes(revision, read).await?;
        // The next watch returns everything that changes meanwhile. A watch that returns early
        // without changes is answered from data older than `revision`.
        if has_changes || returned_early {
            return self.settle(next).await;
        }
        ControlFlow::Continue(next)
    }

    /// Pauses after a change, unless a read is requested.
    async fn settle(&mut self, revision: StorePosition) -> ControlFlow<(), StorePosition> {
        let request = tokio::select! {
            () = tokio::time::sleep(self.feed.settle_delay) => None,
            request = self.requests.recv() => request,
        };
        match request {
            Some(request) => self.read_now(revision, request).await,
            None => ControlFlow::Continue(revision),
        }
    }

    /// Reads what changed since `revision`, once for all requests.
    async fn read_now(
        &mut self,
        revision: StorePosition,
        request: ReadRequest,
    ) -> ControlFlow<(), StorePosition> {
        let mut requests = vec![request];
        while let Ok(request) = self.requests.try_recv() {
            requests.push(request);
        }
        let stale = requests.iter().all(|request| request.stale);
        let (kind, started_at) = (self.feed.kind, self.context.now());
        let read = read_changes(&self.context, kind, revision, IMMEDIATE_WAIT, stale).await;
        match &read {
            Ok(_) => {}
            Err(error) if error.is_unreadable() => self.unanswered.append(&mut requests),
            Err(_) => requests.clear(),
        }
        let next = self.apply_changes(revision, read).await?;
        if !stale && !requests.is_empty() {
            self.context.freshness().record_read(kind, started_at);
        }
        answer(requests);
        ControlFlow::Continue(next)
    }

    /// Applies the changes that a call returned, or waits after its failure.
    async fn apply_changes(
        &mut self,
        revision: StorePosition,
        read: Result<ObjectChanges, StoreError>,
    ) -> ControlFlow<(), StorePosition> {
        match read {
            Ok(changes) => {
                self.contact.record_success();
                self.unreadable_watches = 0;
                let revisions: Vec<StorePosition> = changes
                    .changes
                    .iter()
                    .map(|change| change.object.revision)
                    .collect();
                for change in changes.changes {
                    (self.apply_update)(KindUpdate::Changed(change));
                }
                let kind = self.feed.kind;
                self.context
                    .freshness()
                    .record_changes(kind, revisions, changes.revision);
                ControlFlow::Continue(changes.revision.max(revision))
            }
            Err(StoreError::Status(StatusCode::GONE) | StoreError::EraChanged(_)) => {
                ControlFlow::Break(())
            }
            Err(error) if error.is_unreadable() => {
                self.record_unreadable(&error).await;
                ControlFlow::Break(())
            }
            Err(error) => {
                // Whoever requests a read has just reached the store.
                tokio::select! {
                    () = self.contact.record_failure(&error) => {}
                    request = self.requests.recv() => self.next_request = request,
                }
                ControlFlow::Continue(revision)
            }
        }
    }

    /// Records a watch whose response cannot be read, and waits before the list that takes its place,
    /// unless it is the first one in a row.
    async fn record_unreadable(&mut self, error: &StoreError) {
        self.context.metrics.increment("watches_unreadable_total");
        if self.unreadable_watches == 0 {
            let record = GatewayRecord::Fault {
                part: self.feed.part,
                message: format!("the changes cannot be read and are listed instead: {error}"),
            };
            log_record(Level::Warn, &record);
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        let delay = list_delay(self.unreadable_watches).mul_f64(jitter);
        self.unreadable_watches = self.unreadable_watches.saturating_add(1);
        tokio::time::sleep(delay).await;
    }
}

/// Tells requesters that the changes are applied.
fn answer(requests: impl IntoIterator<Item = ReadRequest>) {
    for request in requests {
        // The requester may have stopped waiting.
        let _ = request.done.send(());
    }
}

/// Returns the delay before a list that takes the place of an unreadable watch, after a number of such
/// watches in a row.
fn list_delay(earlier_watches: u32) -> Duration {
    match earlier_watches {
        0 => Duration::ZERO,
        count => INITIAL_RETRY_DELAY
            .saturating_mul(1_u32.checked_shl(count - 1).unwrap_or(u32::MAX))
            .min(MAX_RETRY_DELAY),
    }
}

/// Reads the changes of a kind since a revision; the store answers after `wait` at the latest.
async fn read_changes(
    context: &GatewayContext,
    kind: FollowedKind,
    revision: StorePosition,
    wait: Duration,
    stale: bool,
) -> Result<ObjectChanges, StoreError> {
    let path = (context.format.query_path)(&ObjectQuery::Watch {
        kind: kind.into(),
        revision,
        wait,
        stale,
    });
    let response = context.store.watch(&path, wait + WATCH_SLACK).await?;
    // The store may have given out the revision again for another change.
    if response.era != revision.era {
        return Err(StoreError::EraChanged(response.era));
    }
    Ok(object_reads::read_changes(context, kind.into(), &response)?)
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

/// Lists all objects of a kind and returns them with the revision to watch from, the lowest of its
/// pages.
///
/// A page that fails is read again without those before it: hosts that start at the same time may
/// request more pages than the store allows.
async fn list_kind(
    context: &GatewayContext,
    kind: FollowedKind,
    stale: bool,
    contact: &mut StoreContact,
) -> Result<(Vec<StoredObject>, StorePosition), StoreError> {
    let (mut objects, mut after) = (Vec::new(), None);
    let mut lowest_revision: Option<StorePosition> = None;
    let mut failures = 0;
    loop {
        let query = ObjectQuery::List {
            kind: kind.into(),
            after: after.clone(),
            stale,
        };
        let path = (context.format.query_path)(&query);
        let read = context.store.read(&path, context.settings.store_timeout);
        let page = match read.await {
            Ok(response) => read_page(context, kind.into(), &response)?,
            Err(error) if lowest_revision.is_some() && failures < MAX_PAGE_FAILURES => {
                failures += 1;
                contact.record_failure(&error).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        failures = 0;
        if lowest_revision.is_some_and(|lowest| lowest.era != page.revision.era) {
            return Err(StoreError::EraChanged(page.revision.era));
        }
        let last = page.objects.last().map(|object| object.name.to_string());
        objects.extend(page.objects);
        // The watch returns changes made while the pages were read.
        let revision = lowest_revision.map_or(page.revision, |lowest| lowest.min(page.revision));
        lowest_revision = Some(revision);
        if !page.has_more || last.is_none() {
            return Ok((objects, revision));
        }
        after = last;
    }
}
