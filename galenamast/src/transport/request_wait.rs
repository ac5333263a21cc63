//! Waits in the queue of a pool until a server may be free.

use std::sync::Arc;
use std::time::Duration;

use crate::coordination::{QueueEntry, QueueTicket, RequestEvent};
use crate::state::{PoolName, TimePoint};
use crate::transport::caller_request::RequestJob;
use crate::transport::host_context::HostContext;
use crate::transport::request_queue::WaitOutcome;

/// Upper bound of the retry time that is reported to a caller when servers are full.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The queue wait of one request; dropping it leaves the queue.
#[derive(Debug)]
pub struct RequestWait {
    context: Arc<HostContext>,
    job: Arc<RequestJob>,
    place: Option<QueuePlace>,
    ticket: Option<QueueTicket>,
    released: bool,
}

/// The pool that a request waits for, and the time when it is shed.
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
    /// Creates the state of a request that is not queued yet.
    pub fn new(context: Arc<HostContext>, job: Arc<RequestJob>) -> Self {
        Self {
            context,
            job,
            place: None,
            ticket: None,
            released: false,
        }
    }

    /// Joins the queue of a pool and returns a future of the outcome.
    ///
    /// A request that was released but found no server keeps its deadline, and its workspace is not
    /// charged for the release.
    pub fn join(&mut self, pool: PoolName) -> impl Future<Output = WaitOutcome> + Send + 'static {
        let previous = self.place.take().filter(|place| place.pool == pool);
        let rejoins = previous.is_some();
        let deadline = previous.map_or_else(|| self.deadline(&pool), |place| place.deadline);
        let entry = QueueEntry {
            ticket: QueueTicket::default(),
            pool: pool.clone(),
            workspace: self.job.route.workspace.clone(),
            weight: self.job.weight,
            priority: self.job.route.priority,
            deadline,
        };
        let queue = &self.context.queue;
        let (ticket, ended) = if rejoins {
            queue.rejoin(entry)
        } else {
            queue.join(entry)
        };
        self.place = Some(QueuePlace { pool, deadline });
        self.ticket = Some(ticket);
        let context = self.context.clone();
        async move {
            tokio::select! {
                outcome = ended => outcome.unwrap_or(WaitOutcome::Shed),
                () = context.timers.sleep_until(deadline) => {
                    context.queue.leave(ticket);
                    WaitOutcome::Shed
                }
            }
        }
    }

    /// Returns the latest time until which the request may wait and still meet its deadline.
    fn deadline(&self, pool: &PoolName) -> TimePoint {
        let context = &self.context;
        let longest = context.current_settings().routing.queue_timeout;
        let now = context.timers.now();
        context
            .queue
            .wait_deadline(pool, now, self.job.deadline, longest)
    }

    /// Records the outcome of the wait and returns the event for the state machine.
    pub fn handle_outcome(&mut self, outcome: WaitOutcome) -> RequestEvent {
        self.ticket = None;
        self.released = outcome == WaitOutcome::Released;
        match outcome {
            WaitOutcome::Released => RequestEvent::QueueReleased,
            WaitOutcome::Shed => RequestEvent::QueueExpired,
        }
    }

    /// Returns whether the request was released since the last call, and resets the flag.
    pub fn take_released(&mut self) -> bool {
        std::mem::take(&mut self.released)
    }

    /// Forgets the queue place once the request has been sent.
    pub fn forget_place(&mut self) {
        self.place = None;
    }

    /// Returns the expected wait in the queue that the request was in, up to `MAX_RETRY_AFTER`;
    /// `None` if it was in none or the pool's rate of answers is not known yet.
    pub fn expected_wait(&self) -> Option<Duration> {
        let place = self.place.as_ref()?;
        let expected = self.context.queue.expected_wait(&place.pool)?;
        Some(expected.min(MAX_RETRY_AFTER))
    }
}
