//! Callers that go on while hosts fail.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use galenamast_testbed::{Caller, CallerReply, DeploymentOptions};
use http::Method;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Time between the calls of one caller.
const CALL_GAP: Duration = Duration::from_millis(20);
/// Time after which a call is taken for one that never ends.
const CALL_LIMIT: Duration = Duration::from_secs(45);

/// What is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A chat answer, read whole.
    Chat,
    /// A streamed chat answer.
    Stream,
    /// A call that must not be repeated.
    Claim,
}

/// A call and what its caller got.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) kind: CallKind,
    /// Identifies the call; the idempotency key of a claim.
    pub(crate) key: String,
    pub(crate) sent: Instant,
    /// What came back; `None` if the connection broke.
    pub(crate) reply: Option<CallerReply>,
}

impl Call {
    /// Makes a call and reads what comes back.
    pub(crate) async fn make(site: &CallSite, kind: CallKind, key: &str, host: SocketAddr) -> Self {
        let sent = Instant::now();
        let reply = tokio::time::timeout(CALL_LIMIT, site.send(kind, key, host)).await;
        Self {
            kind,
            key: key.into(),

            sent,
            reply: reply.expect("every call ends"),
        }
    }

    /// Returns whether the caller got the whole answer.
    pub(crate) fn is_answered(&self) -> bool {
        let Some(reply) = &self.reply else {
            return false;
        };
        let whole = self.kind != CallKind::Stream || reply.ended();
        reply.status == 200 && reply.body.is_some() && whole
    }

    /// Returns whether the caller was told that nothing ran.
    pub(crate) fn is_refused(&self) -> bool {
        let run = self.reply.as_ref().map(|reply| reply.json()["run"].clone());
        run == Some(json!("not_run"))
    }

    /// Returns a header of the answer.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.reply.as_ref()?.header(name)
    }

    /// Returns the version that answered, without its model.
    pub(crate) fn version(&self) -> Option<&str> {
        let version = self.header("x-version")?;
        Some(version.rsplit_once('@').map_or(version, |(_, name)| name))
    }
}

/// Who calls what.
#[derive(Clone, Debug)]
pub(crate) struct CallSite {
    pub(crate) caller: Caller,
    pub(crate) service: String,
}

impl CallSite {
    /// Calls as the first workspace of a deployment.
    pub(crate) fn of(options: &DeploymentOptions) -> Self {
        Self {
            caller: Caller::new(&options.workspaces[0]),
            service: options.service_pool.clone(),
        }
    }

    /// Sends one request.
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

/// Callers that call entry hosts in turn until they are told to stop.
#[derive(Debug)]
pub(crate) struct Traffic {
    targets: Arc<Mutex<Vec<SocketAddr>>>,
    calls: Arc<Mutex<Vec<Call>>>,
    stopping: CancellationToken,
    callers: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts callers of every kind.
    pub(crate) fn start(options: &DeploymentOptions, name: &str, targets: Vec<SocketAddr>) -> Self {
        let mut traffic = Self {
            targets: Arc::new(Mutex::new(targets)),
            calls: Arc::default(),
            stopping: CancellationToken::new(),
            callers: Vec::new(),
        };
        let kinds = [CallKind::Chat, CallKind::Stream, CallKind::Claim];
        for (index, kind) in kinds.iter().cycle().take(2 * kinds.len()).enumerate() {
            let caller = traffic.call_on(CallSite::of(options), *kind, format!("{name}-{index}"));
            traffic.callers.push(tokio::spawn(caller));
        }
        traffic
    }

    /// Calls in turn until told to stop.
    fn call_on(
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

    /// Sets which hosts are called from now on, as a balancer does.
    pub(crate) fn retarget(&self, targets: Vec<SocketAddr>) {
        *self.targets.lock().unwrap_or_else(PoisonError::into_inner) = targets;
    }

    /// Returns the calls that have ended.
    pub(crate) fn ended(&self) -> Vec<Call> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }

    /// Waits until a number of further calls of each kind has ended.
    pub(crate) async fn go_on(&self, count: usize) {
        let counts = || {
            let calls = self.ended();
            [CallKind::Chat, CallKind::Stream, CallKind::Claim]
                .map(|kind| calls.iter().filter(|call| call.kind == kind).count())
        };
        let goal = counts().map(|ended| ended + count);
        galenamast_testbed::wait_until("the callers go on", || {
            let counts = counts();
            counts.iter().zip(&goal).all(|(ended, goal)| ended >= goal)
        })
        .await;
    }

    /// Lets the calls in flight end and returns all calls.
    pub(crate) async fn stop(self) -> Vec<Call> {
        self.stopping.cancel();
        for caller in self.callers {
            caller.await.expect("the caller ends");
        }
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *calls)
    }
}
