//! Requests and responses of callers, and the invariants that every response must keep.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use heatherfall::core::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, NOT_DISPATCHED_HEADER, NOT_RUN_HEADER,
    REQUEST_ID_HEADER, RESULT_CODE_HEADER,
};
use http::Request;
use http::request::Parts;
use http_body_util::BodyExt;

use super::entry_node::EntryNode;
use super::scripted_upstream::{ScriptedUpstreams, header_text};
use super::transcript::Transcript;
use crate::support::TEST_EPOCH_MS;

/// One line of a `send` or `start` command:
/// `ID NODE METHOD PATH [key=K] [deadline=MS] [body=TEXT] [once]`.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    pub(super) id: String,
    pub(super) node: String,
    /// Whether it must run at most once, whatever the configuration says.
    is_once: bool,
    key: Option<String>,
    deadline_ms: Option<String>,
    method: String,
    path: String,
    body: String,
}

impl CallerRequest {
    pub(super) fn parse(line: &str) -> Result<Self, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [id, node, method, path, options @ ..] = words.as_slice() else {
            return Err(format!(
                "invalid request line {line:?}, expected ID NODE METHOD PATH [OPTIONS]"
            ));
        };
        let mut request = Self {
            id: (*id).to_owned(),
            node: (*node).to_owned(),
            is_once: false,
            key: None,
            deadline_ms: None,
            method: (*method).to_owned(),
            path: (*path).to_owned(),
            body: "body".to_owned(),
        };
        for option in options {
            match option.split_once('=') {
                None if *option == "once" => request.is_once = true,
                Some(("key", value)) => request.key = Some(value.to_owned()),
                Some(("deadline", value)) => request.deadline_ms = Some(value.to_owned()),
                Some(("body", value)) => request.body = value.to_owned(),
                _ => return Err(format!("unknown request option {option:?}")),
            }
        }
        Ok(request)
    }

    fn parts(&self, key: Option<&str>) -> Result<Parts, String> {
        let mut builder = Request::builder()
            .method(self.method.as_str())
            .uri(&self.path)
            .header(REQUEST_ID_HEADER, &self.id);
        if let Some(key) = key {
            builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        if let Some(millis) = &self.deadline_ms {
            builder = builder.header(DEADLINE_HEADER, millis);
        }
        let request = builder.body(()).map_err(|error| error.to_string())?;
        Ok(request.into_parts().0)
    }
}

/// Response as a caller received it.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedResponse {
    pub(super) code: String,
    pub(super) is_not_run: bool,
    pub(super) is_not_dispatched: bool,
    pub(super) is_truncated: bool,
    pub(super) status: u16,
    body: String,
}

impl ReceivedResponse {
    fn describe(&self) -> String {
        let mut text = self.status.to_string();
        if !self.code.is_empty() {
            text.push_str(&format!(" {}", self.code));
        }
        if self.is_not_run {
            text.push_str(" not-run");
        }
        if self.is_not_dispatched {
            text.push_str(" not-dispatched");
        }
        if self.is_truncated {
            text.push_str(" cut after");
        }
        if self.code.is_empty() {
            text.push_str(&format!(" {:?}", self.body));
        }
        text
    }
}

#[derive(Debug, Default)]
struct ResponseLogState {
    requests: Vec<CallerRequest>,
    responses: BTreeMap<String, ReceivedResponse>,
    violations: Vec<String>,
    /// First request with each idempotency key.
    keys: BTreeMap<String, KeyFirstUse>,
}

#[derive(Clone, Debug)]
struct KeyFirstUse {
    body: String,
    unix_ms: u64,
}

/// All requests and responses of a scenario, with the violations of their invariants; clones share
/// them.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseLog {
    state: Arc<Mutex<ResponseLogState>>,
}

impl ResponseLog {
    /// Sends a request, reads the response to its end and checks it.
    pub(super) async fn send(
        &self,
        request: CallerRequest,
        node: Arc<EntryNode>,
        upstreams: ScriptedUpstreams,
        transcript: Transcript,
    ) {
        let id = request.id.clone();
        let summary = format!("{} {} {}", request.node, request.method, request.path);
        transcript.record(&format!("caller {id} -> {summary}"));
        self.lock().requests.push(request.clone());
        let key = self.timestamped_key(&request, &transcript);
        let Ok(parts) = request.parts(key.as_deref()) else {
            self.lock().violations.push(format!("{id} is not a valid request"));
            return;
        };
        let response = node.serve(parts, Bytes::from(request.body.clone())).await;
        let (head, mut body) = response.into_parts();
        let mut received = ReceivedResponse {
            code: header_text(&head.headers, RESULT_CODE_HEADER),
            is_not_run: head.headers.contains_key(NOT_RUN_HEADER),
            is_not_dispatched: head.headers.contains_key(NOT_DISPATCHED_HEADER),
            status: head.status.as_u16(),
            ..ReceivedResponse::default()
        };
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => {
                    let data = frame.into_data().unwrap_or_default();
                    received.body.push_str(&String::from_utf8_lossy(&data));
                }
                Err(_) => {
                    received.is_truncated = true;
                    break;
                }
            }
        }
        transcript.record(&format!("caller {id} <- {}", received.describe()));
        self.check_response(&request, &received, &upstreams);
        self.lock().responses.insert(id, received);
    }

    pub(super) fn response_to(&self, id: &str) -> Option<ReceivedResponse> {
        self.lock().responses.get(id).cloned()
    }

    /// Checks that a success is complete and belongs to this request, and that a request reported
    /// as not run or not dispatched did not run.
    fn check_response(
        &self,
        request: &CallerRequest,
        received: &ReceivedResponse,
        upstreams: &ScriptedUpstreams,
    ) {
        let id = &request.id;
        let is_success = received.status == 200;
        let is_own = self.acceptable_response_ids(request).iter().any(|id| {
            received.body.starts_with(&format!("{id} ")) && received.body.len() > id.len() + 1
        });
        if is_success && !received.is_truncated && !is_own {
            self.lock()
                .violations
                .push(format!("{id} received {:?} as a complete response", received.body));
        }
        let same_key = request.key.iter().filter(|key| {
            self.lock().keys.get(*key).is_some_and(|first| first.body == request.body)
        });
        let runs: u64 = same_key.chain([id]).map(|id| upstreams.runs_of(id)).sum();
        if received.is_not_dispatched && upstreams.runs_of(id) > 0 {
            self.lock().violations.push(format!("{id} was reported as not dispatched but ran"));
        }
        if received.is_not_run && runs > 0 {
            self.lock()
                .violations
                .push(format!("{id} was rejected as not run by {} but had run", received.code));
        }
    }

    /// The idempotency key that the caller sends: the time of its first use in Unix milliseconds,
    /// then its name.
    fn timestamped_key(&self, request: &CallerRequest, transcript: &Transcript) -> Option<String> {
        let key = request.key.as_ref()?;
        let now = TEST_EPOCH_MS + transcript.elapsed().as_millis() as u64;
        let mut state = self.lock();
        let first = state.keys.entry(key.clone());
        let first =
            first.or_insert_with(|| KeyFirstUse { body: request.body.clone(), unix_ms: now });
        Some(format!("{}-{key}", first.unix_ms))
    }

    /// Request ids whose response may be returned to `request`: its own, and those of requests with
    /// the same key and body.
    fn acceptable_response_ids(&self, request: &CallerRequest) -> Vec<String> {
        let mut ids = vec![request.id.clone()];
        for other in &self.lock().requests {
            if request.key.is_some() && other.key == request.key && other.body == request.body {
                ids.push(other.id.clone());
            }
        }
        ids
    }

    /// Violations so far, with the requests that ran more often than at most once.
    pub(super) fn violations(&self, upstreams: &ScriptedUpstreams) -> Vec<String> {
        let state = self.lock();
        let mut violations = state.violations.clone();
        for request in &state.requests {
            if !request.is_once {
                continue;
            }
            for id in request.key.iter().chain([&request.id]) {
                let runs = upstreams.runs_of(id);
                if runs > 1 {
                    violations
                        .push(format!("{id} is an at-most-once request but ran {runs} times"));
                }
            }
        }
        violations
    }

    fn lock(&self) -> MutexGuard<'_, ResponseLogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
