//! Callers: what they send, what they got, and what must hold of every answer.

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
use super::scripted_upstream::{ScriptedFleet, text_of};
use super::transcript::Transcript;
use crate::support::TEST_ORIGIN_MS;

/// One line of a `send`: `ID NODE METHOD PATH [key=K] [deadline=MS] [body=TEXT] [once]`.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    pub(super) id: String,
    pub(super) node: String,
    /// Whether it must not run twice, whatever the configuration says.
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
            return Err(format!("a request is ID NODE METHOD PATH, not {line:?}"));
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
                _ => return Err(format!("no request option {option:?}")),
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

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerAnswer {
    pub(super) code: String,
    pub(super) is_not_run: bool,
    pub(super) is_not_dispatched: bool,
    pub(super) is_cut: bool,
    pub(super) status: u16,
    body: String,
}

impl CallerAnswer {
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
        if self.is_cut {
            text.push_str(" cut after");
        }
        if self.code.is_empty() {
            text.push_str(&format!(" {:?}", self.body));
        }
        text
    }
}

#[derive(Debug, Default)]
struct AnswerState {
    requests: Vec<CallerRequest>,
    answers: BTreeMap<String, CallerAnswer>,
    faults: Vec<String>,
    /// Body and time stamp of the first request with each key.
    keys: BTreeMap<String, FirstUse>,
}

#[derive(Clone, Debug)]
struct FirstUse {
    body: String,
    unix_ms: u64,
}

/// All requests and answers of a scenario; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerLog {
    state: Arc<Mutex<AnswerState>>,
}

impl AnswerLog {
    /// Sends a request and waits for the end of its answer.
    pub(super) async fn send(
        &self,
        request: CallerRequest,
        node: Arc<EntryNode>,
        fleet: ScriptedFleet,
        transcript: Transcript,
    ) {
        let id = request.id.clone();
        let said = format!("{} {} {}", request.node, request.method, request.path);
        transcript.say(&format!("caller {id} -> {said}"));
        self.lock().requests.push(request.clone());
        let key = self.stamped_key(&request, &transcript);
        let Ok(parts) = request.parts(key.as_deref()) else {
            self.lock().faults.push(format!("{id} is not a request"));
            return;
        };
        let response = node.serve(parts, Bytes::from(request.body.clone())).await;
        let (head, mut body) = response.into_parts();
        let mut answer = CallerAnswer {
            code: text_of(&head.headers, RESULT_CODE_HEADER),
            is_not_run: head.headers.contains_key(NOT_RUN_HEADER),
            is_not_dispatched: head.headers.contains_key(NOT_DISPATCHED_HEADER),
            status: head.status.as_u16(),
            ..CallerAnswer::default()
        };
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => {
                    let data = frame.into_data().unwrap_or_default();
                    answer.body.push_str(&String::from_utf8_lossy(&data));
                }
                Err(_) => {
                    answer.is_cut = true;
                    break;
                }
            }
        }
        transcript.say(&format!("caller {id} <- {}", answer.describe()));
        self.judge_answer(&request, &answer, &fleet);
        self.lock().answers.insert(id, answer);
    }

    pub(super) fn answer_of(&self, id: &str) -> Option<CallerAnswer> {
        self.lock().answers.get(id).cloned()
    }

    /// An answer is the caller's own and whole, and "not run" is true.
    fn judge_answer(&self, request: &CallerRequest, answer: &CallerAnswer, fleet: &ScriptedFleet) {
        let id = &request.id;
        let is_success = answer.status == 200;
        let is_own = self.ids_with(request).iter().any(|id| {
            answer.body.starts_with(&format!("{id} ")) && answer.body.len() > id.len() + 1
        });
        if is_success && !answer.is_cut && !is_own {
            self.lock().faults.push(format!("{id} got {:?} as its whole answer", answer.body));
        }
        let repeated = request.key.iter().filter(|key| {
            self.lock().keys.get(*key).is_some_and(|first| first.body == request.body)
        });
        let runs: u64 = repeated.chain([id]).map(|id| fleet.runs_of(id)).sum();
        if answer.is_not_dispatched && fleet.runs_of(id) > 0 {
            self.lock().faults.push(format!("{id} was told that it was not dispatched and ran"));
        }
        if answer.is_not_run && runs > 0 {
            self.lock()
                .faults
                .push(format!("{id} was refused as not run by {} and had run", answer.code));
        }
    }

    /// The request's key with the time of its first use, as callers make them.
    fn stamped_key(&self, request: &CallerRequest, transcript: &Transcript) -> Option<String> {
        let key = request.key.as_ref()?;
        let now = TEST_ORIGIN_MS + transcript.elapsed().as_millis() as u64;
        let mut state = self.lock();
        let first = state.keys.entry(key.clone());
        let first = first.or_insert_with(|| FirstUse { body: request.body.clone(), unix_ms: now });
        Some(format!("{}-{key}", first.unix_ms))
    }

    /// Identities whose answer the request may get: its own, and those of the same key.
    fn ids_with(&self, request: &CallerRequest) -> Vec<String> {
        let mut ids = vec![request.id.clone()];
        for other in &self.lock().requests {
            if request.key.is_some() && other.key == request.key && other.body == request.body {
                ids.push(other.id.clone());
            }
        }
        ids
    }

    /// What has been broken so far.
    pub(super) fn faults(&self, fleet: &ScriptedFleet) -> Vec<String> {
        let state = self.lock();
        let mut faults = state.faults.clone();
        for request in &state.requests {
            if !request.is_once {
                continue;
            }
            for id in request.key.iter().chain([&request.id]) {
                let runs = fleet.runs_of(id);
                if runs > 1 {
                    faults.push(format!("{id} runs at most once and ran {runs} times"));
                }
            }
        }
        faults
    }

    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
