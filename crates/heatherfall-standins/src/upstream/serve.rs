//! The upstream stand-in's server and its record of what ran.

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
use super::body::TruncatedBody;
use crate::server::{self, ServerHandle};

/// Request header that names a request for the run counters.
const REQUEST_ID: &str = "x-request-id";
/// Answer header: the request was not run.
const NOT_RUN: &str = "x-upstream-not-run";
/// Answer header: the upstream is draining.
const DRAIN: &str = "x-upstream-drain";
/// Answer header with the load report.
const LOAD_METRICS: &str = "endpoint-load-metrics";
/// Factor by which a cold request is slower.
const COLD_FACTOR: u32 = 10;
/// Slots that the semaphore holds at most.
const MAX_SLOTS: usize = 1024;

#[derive(Debug)]
struct Shared {
    name: String,
    behaviour: Mutex<UpstreamBehaviour>,
    slots: Semaphore,
    configured_slots: AtomicUsize,
    inflight: AtomicUsize,
    served: AtomicU64,
    runs: Mutex<HashMap<String, u64>>,
}

/// Handle on an upstream stand-in; clones share it.
#[derive(Clone, Debug)]
pub struct StandinUpstream {
    shared: Arc<Shared>,
}

impl StandinUpstream {
    /// Creates an upstream that is not served yet.
    pub fn new(name: &str, behaviour: UpstreamBehaviour) -> Self {
        let slots = behaviour.slots.min(MAX_SLOTS);
        Self {
            shared: Arc::new(Shared {
                name: name.to_owned(),
                behaviour: Mutex::new(behaviour),
                slots: Semaphore::new(slots),
                configured_slots: AtomicUsize::new(slots),
                inflight: AtomicUsize::new(0),
                served: AtomicU64::new(0),
                runs: Mutex::default(),
            }),
        }
    }

    /// Changes the behaviour; the number of slots stays as it was at the start.
    pub fn set_behaviour(&self, behaviour: UpstreamBehaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// The present behaviour.
    pub fn behaviour(&self) -> UpstreamBehaviour {
        lock(&self.shared.behaviour).clone()
    }

    /// How often the request with this `x-request-id` has run.
    pub fn runs_of(&self, request_id: &str) -> u64 {
        lock(&self.shared.runs).get(request_id).copied().unwrap_or(0)
    }

    /// How many requests have run.
    pub fn total_runs(&self) -> u64 {
        self.shared.served.load(Ordering::Relaxed)
    }

    /// Requests that are running or waiting for a slot.
    pub fn inflight(&self) -> usize {
        self.shared.inflight.load(Ordering::Relaxed)
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<TruncatedBody> {
        let behaviour = self.behaviour();
        let inflight = InflightGuard::enter(&self.shared.inflight);
        let limit = self.shared.configured_slots.load(Ordering::Relaxed) + behaviour.queue_limit;
        if behaviour.shed_all || inflight.count > limit {
            return self.shed(&behaviour);
        }
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return self.answer(&behaviour, StatusCode::BAD_REQUEST, Bytes::new());
        };
        let Ok(slot) = self.shared.slots.acquire().await else {
            return self.shed(&behaviour);
        };
        let served = self.shared.served.fetch_add(1, Ordering::Relaxed);
        let id = parts.headers.get(REQUEST_ID).and_then(|value| value.to_str().ok());
        if let Some(id) = id {
            *lock(&self.shared.runs).entry(id.to_owned()).or_default() += 1;
        }
        if behaviour.never_respond {
            std::future::pending::<()>().await;
        }
        if behaviour.fail_all {
            return self.answer(&behaviour, StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
        }
        let is_cold = served < behaviour.cold_requests;
        let factor = if is_cold { COLD_FACTOR } else { 1 };
        tokio::time::sleep(behaviour.service_time * factor).await;
        drop(slot);
        let body = self.echo(&parts, id.unwrap_or(""), body.to_bytes().len(), &behaviour);
        self.answer(&behaviour, StatusCode::OK, body)
    }

    fn shed(&self, behaviour: &UpstreamBehaviour) -> Response<TruncatedBody> {
        let mut response =
            self.answer(behaviour, StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"shed"));
        response.headers_mut().insert(NOT_RUN, HeaderValue::from_static("1"));
        response
    }

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

    fn answer(
        &self,
        behaviour: &UpstreamBehaviour,
        status: StatusCode,
        body: Bytes,
    ) -> Response<TruncatedBody> {
        let mut response = Response::new(TruncatedBody::new(body, behaviour.truncate_after_bytes));
        *response.status_mut() = status;
        // The answered request itself is not counted in the report.
        let own = self.inflight().saturating_sub(1);
        let reported = behaviour.reported_inflight.unwrap_or(own);
        let report = format!("TEXT named_metrics.inflight={reported}");
        if let Ok(value) = HeaderValue::from_str(&report) {
            response.headers_mut().insert(LOAD_METRICS, value);
        }
        if behaviour.draining {
            response.headers_mut().insert(DRAIN, HeaderValue::from_static("1"));
        }
        response
    }
}

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
