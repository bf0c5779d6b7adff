//! An upstream client without sockets that counts what ran, and the plane around it.

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

/// What one attempt meets.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FakeStep {
    /// Runs and answers with a status after a time.
    Answer { after: Duration, status: u16 },
    /// Is refused with the not-run mark.
    Shed,
    /// Cannot be connected.
    Refuse,
    /// Breaks after a time; whether it ran is decided here.
    Break { after: Duration, ran: bool },
    /// Runs and never answers.
    Silent,
}

impl FakeStep {
    pub(crate) fn answer(millis: u64) -> Self {
        Self::Answer { after: Duration::from_millis(millis), status: 200 }
    }

    pub(crate) fn draw(random: &mut SeededRandom) -> Self {
        let after = Duration::from_millis(random.below(40) as u64);
        match random.below(7) {
            0 => Self::Answer { after, status: 200 },
            1 => Self::Answer { after, status: 500 },
            2 => Self::Shed,
            3 => Self::Refuse,
            4 => Self::Break { after, ran: true },
            5 => Self::Break { after, ran: false },
            _ => Self::Silent,
        }
    }
}

/// What was attempted and what ran.
#[derive(Debug, Default)]
pub(crate) struct RunLedger {
    runs: Mutex<HashMap<String, u32>>,
    attempts: AtomicU32,
    peak: AtomicU32,
    open: AtomicU32,
    /// Headers of every attempt.
    pub(crate) headers: Mutex<Vec<http::HeaderMap>>,
}

impl RunLedger {
    pub(crate) fn runs_of(&self, id: &str) -> u32 {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    pub(crate) fn attempts(&self) -> u32 {
        self.attempts.load(Ordering::Relaxed)
    }

    /// Attempts that are neither finished nor cancelled.
    pub(crate) fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Most attempts that were open at the same time.
    pub(crate) fn peak(&self) -> u32 {
        self.peak.load(Ordering::Relaxed)
    }

    fn record_run(&self, id: &str) {
        *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    }
}

struct OpenGuard(Arc<RunLedger>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Plays `steps` in the order of attempts; the last one goes on for ever.
#[derive(Clone, Debug)]
pub(crate) struct FakeClient {
    steps: Arc<Vec<FakeStep>>,
    pub(crate) ledger: Arc<RunLedger>,
}

impl FakeClient {
    pub(crate) fn new(steps: Vec<FakeStep>) -> Self {
        Self { steps: Arc::new(steps), ledger: Arc::default() }
    }
}

impl UpstreamClient for FakeClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        _upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        let index = self.ledger.attempts.fetch_add(1, Ordering::Relaxed) as usize;
        let open = self.ledger.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.ledger.peak.fetch_max(open, Ordering::Relaxed);
        let _guard = OpenGuard(Arc::clone(&self.ledger));
        self.ledger.headers.lock().unwrap().push(request.headers.clone());
        let id = request.headers["x-request-id"].to_str().unwrap().to_owned();
        let step = self.steps[index.min(self.steps.len() - 1)];
        match step {
            FakeStep::Answer { after, status } => {
                self.ledger.record_run(&id);
                tokio::time::sleep(after).await;
                answer(status, &id)
            }
            FakeStep::Shed => {
                let AttemptOutcome::Answered(mut shed) = answer(503, &id) else { unreachable!() };
                let headers = shed.response.headers_mut();
                headers.insert("x-upstream-not-run", http::HeaderValue::from_static("1"));
                AttemptOutcome::Answered(shed)
            }
            FakeStep::Refuse => AttemptOutcome::NotRun(NotRunProof::ConnectFailed),
            FakeStep::Break { after, ran } => {
                if ran {
                    self.ledger.record_run(&id);
                }
                tokio::time::sleep(after).await;
                AttemptOutcome::Unknown(UnknownCause::ConnectionBroken)
            }
            FakeStep::Silent => {
                self.ledger.record_run(&id);
                std::future::pending().await
            }
        }
    }
}

fn answer(status: u16, id: &str) -> AttemptOutcome<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(id.as_bytes())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    AttemptOutcome::Answered(UpstreamResponse { response })
}

/// A configuration with three upstreams and one route, `/read` being idempotent.
pub(crate) fn plane_fixture(route: serde_json::Value, budget: BudgetSpec) -> SharedSnapshot {
    let addrs = [1, 2, 3].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    snapshot_for(&addrs, route, budget)
}

/// The same with upstreams at these addresses.
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
    snapshot.routes.push(RouteRecord { name: "only".into(), spec, upstreams, parts: Vec::new() });
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
