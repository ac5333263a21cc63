//! Client of the platform's object API.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::coordination::{
    CallBudget, CallPriority, CircuitBreaker, ObjectKey, ObjectQuery, ObjectRecord, ObjectVersion,
    RetryBackoff, WriteCondition, WriteOutcome,
};
use crate::protocol::ProtocolError;
use crate::state::TimePoint;
use crate::transport::call_counters::{CallCounters, CallCounts, CallKind};
use crate::transport::http_client::{HttpClient, read_body, with_timeout};
use crate::transport::object_request::{
    CallAnswer, CallRequest, check_name, classify_write, is_transient, object_path,
};
use crate::transport::timer_service::TimerService;
use crate::transport::transport_error::TransportError;

/// Maximum size of an answer that holds one object, in bytes.
const MAX_OBJECT_BYTES: usize = 2 * 1_024 * 1_024;
/// Maximum size of a listing, in bytes.
const MAX_LIST_BYTES: usize = 64 * 1_024 * 1_024;
/// Attempts of a read, the first one included.
const READ_ATTEMPTS: u32 = 3;
/// Further attempts to find out whether an indeterminate write took effect.
const RESOLVE_ATTEMPTS: u32 = 4;

/// Answer of the object API to a listing.
#[derive(Debug, Deserialize)]
struct ListAnswer {
    items: Vec<ObjectRecord>,
}

/// Bounds on the calls of an object client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Time limit for one call, including the wait for the call budget.
    pub call_timeout: Duration,
    /// Maximum rate of calls.
    pub calls_per_second: u32,
    /// Delays between attempts, and how long the circuit breaker stays open.
    pub backoff: RetryBackoff,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(2),
            calls_per_second: 50,
            backoff: RetryBackoff::default(),
        }
    }
}

/// Client of the object API; its clones share one call budget and one circuit breaker.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    shared: Arc<ClientShared>,
    priority: CallPriority,
}

/// State that the clones of a client share.
#[derive(Debug)]
struct ClientShared {
    client: HttpClient,
    address: String,
    limits: CallLimits,
    timers: TimerService,
    budget: Mutex<CallBudget>,
    breaker: Mutex<CircuitBreaker>,
    counters: CallCounters,
}

impl ObjectClient {
    /// Creates a client of the object API at an address, with the default rate of calls.
    pub fn new(client: HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        let limits = CallLimits {
            call_timeout: timeout,
            ..Default::default()
        };
        Self::with_limits(client, address, limits, TimerService::system())
    }

    /// Creates a client with the given limits and source of time.
    pub fn with_limits(
        client: HttpClient,
        address: SocketAddr,
        limits: CallLimits,
        timers: TimerService,
    ) -> Self {
        let budget = CallBudget::new(limits.calls_per_second, timers.now());
        let shared = ClientShared {
            client,
            address: address.to_string(),
            budget: Mutex::new(budget),
            breaker: Mutex::new(CircuitBreaker::new(limits.backoff)),
            counters: CallCounters::default(),
            limits,
            timers,
        };
        Self {
            shared: Arc::new(shared),
            priority: CallPriority::default(),
        }
    }

    /// Returns a clone whose calls have the given priority.
    pub fn with_priority(&self, priority: CallPriority) -> Self {
        Self {
            shared: self.shared.clone(),
            priority,
        }
    }

    /// Returns the counts of the calls made so far by all clones of the client.
    pub fn counts(&self) -> CallCounts {
        self.shared.counters.counts()
    }

    /// Returns the limits of the client.
    pub fn limits(&self) -> CallLimits {
        self.shared.limits
    }

    /// Reads an object; transient failures are retried within the time limit of one call.
    ///
    /// # Errors
    ///
    /// Returns an error if every attempt fails; a missing object is `None`.
    pub async fn read(&self, key: &ObjectKey) -> Result<Option<ObjectRecord>, TransportError> {
        let path = object_path(key)?;
        let deadline = self.shared.timers.now() + self.shared.limits.call_timeout;
        let mut attempt = 0;
        loop {
            let result = self
                .call(CallKind::Read, Method::GET, &path, deadline)
                .await;
            attempt += 1;
            let error = match result.and_then(|answer| self.decode_record(&answer)) {
                Ok(record) => return Ok(record),
                Err(error) => error,
            };
            let delay = self.shared.limits.backoff.delay(attempt, &mut rand::rng());
            let time_left = deadline.since(self.shared.timers.now());
            if attempt >= READ_ATTEMPTS || !is_transient(&error) || delay >= time_left {
                return Err(error);
            }
            self.shared.timers.sleep(delay).await;
        }
    }

    /// Waits until an object is newer than a version; `None` if it is not within `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn watch(
        &self,
        key: &ObjectKey,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Option<ObjectRecord>, TransportError> {
        check_name(&key.kind)?;
        check_name(&key.name)?;
        let wait_ms = wait.as_millis();
        let path = format!(
            "/v1/watch/{}/{}?after={}&timeout_ms={wait_ms}",
            key.kind, key.name, after.0
        );
        let deadline = self.shared.timers.now() + wait + self.shared.limits.call_timeout;
        let answer = self.call(CallKind::Watch, Method::GET, &path, deadline);
        let answer = answer.await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        self.decode_record(&answer)
    }

    /// Lists objects in the order of their names.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn list(&self, query: &ObjectQuery) -> Result<Vec<ObjectRecord>, TransportError> {
        check_name(&query.kind)?;
        for text in [&query.prefix, &query.after] {
            if !text.is_empty() {
                check_name(text)?;
            }
        }
        let limit = query.limit.map(|limit| format!("&limit={limit}"));
        let path = format!(
            "/v1/objects/{}?prefix={}&after={}{}",
            query.kind,
            query.prefix,
            query.after,
            limit.unwrap_or_default()
        );
        let deadline = self.shared.timers.now() + self.shared.limits.call_timeout;
        let answer = self.call(CallKind::List, Method::GET, &path, deadline);
        let answer = answer.await?;
        let list: ListAnswer = self.decode(&answer)?;
        Ok(list.items)
    }

    /// Writes an object if it is at the expected version.
    ///
    /// # Errors
    ///
    /// Returns an error only if the request cannot be built; any other result is an outcome.
    pub async fn write(
        &self,
        key: &ObjectKey,
        condition: WriteCondition,
        value: &Value,
    ) -> Result<WriteOutcome, TransportError> {
        let path = object_path(key)?;
        let request = CallRequest {
            kind: CallKind::Write,
            method: Method::PUT,
            path: &path,
            condition: Some(condition),
            value: Some(value),
        };
        self.call_write(request).await
    }

    /// Deletes an object if it is at the expected version.
    ///
    /// # Errors
    ///
    /// Returns an error only if the request cannot be built; any other result is an outcome.
    pub async fn delete(
        &self,
        key: &ObjectKey,
        version: ObjectVersion,
    ) -> Result<WriteOutcome, TransportError> {
        let path = object_path(key)?;
        let request = CallRequest {
            kind: CallKind::Delete,
            method: Method::DELETE,
            path: &path,
            condition: Some(WriteCondition::At(version)),
            value: None,
        };
        self.call_write(request).await
    }

    /// Writes an object and, if the outcome is indeterminate, finds out whether it took effect.
    ///
    /// The value must differ from the values of all other writers. The same conditional write is
    /// sent again, so that a first one still in flight cannot take effect after a conflict was
    /// reported. The outcome remains indeterminate only if the platform stays unreachable.
    ///
    /// # Errors
    ///
    /// Returns an error only if the request cannot be built; any other result is an outcome.
    pub async fn write_resolved(
        &self,
        key: &ObjectKey,
        condition: WriteCondition,
        value: &Value,
    ) -> Result<WriteOutcome, TransportError> {
        let mut outcome = self.write(key, condition, value).await?;
        if outcome != WriteOutcome::Indeterminate {
            return Ok(outcome);
        }
        for attempt in 1..=RESOLVE_ATTEMPTS {
            let delay = self.shared.limits.backoff.delay(attempt, &mut rand::rng());
            self.shared.timers.sleep(delay).await;
            outcome = self.write(key, condition, value).await?;
            if let WriteOutcome::Applied(_) = outcome {
                return Ok(outcome);
            }
            if outcome != WriteOutcome::Conflict {
                continue;
            }
            if let Ok(record) = self.read(key).await {
                return Ok(match record {
                    Some(record) if record.value == *value => WriteOutcome::Applied(record.version),
                    _ => WriteOutcome::Conflict,
                });
            }
        }
        Ok(WriteOutcome::Indeterminate)
    }

    /// Makes a call without a condition and without a body.
    async fn call(
        &self,
        kind: CallKind,
        method: Method,
        path: &str,
        deadline: TimePoint,
    ) -> Result<CallAnswer, TransportError> {
        let request = CallRequest {
            kind,
            method,
            path,
            condition: None,
            value: None,
        };
        self.send_before(&request, deadline).await
    }

    /// Makes a conditional write or delete and classifies its outcome.
    async fn call_write(&self, request: CallRequest<'_>) -> Result<WriteOutcome, TransportError> {
        let deadline = self.shared.timers.now() + self.shared.limits.call_timeout;
        match self.send_before(&request, deadline).await {
            Ok(answer) => Ok(classify_write(answer.status, &answer.body)),
            Err(error @ (TransportError::Protocol(_) | TransportError::Coordination(_))) => {
                Err(error)
            }
            Err(
                TransportError::Connect { .. }
                | TransportError::BudgetExhausted { .. }
                | TransportError::CircuitOpen { .. },
            ) => Ok(WriteOutcome::Rejected),
            Err(_) => Ok(WriteOutcome::Indeterminate),
        }
    }

    /// Makes a call before the deadline if the call budget and the circuit breaker allow it.
    async fn send_before(
        &self,
        request: &CallRequest<'_>,
        deadline: TimePoint,
    ) -> Result<CallAnswer, TransportError> {
        let shared = &self.shared;
        let message = request.build(&shared.address)?;
        self.wait_for_budget(deadline).await?;
        if !lock(&shared.breaker).admit(shared.timers.now()) {
            shared.counters.count_short_circuited();
            let address = shared.address.clone();
            return Err(TransportError::CircuitOpen { address });
        }
        shared.counters.count(request.kind);
        let max_bytes = match request.kind {
            CallKind::List => MAX_LIST_BYTES,
            _ => MAX_OBJECT_BYTES,
        };
        let call = async {
            let response = shared.client.send(&shared.address, message).await?;
            let status = response.status();
            let body = read_body(&shared.address, response, max_bytes).await?;
            let body = body.to_vec();
            Ok(CallAnswer { status, body })
        };
        let time_left = deadline.since(shared.timers.now());
        let result = with_timeout(&shared.address, time_left, call).await;
        let answered = result
            .as_ref()
            .is_ok_and(|answer| !answer.status.is_server_error());
        self.record_result(answered);
        result
    }

    /// Waits until the call budget admits a call of the client's priority.
    async fn wait_for_budget(&self, deadline: TimePoint) -> Result<(), TransportError> {
        let shared = &self.shared;
        loop {
            let now = shared.timers.now();
            let taken = lock(&shared.budget).take(self.priority, now);
            let Err(wait) = taken else {
                return Ok(());
            };
            if now + wait >= deadline {
                shared.counters.count_over_budget();
                let address = shared.address.clone();
                return Err(TransportError::BudgetExhausted { address });
            }
            shared.timers.sleep(wait).await;
        }
    }

    /// Records the result of a call in the circuit breaker and the counters.
    fn record_result(&self, answered: bool) {
        let mut breaker = lock(&self.shared.breaker);
        if answered {
            breaker.record_success();
            return;
        }
        self.shared.counters.count_failure();
        breaker.record_failure(self.shared.timers.now(), &mut rand::rng());
    }

    /// Decodes an answer that holds one object; `None` if the object does not exist.
    fn decode_record(&self, answer: &CallAnswer) -> Result<Option<ObjectRecord>, TransportError> {
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.decode(answer).map(Some)
    }

    /// Decodes an answer, which must have a successful status.
    fn decode<T: DeserializeOwned>(&self, answer: &CallAnswer) -> Result<T, TransportError> {
        if !answer.status.is_success() {
            return Err(TransportError::Status {
                address: self.shared.address.clone(),
                status: answer.status.as_u16(),
            });
        }
        let what = "object answer";
        serde_json::from_slice(&answer.body)
            .map_err(|source| ProtocolError::Json { what, source }.into())
    }
}

/// Locks a mutex and ignores poisoning.
///
/// Only for values that no panic can leave half-changed.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
