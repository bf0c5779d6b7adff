//! Upstreams played by a script, at the edge of [`UpstreamClient`].

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

/// Time that an upstream works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// What an upstream does with every request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum ScriptedBehaviour {
    /// Runs it and answers.
    #[default]
    Good,
    /// Runs it, answers after ten times the usual time.
    Slow,
    /// Refuses it with the not-run mark.
    Shed,
    /// The same, with the drain mark.
    ShedDraining,
    /// Runs it and answers with the drain mark.
    Draining,
    /// Refuses the connection.
    Refuse,
    /// Runs it and answers with a server error.
    Fail,
    /// Refuses it with a plain 503, which proves nothing; it ran.
    PlainRefusal,
    /// Runs it and breaks the connection before the answer.
    Break,
    /// Runs it and cuts the answer in the middle.
    Cut,
    /// Runs it and sends an answer whose end cannot be verified.
    Endless,
    /// Runs it and never answers.
    Silent,
    /// Open connections are silent and run nothing; fresh ones work.
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
            _ => return Err(std::io::Error::other(format!("no behaviour {text}"))),
        })
    }
}

#[derive(Debug, Default)]
struct FleetState {
    behaviours: BTreeMap<String, ScriptedBehaviour>,
    /// Runs by request identity and by idempotency key.
    runs: BTreeMap<String, u64>,
}

/// All upstreams; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct ScriptedFleet {
    state: Arc<Mutex<FleetState>>,
}

impl ScriptedFleet {
    pub(super) fn set(&self, name: &str, behaviour: ScriptedBehaviour) {
        self.lock().behaviours.insert(name.to_owned(), behaviour);
    }

    /// How often the request with this identity, or with this idempotency key, ran.
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
            // A key is told by its name: the time of its first use is left out.
            let id = id.split_once('-').map_or(id, |(_, name)| name);
            *self.lock().runs.entry(id.to_owned()).or_default() += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One entry node's client of the fleet.
#[derive(Clone, Debug)]
pub(super) struct ScriptedClient {
    pub(super) node: String,
    pub(super) fleet: ScriptedFleet,
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
        self.gate.pass().await;
        let id = text_of(&request.headers, REQUEST_ID_HEADER);
        let connection = match request.connection {
            ConnectionPolicy::AnyPooled => "pooled",
            ConnectionPolicy::NewOrVerified => "proven",
        };
        let left = text_of(&request.headers, DEADLINE_HEADER);
        let (node, name) = (&self.node, &upstream.name);
        self.transcript.say(&format!("entry {node} {id} -> {name} {connection} {left}ms left"));
        let outcome = self.play(name, &id, request).await;
        self.gate.pass().await;
        outcome
    }
}

impl ScriptedClient {
    async fn play(
        &self,
        name: &str,
        id: &str,
        request: AttemptRequest,
    ) -> AttemptOutcome<ScriptedBody> {
        let behaviour = self.fleet.behaviour_of(name);
        let say = |text: &str| self.transcript.say(&format!("upstream {name} {id} {text}"));
        match behaviour {
            ScriptedBehaviour::Refuse => {
                say("refuses the connection");
                return AttemptOutcome::NotRun(NotRunProof::ConnectFailed);
            }
            ScriptedBehaviour::Shed | ScriptedBehaviour::ShedDraining => {
                say("sheds");
                let is_draining = behaviour == ScriptedBehaviour::ShedDraining;
                return AttemptOutcome::Answered(shed_answer(is_draining));
            }
            ScriptedBehaviour::StaleConnections
                if request.connection == ConnectionPolicy::AnyPooled =>
            {
                say("never sees it");
                return std::future::pending().await;
            }
            _ => {}
        }
        let cancelled = CancelReport { client: self, name, id, is_armed: true };
        self.fleet.count_run(&request.headers);
        say("runs it");
        let factor = if behaviour == ScriptedBehaviour::Slow { 10 } else { 1 };
        tokio::time::sleep(SERVICE_TIME * factor).await;
        if behaviour == ScriptedBehaviour::Silent {
            std::future::pending::<()>().await;
        }
        cancelled.disarm();
        match behaviour {
            ScriptedBehaviour::Break => AttemptOutcome::Unknown(UnknownCause::ConnectionBroken),
            ScriptedBehaviour::Endless => AttemptOutcome::Unknown(UnknownCause::AnswerNotWhole),
            _ => AttemptOutcome::Answered(answer_of(behaviour, name, id)),
        }
    }
}

/// Says that an attempt was given up, when it is dropped before its end.
struct CancelReport<'a> {
    client: &'a ScriptedClient,
    name: &'a str,
    id: &'a str,
    is_armed: bool,
}

impl CancelReport<'_> {
    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelReport<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            let (name, id) = (self.name, self.id);
            self.client.transcript.say(&format!("upstream {name} {id} is cancelled"));
        }
    }
}

fn answer_of(behaviour: ScriptedBehaviour, name: &str, id: &str) -> UpstreamResponse<ScriptedBody> {
    let mut chunks = VecDeque::from([Bytes::from(format!("{id} ")), Bytes::from(name.to_owned())]);
    let is_cut = behaviour == ScriptedBehaviour::Cut;
    if is_cut {
        chunks.pop_back();
    }
    let mut response = Response::new(ScriptedBody { chunks, is_cut });
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

fn shed_answer(is_draining: bool) -> UpstreamResponse<ScriptedBody> {
    let body =
        ScriptedBody { chunks: VecDeque::from([Bytes::from_static(b"shed")]), is_cut: false };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(UPSTREAM_NOT_RUN_HEADER, HeaderValue::from_static("1"));
    if is_draining {
        headers.insert(UPSTREAM_DRAIN_HEADER, HeaderValue::from_static("1"));
    }
    UpstreamResponse { response }
}

pub(super) fn text_of(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// An answer's body, whole or cut.
#[derive(Debug)]
pub(super) struct ScriptedBody {
    chunks: VecDeque<Bytes>,
    is_cut: bool,
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
        if self.is_cut {
            self.is_cut = false;
            return Poll::Ready(Some(Err(std::io::Error::other("cut"))));
        }
        Poll::Ready(None)
    }
}
