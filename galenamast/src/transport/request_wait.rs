//! The wait of one request for a free server.

use std::sync::Arc;
use std::time::Duration;

use crate::coordination::{QueueEntry, QueueTicket, RequestEvent};
use crate::state::{PoolName, TimePoint};
use crate::transport::caller_request::RequestJob;
use crate::transport::host_context::HostContext;
use crate::transport::request_queue::WaitOutcome;

/// Longest time after which a caller is told to try again because servers are full.
const LONGEST_RETRY: Duration = Duration::from_secs(60);

/// The wait of one request, which leaves the queue when dropped.
#[derive(Debug)]
pub struct RequestWait {
    context: Arc<HostContext>,
    job: Arc<RequestJob>,
    place: Option<QueuePlace>,
    ticket: Option<QueueTicket>,
    released: bool,
}

/// The pool that a request waits for, and until when.
#[derive(Debug)]
struct QueuePlace {
    pool: PoolName,
    deadline: TimePoint,
}

impl Drop for RequestWait {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.context.queue.leave(ticket);
        }
    }
}

impl RequestWait {
    /// Creates the wait of a request that does not wait yet.
    pub fn new(context: Arc<HostContext>, job: Arc<RequestJob>) -> Self {
        Self {
            context,
            job,
            place: None,
            ticket: None,
            released: false,
        }
    }

    /// Joins the queue of a pool and returns how the wait ends; a request that was let out and
    /// found no server keeps its place.
    pub fn join(&mut self, pool: PoolName) -> impl Future<Output = WaitOutcome> + Send + 'static {
        let kept = self.place.take().filter(|place| place.pool == pool);
        let returns = kept.is_some();
        let deadline = kept.map_or_else(|| self.deadline(&pool), |place| place.deadline);
        let entry = QueueEntry {
            ticket: QueueTicket::default(),
            pool: pool.clone(),
            workspace: self.job.route.workspace.clone(),
            weight: self.job.weight,
            priority: self.job.route.priority,
            deadline,
        };
        let queue = &self.context.queue;
        let (ticket, ended) = if returns {
            queue.rejoin(entry)
        } else {
            queue.join(entry)
        };
        self.place = Some(QueuePlace { pool, deadline });
        self.ticket = Some(ticket);
        let context = self.context.clone();
        async move {
            tokio::select! {
                end = ended => end.unwrap_or(WaitOutcome::Shed),
                () = context.timers.sleep_until(deadline) => {
                    context.queue.leave(ticket);
                    WaitOutcome::Shed
                }
            }
        }
    }

    /// Returns the time until which waiting is of use.
    fn deadline(&self, pool: &PoolName) -> TimePoint {
        let context = &self.context;
        let longest = context.current_settings().routing.queue_timeout;
        let now = context.timers.now();
        context
            .queue
            .wait_deadline(pool, now, self.job.deadline, longest)
    }

    /// Takes in how the wait ended.
    pub fn end(&mut self, end: WaitOutcome) -> RequestEvent {
        self.ticket = None;
        self.released = end == WaitOutcome::Released;
        match end {
            WaitOutcome::Released => RequestEvent::QueueReleased,
            WaitOutcome::Shed => RequestEvent::QueueExpired,
        }
    }

    /// Returns whether the request was let out since this was last asked.
    pub fn take_released(&mut self) -> bool {
        std::mem::take(&mut self.released)
    }

    /// Gives the place up because the request was sent.
    pub fn give_up_place(&mut self) {
        self.place = None;
    }

    /// Returns the time that the queue needs for those that wait where the request waited.
    pub fn expected(&self) -> Option<Duration> {
        let place = self.place.as_ref()?;
        let expected = self.context.queue.expected_wait(&place.pool)?;
        Some(expected.min(LONGEST_RETRY))
    }
}
