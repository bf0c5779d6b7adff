//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};
use crate::json;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Objects and bytes of a page of a list.
const PAGE_OBJECTS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
/// Largest value, as the settings say.
pub const VALUE_BYTES: usize = 1_048_576;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The store; clones share its objects.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"createRevision\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key)
            && known.spec == spec
        {
            return object_text(name, known);
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |known| known.created);
        let object = Object { revision: self.revision, created, spec: spec.to_owned() };
        let text = object_text(name, &object);
        self.objects.insert(key, object);
        self.record(kind, format!("{{\"object\":{text},\"deleted\":false}}"));
        text
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<String> {
        let mut object = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        object.revision = self.revision;
        let text = object_text(name, &object);
        self.record(kind, format!("{{\"object\":{text},\"deleted\":true}}"));
        Some(text)
    }

    fn record(&mut self, kind: &str, text: String) {
        self.events.push(Event { revision: self.revision, kind: kind.to_owned(), text });
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let mut items = String::new();
        let (mut count, mut has_more) = (0, false);
        for ((known, name), object) in &self.objects {
            if known != kind || name.as_str() <= after {
                continue;
            }
            let text = object_text(name, object);
            if count == PAGE_OBJECTS || (count > 0 && items.len() + text.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            if count > 0 {
                items.push(',');
            }
            items.push_str(&text);
            count += 1;
        }
        let revision = self.revision;
        format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"storeRevision\":{revision}}}")
    }

    fn changes(&self, kind: &str, since: u64) -> String {
        let events: Vec<&str> = self
            .events
            .iter()
            .filter(|event| event.kind == kind && event.revision > since)
            .map(|event| event.text.as_str())
            .collect();
        format!("{{\"events\":[{}],\"storeRevision\":{}}}", events.join(","), self.revision)
    }

    fn has_change(&self, kind: &str, since: u64) -> bool {
        self.events.iter().any(|event| event.kind == kind && event.revision > since)
    }
}

fn query(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { revision: 100, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(message) = connection.read_message() {
                        let (status, body) = store.answer(&message);
                        thread::sleep(ANSWER_TIME);
                        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
                        let bytes = response(status, &headers, body.as_bytes());
                        if connection.write(&bytes).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Writes an object, as the operator, a target or another writer does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        assert!(spec.len() <= VALUE_BYTES, "the store takes no such value");
        let (state, changed) = &*self.state;
        state.lock().unwrap().put(kind, name, spec);
        changed.notify_all();
    }

    fn answer(&self, message: &Message) -> (&'static str, String) {
        let (state, changed) = &*self.state;
        let path = message.word(1).to_owned();
        let plain = path.split('?').next().unwrap_or("").trim_start_matches("/-/objects/");
        let (kind, name) = plain.split_once('/').unwrap_or((plain, ""));
        let body = String::from_utf8_lossy(&message.body).into_owned();
        let metadata = json::field(&body, "metadata").unwrap_or("{}").to_owned();
        let wanted = json::field(&metadata, "revision").map(str::to_owned);
        let wanted = wanted.or_else(|| query(&path, "revision"));
        let spec = json::field(&body, "spec").unwrap_or("null").to_owned();
        let mut state = state.lock().unwrap();
        let present = |state: &State, name: &str| {
            let key = (kind.to_owned(), name.to_owned());
            state.objects.get(&key).map(|object| (object.revision, object_text(name, object)))
        };
        match message.word(0) {
            "GET" if !name.is_empty() => match present(&state, name) {
                Some((_, text)) => ("200 OK", text),
                None => ("404 Not Found", "{}".to_owned()),
            },
            "GET" => {
                let since = query(&path, "watch").and_then(|since| since.parse().ok());
                let Some(since) = since else {
                    return (
                        "200 OK",
                        state.list(kind, &query(&path, "after").unwrap_or_default()),
                    );
                };
                if since > state.revision {
                    return ("410 Gone", "{}".to_owned());
                }
                let wait = query(&path, "waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                while !state.has_change(kind, since) {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
                ("200 OK", state.changes(kind, since))
            }
            "POST" => {
                let name = json::field(&metadata, "name").and_then(json::text).unwrap_or("");
                match present(&state, name) {
                    Some((_, text)) => ("409 Conflict", text),
                    None => ("200 OK", state.put(kind, name, &spec)),
                }
            }
            "PUT" | "DELETE" => {
                let Some((revision, text)) = present(&state, name) else {
                    return ("404 Not Found", "{}".to_owned());
                };
                if wanted.is_some_and(|wanted| wanted != revision.to_string()) {
                    return ("409 Conflict", text);
                }
                if message.word(0) == "DELETE" {
                    return ("200 OK", state.delete(kind, name).unwrap_or_default());
                }
                ("200 OK", state.put(kind, name, &spec))
            }
            _ => ("405 Method Not Allowed", "{}".to_owned()),
        }
    }
}
