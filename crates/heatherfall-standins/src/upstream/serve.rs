//! The upstream stand-in's server and its counts of the requests that ran.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Semaphore;

use super::behaviour::UpstreamBehaviour;
use super::body::TruncatableBody;
use crate::server::{self, ServerHandle};

/// Request header that identifies a request in the run counts.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Response header: the request did not run.
const NOT_RUN_HEADER: &str = "x-upstream-not-run";
/// Response header: the upstream is draining.
const DRAIN_HEADER: &str = "x-upstream-drain";
/// Response header with the load report.
const LOAD_REPORT_HEADER: &str = "endpoint-load-metrics";
/// Service time of a cold request as a multiple of the usual one.
const COLD_SERVICE_FACTOR: u32 = 10;
/// Upper bound of the number of slots.
const MAX_SLOTS: usize = 1024;

#[derive(Debug)]
struct Shared {
    name: String,
    behaviour: Mutex<UpstreamBehaviour>,
    slots: Semaphore,
    configured_slots: AtomicUsize,
    inflight: AtomicUsize,
    total_runs: AtomicU64,
    /// Number of runs by request id.
    runs: Mutex<HashMap<String, u64>>,
}

/// Handle of an upstream stand-in; clones share its state.
#[derive(Clone, Debug)]
pub struct StandinUpstream {
    shared: Arc<Shared>,
}

impl StandinUpstream {
    /// Creates an upstream; [`serve`] makes it reachable. It gets up to 1024 slots.
    pub fn new(name: &str, behaviour: UpstreamBehaviour) -> Self {
        let slots = behaviour.slots.min(MAX_SLOTS);
        Self {
            shared: Arc::new(Shared {
                name: name.to_owned(),
                behaviour: Mutex::new(behaviour),
                slots: Semaphore::new(slots),
                configured_slots: AtomicUsize::new(slots),
                inflight: AtomicUsize::new(0),
                total_runs: AtomicU64::new(0),
                runs: Mutex::default(),
            }),
        }
    }

    /// Replaces the behaviour, except for the number of slots, which stays.
    pub fn set_behaviour(&self, behaviour: UpstreamBehaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Current behaviour.
    pub fn behaviour(&self) -> UpstreamBehaviour {
        lock(&self.shared.behaviour).clone()
    }

    /// Number of times that the request with this `x-request-id` has run.
    pub fn runs_of(&self, request_id: &str) -> u64 {
        lock(&self.shared.runs).get(request_id).copied().unwrap_or(0)
    }

    /// Number of requests that have run.
    pub fn total_runs(&self) -> u64 {
        self.shared.total_runs.load(Ordering::Relaxed)
    }

    /// Requests that are running or waiting for a slot.
    pub fn inflight(&self) -> usize {
        self.shared.inflight.load(Ordering::Relaxed)
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<TruncatableBody> {
        let behaviour = self.behaviour();
        let inflight = InflightGuard::enter(&self.shared.inflight);
        let limit = self.shared.configured_slots.load(Ordering::Relaxed) + behaviour.queue_limit;
        if behaviour.shed_all || inflight.count > limit {
            return self.shed(&behaviour);
        }
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return self.respond_with(&behaviour, StatusCode::BAD_REQUEST, Bytes::new());
        };
        let Ok(slot) = self.shared.slots.acquire().await else {
            return self.shed(&behaviour);
        };
        let earlier_runs = self.shared.total_runs.fetch_add(1, Ordering::Relaxed);
        let id = parts.headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
        if let Some(id) = id {
            *lock(&self.shared.runs).entry(id.to_owned()).or_default() += 1;
        }
        if behaviour.never_respond {
            std::future::pending::<()>().await;
        }
        if behaviour.fail_all {
            return self.respond_with(&behaviour, StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
        }
        let is_cold = earlier_runs < behaviour.cold_requests;
        let factor = if is_cold { COLD_SERVICE_FACTOR } else { 1 };
        tokio::time::sleep(behaviour.service_time * factor).await;
        drop(slot);
        let body = self.echo(&parts, id.unwrap_or(""), body.to_bytes().len(), &behaviour);
        self.respond_with(&behaviour, StatusCode::OK, body)
    }

    /// Response to a request that is refused before it runs.
    fn shed(&self, behaviour: &UpstreamBehaviour) -> Response<TruncatableBody> {
        let mut response = self.respond_with(
            behaviour,
            StatusCode::SERVICE_UNAVAILABLE,
            Bytes::from_static(b"shed"),
        );
        response.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
        response
    }

    /// Body that tells which upstream responded and what it received.
    fn echo(
        &self,
        parts: &http::request::Parts,
        id: &str,
        body_bytes: usize,
        behaviour: &UpstreamBehaviour,
    ) -> Bytes {
        let mut text = format!(
            "{{\"upstream\":\"{}\",\"request_id\":\"{id}\",\"method\":\"{}\",\"path\":\"{}\",\"body_bytes\":{body_bytes}}}\n",
            self.shared.name,
            parts.method,
            parts.uri.path(),
        );
        text.extend(std::iter::repeat_n('.', behaviour.padding_bytes));
        Bytes::from(text)
    }

    /// Response with the load report and, if set, the drain header.
    fn respond_with(
        &self,
        behaviour: &UpstreamBehaviour,
        status: StatusCode,
        body: Bytes,
    ) -> Response<TruncatableBody> {
        let mut response =
            Response::new(TruncatableBody::new(body, behaviour.truncate_after_bytes));
        *response.status_mut() = status;
        // The report does not count the request that it answers.
        let others = self.inflight().saturating_sub(1);
        let reported = behaviour.reported_inflight.unwrap_or(others);
        let report = format!("TEXT named_metrics.inflight={reported}");
        if let Ok(value) = HeaderValue::from_str(&report) {
            response.headers_mut().insert(LOAD_REPORT_HEADER, value);
        }
        if behaviour.draining {
            response.headers_mut().insert(DRAIN_HEADER, HeaderValue::from_static("1"));
        }
        response
    }
}

/// Counts a request as in flight until dropped.
struct InflightGuard<'a> {
    counter: &'a AtomicUsize,
    count: usize,
}

impl<'a> InflightGuard<'a> {
    fn enter(counter: &'a AtomicUsize) -> Self {
        let count = counter.fetch_add(1, Ordering::Relaxed) + 1;
        Self { counter, count }
    }
}

impl Drop for InflightGuard<'_> {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves `upstream` on `addr`; port 0 picks a free port.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn serve(upstream: StandinUpstream, addr: SocketAddr) -> std::io::Result<ServerHandle> {
    server::serve(addr, move |request| {
        let upstream = upstream.clone();
        async move { Ok::<_, Infallible>(upstream.respond(request).await) }
    })
    .await
}
