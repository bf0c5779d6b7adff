//! An upstream client without sockets that records attempts and runs, and configurations for it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use heatherfall::core::{
    BudgetSpec, ConfigSnapshot, IdempotenceMode, IdempotenceRule, RequestRule, RouteRecord,
    RouteSpec, SharedSnapshot, UpstreamState,
};
use heatherfall::request::{
    AttemptOutcome, AttemptRequest, NotRunProof, UnknownCause, UpstreamClient, UpstreamResponse,
};
use heatherfall::util::SeededRandom;
use http::{Response, StatusCode};
use http_body_util::Full;
use serde_json::json;

/// How the upstream handles one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FakeBehaviour {
    /// Runs the request and responds with `status` after a delay.
    Respond { after: Duration, status: u16 },
    /// Rejects the request with 503 and the not-run header.
    Shed,
    /// Refuses the connection.
    RefuseConnection,
    /// Breaks the connection after a delay; `ran` says whether the request ran.
    BreakConnection { after: Duration, ran: bool },
    /// Runs the request and never responds.
    NeverRespond,
}

impl FakeBehaviour {
    pub(crate) fn respond_after_ms(delay_ms: u64) -> Self {
        Self::Respond { after: Duration::from_millis(delay_ms), status: 200 }
    }

    pub(crate) fn random(random: &mut SeededRandom) -> Self {
        let after = Duration::from_millis(random.below(40) as u64);
        match random.below(7) {
            0 => Self::Respond { after, status: 200 },
            1 => Self::Respond { after, status: 500 },
            2 => Self::Shed,
            3 => Self::RefuseConnection,
            4 => Self::BreakConnection { after, ran: true },
            5 => Self::BreakConnection { after, ran: false },
            _ => Self::NeverRespond,
        }
    }
}

/// Records attempts, and runs by request id.
#[derive(Debug, Default)]
pub(crate) struct AttemptRecorder {
    runs: Mutex<HashMap<String, u32>>,
    attempts: AtomicU32,
    peak_in_flight: AtomicU32,
    in_flight: AtomicU32,
    /// Request headers of every attempt, in the order of attempts.
    pub(crate) headers: Mutex<Vec<http::HeaderMap>>,
}

impl AttemptRecorder {
    pub(crate) fn runs_of(&self, id: &str) -> u32 {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    pub(crate) fn attempts(&self) -> u32 {
        self.attempts.load(Ordering::Relaxed)
    }

    /// Attempts that are neither finished nor cancelled.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Largest number of attempts in flight at once.
    pub(crate) fn peak_in_flight(&self) -> u32 {
        self.peak_in_flight.load(Ordering::Relaxed)
    }

    fn record_run(&self, id: &str) {
        *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    }
}

struct InFlightGuard(Arc<AttemptRecorder>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles the n-th attempt by the n-th of `behaviours`, and all later ones by the last.
#[derive(Clone, Debug)]
pub(crate) struct FakeUpstreamClient {
    behaviours: Arc<Vec<FakeBehaviour>>,
    pub(crate) recorder: Arc<AttemptRecorder>,
}

impl FakeUpstreamClient {
    pub(crate) fn new(behaviours: Vec<FakeBehaviour>) -> Self {
        Self { behaviours: Arc::new(behaviours), recorder: Arc::default() }
    }
}

impl UpstreamClient for FakeUpstreamClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        _upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        let index = self.recorder.attempts.fetch_add(1, Ordering::Relaxed) as usize;
        let in_flight = self.recorder.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        self.recorder.peak_in_flight.fetch_max(in_flight, Ordering::Relaxed);
        let _guard = InFlightGuard(Arc::clone(&self.recorder));
        self.recorder.headers.lock().unwrap().push(request.headers.clone());
        let id = request.headers["x-request-id"].to_str().unwrap().to_owned();
        let behaviour = self.behaviours[index.min(self.behaviours.len() - 1)];
        match behaviour {
            FakeBehaviour::Respond { after, status } => {
                self.recorder.record_run(&id);
                tokio::time::sleep(after).await;
                respond(status, &id)
            }
            FakeBehaviour::Shed => {
                let AttemptOutcome::Answered(mut shed) = respond(503, &id) else { unreachable!() };
                let headers = shed.response.headers_mut();
                headers.insert("x-upstream-not-run", http::HeaderValue::from_static("1"));
                AttemptOutcome::Answered(shed)
            }
            FakeBehaviour::RefuseConnection => AttemptOutcome::NotRun(NotRunProof::ConnectFailed),
            FakeBehaviour::BreakConnection { after, ran } => {
                if ran {
                    self.recorder.record_run(&id);
                }
                tokio::time::sleep(after).await;
                AttemptOutcome::Unknown(UnknownCause::ConnectionBroken)
            }
            FakeBehaviour::NeverRespond => {
                self.recorder.record_run(&id);
                std::future::pending().await
            }
        }
    }
}

fn respond(status: u16, id: &str) -> AttemptOutcome<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(id.as_bytes())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    AttemptOutcome::Answered(UpstreamResponse { response })
}

/// A configuration with three upstreams, one route for every path, and `/read` idempotent.
pub(crate) fn three_upstream_snapshot(
    route: serde_json::Value,
    budget: BudgetSpec,
) -> SharedSnapshot {
    let addrs = [1, 2, 3].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    snapshot_for(&addrs, route, budget)
}

/// Like [`three_upstream_snapshot`], with upstreams at `addrs`.
pub(crate) fn snapshot_for(
    addrs: &[SocketAddr],
    route: serde_json::Value,
    budget: BudgetSpec,
) -> SharedSnapshot {
    let mut spec = json!({ "requests": "", "upstreams": "", "deadline": "100ms" });
    for (key, value) in route.as_object().unwrap() {
        spec[key] = value.clone();
    }
    let spec: RouteSpec = serde_json::from_value(spec).unwrap();
    let mut snapshot = ConfigSnapshot { budget, ..ConfigSnapshot::default() };
    let mut upstreams = Vec::new();
    for (index, addr) in addrs.iter().enumerate() {
        let spec = json!({ "address": addr.to_string(), "failure_domain": "fd-a" });
        let spec = serde_json::from_value(spec).unwrap();
        let state = UpstreamState::new(&format!("u{index}"), spec, Default::default());
        upstreams.push(snapshot.upstreams.insert(Arc::new(state)));
    }
    snapshot.routes.push(RouteRecord {
        name: "only".into(),
        spec: spec.into(),
        upstreams: upstreams.into(),
        parts: Vec::new(),
    });
    snapshot.request_rules.push(RequestRule {
        name: "read".into(),
        matcher: serde_json::from_value(json!({ "path_prefix": "/read" })).unwrap(),
        labels: serde_json::from_value(json!({ "work": "read" })).unwrap(),
        tenant: None,
        class: None,
    });
    snapshot.idempotence_rules.push(IdempotenceRule {
        name: "reads".into(),
        requests: "work=read".parse().unwrap(),
        mode: IdempotenceMode::Idempotent,
    });
    let shared = SharedSnapshot::default();
    shared.store(Some(Arc::new(snapshot)));
    shared
}
