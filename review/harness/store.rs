//! Stand-in of the platform's metadata store, as `PROTOCOL.md` describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, message};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    /// JSON text.
    spec: String,
    status: String,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

/// What a store is restored from.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

#[derive(Default)]
struct State {
    /// Number of restores.
    restores: u64,
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Whether the store is down: it takes connections and calls, and answers none.
    is_down: Arc<AtomicBool>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut store = Self { shared: Arc::default(), is_down: Arc::default(), address };
        store.address = store.listen();
        store
    }

    /// The same store for one machine, which can be turned away alone: `go_down` of the result
    /// concerns those who use its address.
    pub fn for_machine(&self) -> Self {
        let mut store = Self { is_down: Arc::default(), ..self.clone() };
        store.address = store.listen();
        store
    }

    fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let served = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        address
    }

    /// The store answers nothing from now on.
    pub fn go_down(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        self.shared.1.notify_all();
    }

    /// The store answers again. A connection on which a response was lost returns nothing further.
    pub fn come_back(&self) {
        self.is_down.store(false, Ordering::SeqCst);
    }

    fn is_silent(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Copies all objects.
    pub fn copy(&self) -> Copy {
        let state = self.shared.0.lock().unwrap();
        Copy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Goes back to `copy`: what was written since is gone, and its revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.shared.0.lock().unwrap();
        state.restores += 1;
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.events.retain(|event| event.revision <= copy.revision);
    }

    /// Writes an object without a condition, as the operator, a target or another writer does. A
    /// write that changes nothing makes no event.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        let revision = state.write(kind, name, spec);
        self.shared.1.notify_all();
        revision
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head, false) else { return };
            if self.is_silent() {
                return self.hold(conn);
            }
            let (status, text) = self.call(&head, &String::from_utf8_lossy(&body));
            if self.is_silent() {
                return self.hold(conn);
            }
            let reason = if status < 300 { "OK" } else { "No" };
            let era = (self.shared.0.lock().unwrap().restores + 1).to_string();
            let fields = [("Content-Type", "application/json".to_owned()), ("Store-Era", era)];
            let bytes = message(&format!("HTTP/1.1 {status} {reason}"), &fields, text.as_bytes());
            if conn.send(&bytes).is_err() {
                return;
            }
        }
    }

    /// A connection on which a response is lost returns nothing further.
    fn hold(&self, conn: Conn) {
        while !conn.is_closed() {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn call(&self, head: &Head, body: &str) -> (u16, String) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/-/objects/");
        let (path, is_status) = match path.strip_suffix("/status") {
            Some(path) => (path, true),
            None => (path, false),
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let metadata = member(body, "metadata").unwrap_or("");
        let wanted = member(metadata, "revision").and_then(|text| text.parse().ok());
        let wanted: Option<u64> = wanted.or_else(|| number(query, "revision"));
        if head.word(0) == "GET"
            && let Some(since) = number(query, "watch")
        {
            return self.watch(kind, since, number(query, "waitMs").unwrap_or(0));
        }
        let mut state = self.shared.0.lock().unwrap();
        let result = match (head.word(0), name) {
            ("GET", None) => state.list(kind, query),
            ("GET", Some(name)) => match state.text(kind, name) {
                Some(text) => (200, text),
                None => (404, "null".to_owned()),
            },
            ("POST", None) => {
                let name = member(metadata, "name").unwrap_or("").trim_matches('"').to_owned();
                if let Some(text) = state.text(kind, &name) {
                    return (409, text);
                }
                state.write(kind, &name, member(body, "spec").unwrap_or("null"));
                (200, state.text(kind, &name).unwrap_or_default())
            }
            ("PUT" | "DELETE", Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                let Some(known) = state.objects.get(&key).cloned() else {
                    return (404, "null".to_owned());
                };
                if wanted.is_some_and(|wanted| wanted != known.revision) {
                    return (409, state.text(kind, name).unwrap_or_default());
                }
                if head.word(0) == "DELETE" {
                    let text = state.text(kind, name).unwrap_or_default();
                    state.delete(kind, name);
                    (200, text)
                } else if is_status {
                    let status = member(body, "status").unwrap_or("null").to_owned();
                    state.write_status(kind, name, &status);
                    (200, state.text(kind, name).unwrap_or_default())
                } else {
                    state.write(kind, name, member(body, "spec").unwrap_or("null"));
                    (200, state.text(kind, name).unwrap_or_default())
                }
            }
            _ => (405, "null".to_owned()),
        };
        drop(state);
        self.shared.1.notify_all();
        result
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if since > state.revision {
                return (410, "null".to_owned());
            }
            let mut events = Vec::new();
            for event in &state.events {
                if event.revision > since && event.kind == kind {
                    events.push(event.text.as_str());
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || self.is_silent() {
                let events = events.join(",");
                let revision = state.revision;
                return (200, format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn text(&self, kind: &str, name: &str) -> Option<String> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        let Object { revision, created, spec, status } = object;
        Some(format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\
             \"createRevision\":{created},\"finalizers\":[],\"deleting\":false}},\
             \"spec\":{spec},\"status\":{status}}}"
        ))
    }

    fn write(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key).cloned();
        if known.as_ref().is_some_and(|known| known.spec == spec) {
            return self.revision;
        }
        self.revision += 1;
        let (created, status) = match known {
            Some(known) => (known.created, known.status),
            None => (self.revision, "null".to_owned()),
        };
        let object = Object { revision: self.revision, created, spec: spec.to_owned(), status };
        self.objects.insert(key, object);
        self.record(kind, name);
        self.revision
    }

    fn write_status(&mut self, kind: &str, name: &str, status: &str) {
        self.revision += 1;
        let revision = self.revision;
        if let Some(object) = self.objects.get_mut(&(kind.to_owned(), name.to_owned())) {
            object.status = status.to_owned();
            object.revision = revision;
        }
        self.record(kind, name);
    }

    fn record(&mut self, kind: &str, name: &str) {
        let text = format!(
            "{{\"deleted\":false,\"object\":{}}}",
            self.text(kind, name).unwrap_or_default()
        );
        self.events.push(Event { revision: self.revision, kind: kind.to_owned(), text });
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if !self.objects.contains_key(&key) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        if let Some(object) = self.objects.get_mut(&key) {
            object.revision = revision;
        }
        let text = format!(
            "{{\"deleted\":true,\"object\":{}}}",
            self.text(kind, name).unwrap_or_default()
        );
        self.objects.remove(&key);
        self.events.push(Event { revision, kind: kind.to_owned(), text });
    }

    fn list(&self, kind: &str, query: &str) -> (u16, String) {
        let after = query.split('&').find_map(|pair| pair.strip_prefix("after=")).unwrap_or("");
        let mut items = Vec::new();
        for (own, name) in self.objects.keys() {
            if own == kind && name.as_str() > after {
                items.push(self.text(kind, name).unwrap_or_default());
            }
        }
        let has_more = items.len() > 500;
        items.truncate(500);
        let (items, revision) = (items.join(","), self.revision);
        (
            200,
            format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"storeRevision\":{revision}}}"),
        )
    }
}

fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name)?.1.parse().ok()
}

/// Text of a member of a JSON object.
fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut position = text.find('{')? + 1;
    loop {
        let start = position + text[position..].find('"')?;
        let end = value_end(bytes, start);
        let key = &text[start + 1..end - 1];
        let colon = end + text[end..].find(':')?;
        let value = colon + 1 + text[colon + 1..].find(|c: char| !c.is_whitespace())?;
        let value_until = value_end(bytes, value);
        if key == name {
            return Some(&text[value..value_until]);
        }
        position = value_until;
        let next = text[position..].find([',', '}'])?;
        if bytes[position + next] == b'}' {
            return None;
        }
        position += next + 1;
    }
}

/// End of the JSON value that begins at `start`.
fn value_end(bytes: &[u8], start: usize) -> usize {
    let (mut depth, mut is_text, mut position) = (0, false, start);
    while position < bytes.len() {
        match bytes[position] {
            b'\\' if is_text => position += 1,
            b'"' => {
                is_text = !is_text;
                if !is_text && depth == 0 {
                    return position + 1;
                }
            }
            b'{' | b'[' if !is_text => depth += 1,
            b'}' | b']' if !is_text => {
                if depth == 0 {
                    return position;
                }
                depth -= 1;
                if depth == 0 {
                    return position + 1;
                }
            }
            b',' if !is_text && depth == 0 => return position,
            _ => {}
        }
        position += 1;
    }
    position
}
