//! Callers that send requests continuously while hosts fail.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use galenamast_testbed::{Caller, CallerReply, DeploymentOptions};
use http::Method;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Pause between two calls of one caller.
const CALL_GAP: Duration = Duration::from_millis(20);
/// Time after which a test fails because a call has not ended.
const CALL_TIMEOUT: Duration = Duration::from_secs(45);

/// Kind of request that a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A chat request with an unstreamed answer.
    Chat,
    /// A chat request with a streamed answer.
    Stream,
    /// A non-idempotent call of a plain service, protected by an idempotency key.
    Claim,
}

/// A call and its reply.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) kind: CallKind,
    /// Prompt of a chat or stream; idempotency key of a claim.
    pub(crate) key: String,
    pub(crate) sent: Instant,
    /// Reply of the host; `None` if the connection broke.
    pub(crate) reply: Option<CallerReply>,
}

impl Call {
    /// Sends a call and reads its reply; panics after `CALL_TIMEOUT`.
    pub(crate) async fn make(site: &CallSite, kind: CallKind, key: &str, host: SocketAddr) -> Self {
        let sent = Instant::now();
        let reply = tokio::time::timeout(CALL_TIMEOUT, site.send(kind, key, host)).await;
        Self {
            kind,
            key: key.into(),

            sent,
            reply: reply.expect("the call ends within CALL_TIMEOUT"),
        }
    }

    /// Returns whether the caller got a complete successful answer.
    pub(crate) fn is_answered(&self) -> bool {
        let Some(reply) = &self.reply else {
            return false;
        };
        let is_complete = self.kind != CallKind::Stream || reply.ended();
        reply.status == 200 && reply.body.is_some() && is_complete
    }

    /// Returns whether the reply says that the request did not run.
    pub(crate) fn is_refused(&self) -> bool {
        let run = self.reply.as_ref().map(|reply| reply.json()["run"].clone());
        run == Some(json!("not_run"))
    }

    /// Returns a header of the reply.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.reply.as_ref()?.header(name)
    }

    /// Returns the name of the version that answered, without its model.
    pub(crate) fn version(&self) -> Option<&str> {
        let version = self.header("x-version")?;
        Some(version.rsplit_once('@').map_or(version, |(_, name)| name))
    }
}

/// A caller and the plain service that it calls.
#[derive(Clone, Debug)]
pub(crate) struct CallSite {
    pub(crate) caller: Caller,
    pub(crate) service: String,
}

impl CallSite {
    /// Returns a caller of the deployment's first workspace.
    pub(crate) fn of(options: &DeploymentOptions) -> Self {
        Self {
            caller: Caller::new(&options.workspaces[0]),
            service: options.service_pool.clone(),
        }
    }

    /// Sends one request; returns `None` if the connection broke.
    async fn send(&self, kind: CallKind, key: &str, host: SocketAddr) -> Option<CallerReply> {
        let caller = &self.caller;
        let reply = match kind {
            CallKind::Chat => caller.chat(host, key, &[]).await,
            CallKind::Stream => caller.stream(host, key, &[]).await,
            CallKind::Claim => {
                let path = format!("/svc/{}/deposit", self.service);
                let body = json!({ "entry": key });
                let headers = [("idempotency-key", key), ("x-deadline-ms", "5000")];
                caller
                    .send(Method::POST, host, &path, Some(&body), &headers)
                    .await
            }
        };
        reply.ok()
    }
}

/// Concurrent callers that call a list of entry hosts round-robin until they are stopped.
#[derive(Debug)]
pub(crate) struct Traffic {
    targets: Arc<Mutex<Vec<SocketAddr>>>,
    calls: Arc<Mutex<Vec<Call>>>,
    stopping: CancellationToken,
    callers: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts two callers for each kind of call.
    pub(crate) fn start(options: &DeploymentOptions, name: &str, targets: Vec<SocketAddr>) -> Self {
        let mut traffic = Self {
            targets: Arc::new(Mutex::new(targets)),
            calls: Arc::default(),
            stopping: CancellationToken::new(),
            callers: Vec::new(),
        };
        let kinds = [CallKind::Chat, CallKind::Stream, CallKind::Claim];
        for (index, kind) in kinds.iter().cycle().take(2 * kinds.len()).enumerate() {
            let caller =
                traffic.run_caller(CallSite::of(options), *kind, format!("{name}-{index}"));
            traffic.callers.push(tokio::spawn(caller));
        }
        traffic
    }

    /// Calls the targets round-robin until the traffic is stopped.
    fn run_caller(
        &self,
        site: CallSite,
        kind: CallKind,
        name: String,
    ) -> impl Future<Output = ()> + Send + 'static {
        let targets = self.targets.clone();
        let calls = self.calls.clone();
        let stopping = self.stopping.clone();
        async move {
            let mut count = 0;
            while !stopping.is_cancelled() {
                let target = {
                    let targets = targets.lock().unwrap_or_else(PoisonError::into_inner);
                    targets[count % targets.len()]
                };
                count += 1;
                let call = Call::make(&site, kind, &format!("{name}-{count}"), target).await;
                calls
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(call);
                tokio::time::sleep(CALL_GAP).await;
            }
        }
    }

    /// Replaces the list of hosts to call, as a load balancer does.
    pub(crate) fn retarget(&self, targets: Vec<SocketAddr>) {
        *self.targets.lock().unwrap_or_else(PoisonError::into_inner) = targets;
    }

    /// Returns the calls that have ended.
    pub(crate) fn ended(&self) -> Vec<Call> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }

    /// Waits until the given number of further calls of each kind has ended.
    pub(crate) async fn wait_for_calls(&self, count: usize) {
        let counts = || {
            let calls = self.ended();
            [CallKind::Chat, CallKind::Stream, CallKind::Claim]
                .map(|kind| calls.iter().filter(|call| call.kind == kind).count())
        };
        let goal = counts().map(|ended| ended + count);
        galenamast_testbed::wait_until("further calls of each kind end", || {
            let counts = counts();
            counts.iter().zip(&goal).all(|(ended, goal)| ended >= goal)
        })
        .await;
    }

    /// Stops the callers after their calls in flight and returns all calls.
    pub(crate) async fn stop(self) -> Vec<Call> {
        self.stopping.cancel();
        for caller in self.callers {
            caller.await.expect("the caller ends");
        }
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *calls)
    }
}
