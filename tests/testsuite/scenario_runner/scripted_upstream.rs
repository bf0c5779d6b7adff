//! Scripted upstreams, which stand in for connections behind the [`UpstreamClient`] trait.

use std::collections::{BTreeMap, VecDeque};
use std::pin::Pin;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use heatherfall::core::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, UPSTREAM_DRAIN_HEADER,
    UPSTREAM_NOT_RUN_HEADER, UpstreamState,
};
use heatherfall::request::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, NotRunProof, UnknownCause, UpstreamClient,
    UpstreamResponse,
};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame};

use super::node_store::NodeGate;
use super::transcript::Transcript;

/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// How an upstream handles every request. The scenario command `upstream` names them in kebab case.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum ScriptedBehaviour {
    /// Runs the request and responds with 200.
    #[default]
    Good,
    /// Runs it and responds after ten times the usual service time.
    Slow,
    /// Rejects it with 503 and the not-run header.
    Shed,
    /// Rejects it with 503, the not-run header and the drain signal.
    ShedDraining,
    /// Runs it and responds with 200 and the drain signal.
    Draining,
    /// Refuses the connection.
    Refuse,
    /// Runs it and responds with 500.
    Fail,
    /// Runs it and responds with a 503 without the not-run header.
    PlainRefusal,
    /// Runs it and breaks the connection before the response.
    Break,
    /// Runs it and truncates the response body.
    Cut,
    /// Runs it and sends a response whose end cannot be verified.
    Endless,
    /// Runs it and never responds.
    Silent,
    /// Pooled connections are unresponsive and run nothing; new ones work.
    StaleConnections,
}

impl FromStr for ScriptedBehaviour {
    type Err = std::io::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(match text {
            "good" => Self::Good,
            "slow" => Self::Slow,
            "shed" => Self::Shed,
            "shed-draining" => Self::ShedDraining,
            "draining" => Self::Draining,
            "refuse" => Self::Refuse,
            "fail" => Self::Fail,
            "plain-refusal" => Self::PlainRefusal,
            "break" => Self::Break,
            "cut" => Self::Cut,
            "endless" => Self::Endless,
            "silent" => Self::Silent,
            "stale-connections" => Self::StaleConnections,
            _ => return Err(std::io::Error::other(format!("unknown upstream behaviour {text:?}"))),
        })
    }
}

#[derive(Debug, Default)]
struct UpstreamsState {
    behaviours: BTreeMap<String, ScriptedBehaviour>,
    /// Number of runs by request id and by the name of an idempotency key.
    runs: BTreeMap<String, u64>,
}

/// Behaviours and run counts of all upstreams; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct ScriptedUpstreams {
    state: Arc<Mutex<UpstreamsState>>,
}

impl ScriptedUpstreams {
    pub(super) fn set(&self, name: &str, behaviour: ScriptedBehaviour) {
        self.lock().behaviours.insert(name.to_owned(), behaviour);
    }

    /// Number of runs of the request with this id, or of all requests with this idempotency key.
    pub(super) fn runs_of(&self, id: &str) -> u64 {
        self.lock().runs.get(id).copied().unwrap_or(0)
    }

    fn behaviour_of(&self, name: &str) -> ScriptedBehaviour {
        self.lock().behaviours.get(name).copied().unwrap_or_default()
    }

    fn count_run(&self, headers: &HeaderMap) {
        for header in [REQUEST_ID_HEADER, IDEMPOTENCY_KEY_HEADER] {
            let Some(id) = headers.get(header).and_then(|value| value.to_str().ok()) else {
                continue;
            };
            // A key on the wire is `TIME-NAME`; runs are counted by the name.
            let id = id.split_once('-').map_or(id, |(_, name)| name);
            *self.lock().runs.entry(id.to_owned()).or_default() += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, UpstreamsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Upstream client of one entry node.
#[derive(Clone, Debug)]
pub(super) struct ScriptedClient {
    pub(super) node: String,
    pub(super) upstreams: ScriptedUpstreams,
    pub(super) gate: NodeGate,
    pub(super) transcript: Transcript,
}

impl UpstreamClient for ScriptedClient {
    type Body = ScriptedBody;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<ScriptedBody> {
        self.gate.wait_until_running().await;
        let id = header_text(&request.headers, REQUEST_ID_HEADER);
        let connection = match request.connection {
            ConnectionPolicy::AnyPooled => "pooled",
            ConnectionPolicy::NewOrVerified => "proven",
            ConnectionPolicy::New => "new",
        };
        let left_ms = header_text(&request.headers, DEADLINE_HEADER);
        let (node, name) = (&self.node, &upstream.name);
        self.transcript
            .record(&format!("entry {node} {id} -> {name} {connection} {left_ms}ms left"));
        let outcome = self.run_attempt(name, &id, request).await;
        self.gate.wait_until_running().await;
        outcome
    }
}

impl ScriptedClient {
    async fn run_attempt(
        &self,
        name: &str,
        id: &str,
        request: AttemptRequest,
    ) -> AttemptOutcome<ScriptedBody> {
        let behaviour = self.upstreams.behaviour_of(name);
        let record = |text: &str| self.transcript.record(&format!("upstream {name} {id} {text}"));
        match behaviour {
            ScriptedBehaviour::Refuse => {
                record("refuses the connection");
                return AttemptOutcome::NotRun(NotRunProof::ConnectFailed);
            }
            ScriptedBehaviour::Shed | ScriptedBehaviour::ShedDraining => {
                record("sheds");
                let is_draining = behaviour == ScriptedBehaviour::ShedDraining;
                return AttemptOutcome::Answered(shed_response(is_draining));
            }
            ScriptedBehaviour::StaleConnections
                if request.connection == ConnectionPolicy::AnyPooled =>
            {
                record("never sees it");
                return std::future::pending().await;
            }
            _ => {}
        }
        let reporter = CancellationReporter { client: self, name, id, is_armed: true };
        self.upstreams.count_run(&request.headers);
        record("runs it");
        let factor = if behaviour == ScriptedBehaviour::Slow { 10 } else { 1 };
        tokio::time::sleep(SERVICE_TIME * factor).await;
        if behaviour == ScriptedBehaviour::Silent {
            std::future::pending::<()>().await;
        }
        reporter.disarm();
        match behaviour {
            ScriptedBehaviour::Break => AttemptOutcome::Unknown(UnknownCause::ConnectionBroken),
            ScriptedBehaviour::Endless => AttemptOutcome::Unknown(UnknownCause::AnswerNotWhole),
            _ => AttemptOutcome::Answered(scripted_response(behaviour, name, id)),
        }
    }
}

/// Records the cancellation of an attempt whose future is dropped before its end.
struct CancellationReporter<'a> {
    client: &'a ScriptedClient,
    name: &'a str,
    id: &'a str,
    is_armed: bool,
}

impl CancellationReporter<'_> {
    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancellationReporter<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            let (name, id) = (self.name, self.id);
            self.client.transcript.record(&format!("upstream {name} {id} is cancelled"));
        }
    }
}

fn scripted_response(
    behaviour: ScriptedBehaviour,
    name: &str,
    id: &str,
) -> UpstreamResponse<ScriptedBody> {
    let mut chunks = VecDeque::from([Bytes::from(format!("{id} ")), Bytes::from(name.to_owned())]);
    let is_truncated = behaviour == ScriptedBehaviour::Cut;
    if is_truncated {
        chunks.pop_back();
    }
    let mut response = Response::new(ScriptedBody { chunks, is_truncated });
    match behaviour {
        ScriptedBehaviour::Fail => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        ScriptedBehaviour::PlainRefusal => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        ScriptedBehaviour::Draining => {
            response.headers_mut().insert(UPSTREAM_DRAIN_HEADER, HeaderValue::from_static("1"));
        }
        _ => {}
    }
    UpstreamResponse { response }
}

fn shed_response(is_draining: bool) -> UpstreamResponse<ScriptedBody> {
    let body =
        ScriptedBody { chunks: VecDeque::from([Bytes::from_static(b"shed")]), is_truncated: false };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(UPSTREAM_NOT_RUN_HEADER, HeaderValue::from_static("1"));
    if is_draining {
        headers.insert(UPSTREAM_DRAIN_HEADER, HeaderValue::from_static("1"));
    }
    UpstreamResponse { response }
}

pub(super) fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Response body that ends after its chunks, or with an error if it is truncated.
#[derive(Debug)]
pub(super) struct ScriptedBody {
    chunks: VecDeque<Bytes>,
    is_truncated: bool,
}

impl Body for ScriptedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.is_truncated {
            self.is_truncated = false;
            return Poll::Ready(Some(Err(std::io::Error::other("response body truncated"))));
        }
        Poll::Ready(None)
    }
}
