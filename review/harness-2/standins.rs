//! Stand-ins for the scripts of this review, without dependencies: the platform's store, targets,
//! requesters, and the platform's part in starting and ending entries.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Log of what was sent, answered and run, written to `record.txt` at the end.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: String) {
        let at = self.began.elapsed().as_millis();
        self.lines.lock().unwrap().push((at, line));
    }

    /// Adds a line that is also printed.
    pub fn say(&self, line: String) {
        println!("{:7.3} s  {line}", self.began.elapsed().as_secs_f64());
        self.add(line);
    }

    /// The lines so far, with their times in milliseconds.
    pub fn lines(&self) -> Vec<(u128, String)> {
        self.lines.lock().unwrap().clone()
    }

    pub fn write(&self, path: &str) {
        let mut text = String::new();
        for (at, line) in self.lines.lock().unwrap().iter() {
            let _ = writeln!(text, "{at:>7} ms  {line}");
        }
        std::fs::write(path, text).expect("record");
    }
}

/// Pseudo-random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn bits(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.bits() >> 11) as usize % bound
    }
}

/// A loopback address of this run: each process and part has one of its own.
pub fn loopback(part: u8) -> String {
    let process = std::process::id();
    format!("127.{}.{}.{part}", 64 + (process >> 8) % 128, process % 254 + 1)
}

/// Head of a message, and its body.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head and the body of a message; `None` at the end or at an error.
pub fn read_message<R: Read>(reader: &mut BufReader<R>) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
    }
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim().split(';').next()?, 16).ok()?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&part[..size]);
        }
    } else if let Some(length) = headers.get("content-length") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    }
    Some(Message { first: first.trim_end().to_owned(), headers, body })
}

/// Text of the field `key` of a JSON object.
fn field<'a>(object: &'a str, key: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let (mut depth, mut at, mut start) = (0, 0, None);
    let mut last_string = "";
    let mut is_key_found = false;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let begin = at + 1;
                at += 1;
                while bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                if depth == 1 {
                    last_string = &object[begin..at];
                }
            }
            b':' if depth == 1 && start.is_none() && last_string == key => {
                start = Some(at + 1);
                is_key_found = true;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 && is_key_found {
                    return Some(object[start?..at].trim());
                }
            }
            b',' if depth == 1 && is_key_found => return Some(object[start?..at].trim()),
            _ => {}
        }
        at += 1;
    }
    None
}

#[derive(Clone)]
struct StoredObject {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    /// Revision, kind and text of each change.
    events: Vec<(u64, String, String)>,
}

/// The platform's store.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

fn object_text(name: &str, object: &StoredObject) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{},"createRevision":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
        object.revision, object.created, object.spec
    )
}

impl StoreState {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key).cloned();
        if let Some(known) = known.as_ref().filter(|known| known.spec == spec) {
            return object_text(name, known);
        }
        self.revision += 1;
        let created = known.map_or(self.revision, |known| known.created);
        let object = StoredObject { revision: self.revision, created, spec: spec.to_owned() };
        let text = object_text(name, &object);
        self.objects.insert(key, object);
        let event = format!(r#"{{"deleted":false,"object":{text}}}"#);
        self.events.push((self.revision, kind.to_owned(), event));
        text
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<String> {
        let mut object = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        object.revision = self.revision;
        let text = object_text(name, &object);
        let event = format!(r#"{{"deleted":true,"object":{text}}}"#);
        self.events.push((self.revision, kind.to_owned(), event));
        Some(text)
    }
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl Store {
    /// Starts at a revision above 0 and serves at `address`.
    pub fn serve(address: &str) -> Self {
        let store = Self::default();
        store.shared.0.lock().unwrap().revision = 100;
        store.serve_with(address, String::new(), String::new());
        store
    }

    /// Serves at a further address, with `to` in place of `from` in its answers; both are loopback
    /// addresses.
    pub fn serve_with(&self, address: &str, from: String, to: String) {
        let listener = TcpListener::bind(address).expect("store address");
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, from, to) = (served.clone(), from.clone(), to.clone());
                thread::spawn(move || store.serve_connection(stream, &from, &to));
            }
        });
    }

    /// Writes an object, as the operator or a target does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.shared.0.lock().unwrap().put(kind, name, spec);
        self.shared.1.notify_all();
    }

    /// Removes an object, as a target that has left does.
    pub fn delete(&self, kind: &str, name: &str) {
        self.shared.0.lock().unwrap().delete(kind, name);
        self.shared.1.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream, from: &str, to: &str) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (status, mut body) = self.call(&request);
            if !from.is_empty() {
                body = body.replace(from, to);
            }
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &Message) -> (u16, String) {
        let mut words = request.first.split(' ');
        let method = words.next().unwrap_or_default();
        let target = words.next().unwrap_or_default();
        let path = target.split('?').next().unwrap_or_default();
        let path = path.trim_start_matches("/-/objects/");
        let (kind, name) = path.split_once('/').map_or((path, None), |(kind, rest)| {
            (kind, Some(rest.trim_end_matches("/status")))
        });
        if method == "GET" && name.is_none() {
            if let Some(since) = query(target, "watch").and_then(|since| since.parse().ok()) {
                let wait = query(target, "waitMs").and_then(|wait| wait.parse().ok());
                return self.watch(kind, since, Duration::from_millis(wait.unwrap_or(0)));
            }
            let after = query(target, "after").unwrap_or_default();
            let state = self.shared.0.lock().unwrap();
            let mut items = Vec::new();
            for ((own, name), object) in &state.objects {
                if own == kind && name.as_str() > after {
                    items.push(object_text(name, object));
                }
            }
            let has_more = items.len() > 500;
            items.truncate(500);
            let body = format!(
                r#"{{"items":[{}],"hasMore":{has_more},"storeRevision":{}}}"#,
                items.join(","),
                state.revision
            );
            return (200, body);
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = field(&body, "metadata").unwrap_or_default();
        let spec = field(&body, "spec").unwrap_or("null");
        let posted = field(metadata, "name").unwrap_or_default().trim_matches('"');
        let name = name.unwrap_or(posted);
        let mut state = self.shared.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let wanted = field(metadata, "revision").or(query(target, "revision"));
        let wanted: Option<u64> = wanted.and_then(|revision| revision.parse().ok());
        let result = match (method, known) {
            ("GET", Some(known)) => (200, object_text(name, &known)),
            ("POST", Some(known)) => (409, object_text(name, &known)),
            ("POST", None) => (200, state.put(kind, name, spec)),
            (_, None) => (404, "{}".to_owned()),
            (_, Some(known)) if wanted.is_some_and(|wanted| wanted != known.revision) => {
                (409, object_text(name, &known))
            }
            ("DELETE", Some(_)) => (200, state.delete(kind, name).unwrap_or_default()),
            (_, Some(_)) => (200, state.put(kind, name, spec)),
        };
        drop(state);
        self.shared.1.notify_all();
        result
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if since > state.revision {
                return (410, "{}".to_owned());
            }
            let mut events = Vec::new();
            for (revision, changed, event) in &state.events {
                if *revision > since && changed == kind {
                    events.push(event.clone());
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                return (200, format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the end of a connection a reset.
fn reset_at_end(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    // Sound: the descriptor is open, and the value has the length of a `struct linger`.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// The way of one zone's machines to all targets. It goes over addresses of its own, which take the place
/// of the targets' in what the store answers these machines, so that it can be cut.
#[derive(Clone)]
pub struct ZonePath {
    /// Loopback address that takes the place of the targets'.
    pub ip: String,
    /// While it is cut, connections are reset, new ones too.
    pub is_cut: Arc<AtomicBool>,
}

impl ZonePath {
    pub fn new(part: u8) -> Self {
        Self { ip: loopback(part), is_cut: Arc::default() }
    }
}

/// What a target is, as it says of itself in the store.
#[derive(Clone)]
pub struct TargetSettings {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: String,
    pub slots: u32,
    pub work: Duration,
}

/// A sound target, which records what it runs.
#[derive(Clone)]
pub struct Target {
    pub settings: TargetSettings,
    running: Arc<AtomicU32>,
    runs: Arc<AtomicU64>,
    /// Number of crashes. While it is odd, the target is down.
    crashes: Arc<AtomicU64>,
    /// Whether it drops a request when its connection closes.
    drops_requests: Arc<AtomicBool>,
    record: Record,
}

/// Part of the path of a request that crashes the target that begins to run it.
pub const CRASHING: &str = "/crashes/";
/// The same for a target that has sent the head and half of the body of its answer by then.
pub const CRASHING_IN_ANSWER: &str = "/breaks/";
/// Time between the first half of such an answer and the crash.
const ANSWERING: Duration = Duration::from_millis(20);
/// Time between two writes of a target to the store.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time after which a target that has crashed is back.
const BACK_AFTER: Duration = Duration::from_millis(2500);

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

impl Target {
    /// Serves, and writes to the store as often as a target does.
    pub fn start(settings: TargetSettings, store: &Store, record: &Record) -> Self {
        let record = record.clone();
        let (running, runs, crashes) = (Arc::default(), Arc::default(), Arc::default());
        let drops_requests = Arc::default();
        let target = Self { settings, running, runs, crashes, drops_requests, record };
        target.serve(&target.settings.address, Arc::default());
        let (store, written) = (store.clone(), target.clone());
        thread::spawn(move || {
            let TargetSettings { name, service, zone, address, slots, .. } = &written.settings;
            let (mut crashes, mut born) = (0, unix_ms());
            loop {
                let known = written.crashes.load(Ordering::Relaxed);
                if known != crashes {
                    (crashes, born) = (known, unix_ms());
                }
                // While it is down it writes nothing, and after that it has another start.
                if known % 2 == 0 {
                    // The entry changes only when more than the number changes.
                    let spec = format!(
                        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","warmupLeft":"0ms","sequence":1,"born":{born}}}"#
                    );
                    store.put("servers", name, &spec);
                }
                let written_at = Instant::now();
                while written_at.elapsed() < HEARTBEAT
                    && written.crashes.load(Ordering::Relaxed) == crashes
                {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
        target
    }

    /// Lets it drop a request when its connection closes, as most targets do.
    pub fn drop_requests(&self) {
        self.drops_requests.store(true, Ordering::Relaxed);
    }

    /// Serves the machines of a zone over their own path too.
    pub fn serve_path(&self, path: &ZonePath) {
        let port = self.settings.address.rsplit(':').next().unwrap_or_default();
        self.serve(&format!("{}:{port}", path.ip), path.is_cut.clone());
    }

    fn serve(&self, address: &str, is_cut: Arc<AtomicBool>) {
        let mut listener = TcpListener::bind(address).expect("target address");
        let (served, address) = (self.clone(), address.to_owned());
        thread::spawn(move || {
            let mut lifetime = 0;
            loop {
                loop {
                    let accepted = listener.accept();
                    if served.crashes.load(Ordering::Relaxed) != lifetime {
                        break;
                    }
                    let Ok((stream, _)) = accepted else { continue };
                    let (target, is_cut) = (served.clone(), is_cut.clone());
                    thread::spawn(move || target.serve_connection(stream, lifetime, &is_cut));
                }
                drop(listener);
                lifetime += 2;
                while served.crashes.load(Ordering::Relaxed) < lifetime {
                    thread::sleep(Duration::from_millis(5));
                }
                listener = TcpListener::bind(&address).expect("the former address");
            }
        });
    }

    /// Ends all connections and the listeners for some time.
    fn crash(&self, id: &str) {
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.record.add(format!("crash id={id} target={}", self.settings.name));
        let target = self.clone();
        thread::spawn(move || {
            // Wakes the listener, which then ends.
            drop(TcpStream::connect(&target.settings.address));
            thread::sleep(BACK_AFTER);
            target.running.store(0, Ordering::Relaxed);
            target.crashes.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Times that it has crashed.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::Relaxed).div_ceil(2)
    }

    /// Requests that it has run.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }

    fn serve_connection(&self, stream: TcpStream, lifetime: u64, is_cut: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let is_cut = || {
            is_cut.load(Ordering::Relaxed) || self.crashes.load(Ordering::Relaxed) != lifetime
        };
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            // Waits for the next request, or the cut.
            let _ = writer.set_read_timeout(Some(Duration::from_millis(20)));
            while reader.buffer().is_empty() {
                if is_cut() {
                    return reset_at_end(&writer);
                }
                match writer.peek(&mut [0]) {
                    Ok(_) => break,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
            let _ = writer.set_read_timeout(None);
            let Some(request) = read_message(&mut reader) else { return };
            if is_cut() {
                return reset_at_end(&writer);
            }
            let response = self.respond(&request, &writer);
            if is_cut() {
                return reset_at_end(&writer);
            }
            if request.first.contains(CRASHING_IN_ANSWER) && response.starts_with("HTTP/1.1 200 ") {
                let body = response.find("\r\n\r\n").map_or(0, |end| end + 4);
                let half = body + (response.len() - body) / 2;
                let _ = writer.write_all(&response.as_bytes()[..half]);
                thread::sleep(ANSWERING);
                self.crash(request.header("x-attempt-id"));
                return reset_at_end(&writer);
            }
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Works on a request; false if its connection has closed.
    fn work(&self, stream: &TcpStream) -> bool {
        if !self.drops_requests.load(Ordering::Relaxed) {
            thread::sleep(self.settings.work);
            return true;
        }
        let began = Instant::now();
        let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
        let mut is_open = true;
        while is_open && began.elapsed() < self.settings.work {
            is_open = match stream.peek(&mut [0]) {
                Ok(count) => count > 0,
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            };
        }
        let _ = stream.set_read_timeout(None);
        is_open
    }

    fn respond(&self, request: &Message, stream: &TcpStream) -> String {
        let TargetSettings { name, slots, .. } = &self.settings;
        let load = format!("X-Server-Load: {},0,{slots},100", self.running.load(Ordering::Relaxed));
        if request.first.starts_with("GET /health ") {
            return format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {name}\r\n{load}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let id = request.header("x-attempt-id");
        let refused = |status: &str, mark: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{load}\r\n{mark}Content-Length: 0\r\n\r\n"
            )
        };
        if id.is_empty() {
            return refused("400 Bad Request", "X-Not-Executed: 1\r\n");
        }
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != name {
            return refused("421 Misdirected Request", &format!("X-Instance-Id: {name}\r\n"));
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= slots * 4 {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return refused("503 Service Unavailable", "X-Not-Executed: 1\r\n");
        }
        self.runs.fetch_add(1, Ordering::Relaxed);
        let tenant = request.header("x-tenant");
        self.record.add(format!("run id={id} target={name} tenant={tenant}"));
        if request.first.contains(CRASHING) {
            self.crash(id);
        }
        let is_done = self.work(stream);
        self.record.add(format!("{} id={id} target={name}", if is_done { "done" } else { "dropped" }));
        let _ = self.running.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |running| running.checked_sub(1));
        let body = format!("answer to {id}");
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n{load}\r\nX-Response-Signature: proof.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

/// A machine that runs an entry.
pub struct Machine {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
    settings: String,
    log: String,
    folder: String,
    program: String,
}

/// What the platform fills into the template of settings.
pub struct MachineSettings<'a> {
    pub name: String,
    pub zone: &'a str,
    /// Last part of its loopback address.
    pub part: u8,
    pub store: &'a str,
    pub zones: &'a [&'a str],
    pub folder: &'a str,
    /// Settings by the bounds of the sheet.
    pub terms: &'a str,
}

/// Bounds of the sheet of `haddad-farm-grown`, as the template turns them into settings.
pub const HADDAD_TERMS: &str = r#""repeats": { "ratio": 0.2, "extra": 210, "window": "10s" },
  "changes": { "config": "2500ms", "drain": "2500ms", "heartbeat": "1500ms" },
  "probes": { "max_per_second": 42 },
  "evacuation": { "bound": "5000ms" },
  "warm_up": { "overage": 1.5, "slack": 8 },
  "quota": { "window": "5s", "overage": 0.1, "slack": 20 },"#;

/// The same for `caunoi-gw`.
pub const CAUNOI_TERMS: &str = r#""repeats": { "ratio": 0.2, "extra": 62, "window": "10s" },
  "changes": { "config": "2000ms", "drain": "2000ms", "heartbeat": "1500ms" },
  "probes": { "max_per_second": 60 },"#;

impl Machine {
    /// Writes the settings as `deploy/node.jsonc` has them, with the bounds of the sheets.
    pub fn new(machine: MachineSettings<'_>) -> Self {
        let MachineSettings { name, zone, part, store, zones, folder, terms } = machine;
        let ip = loopback(part);
        let regions: Vec<String> = zones.iter().map(|zone| format!(r#""{zone}":"r""#)).collect();
        let text = format!(
            r#"{{
  "vm": "{name}", "failure_domain": "{zone}",
  "listen": {{ "callers": "{ip}:8404", "ready": "{ip}:8406", "directory": "{ip}:8408",
               "control": "{ip}:7135", "peers": "{ip}:7120" }},
  "store": "{store}",
  "directory": {{ "lifetime": "5s" }},
  "memory_mb": 260,
  "pipelining": {{ "max_ahead": 8 }},
  "regions": {{ {} }},
  {terms}
  "shutdown": {{ "grace": "6s" }},
  "log": {{ "format": "json", "level": "INFO" }}
}}
"#,
            regions.join(", ")
        );
        let settings = format!("{folder}/{name}.conf");
        std::fs::write(&settings, text).expect("settings");
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        let program = std::env::var("ENTRY").expect("ENTRY names the program of the deploy file");
        let log = format!("{folder}/{name}.log");
        let (callers, ready, folder) = (address(8404), address(8406), folder.to_owned());
        Self { name, callers, ready, child: None, settings, log, folder, program }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let child = Command::new(&self.program)
            .env_clear()
            .env("HEATHERFALL_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn()
            .expect("the entry starts");
        // For `run.sh`, in case that this program is ended.
        let pids = format!("{}/pids", self.folder);
        let mut pids = File::options().create(true).append(true).open(pids).expect("pids");
        let _ = writeln!(pids, "{}", child.id());
        self.child = Some(child);
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    /// Waits until the process has ended by itself; ends it at the end of `grace`, as the platform does.
    pub fn wait_until_ended(&mut self, grace: Duration) {
        let began = Instant::now();
        while began.elapsed() < grace {
            if self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|end| end.is_some())) {
                self.child = None;
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.lose_power();
    }

    /// Ends the process at once, as a machine that loses power does.
    pub fn lose_power(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the platform's readiness check gets a 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = "GET /-/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        read_message(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.lose_power();
    }
}

/// A request of a requester, as it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    /// Entry of its first try, and the status that this try got; 0 without an answer.
    pub first: (SocketAddr, u16),
    /// Status of its last try; 0 without an answer.
    pub status: u16,
}

/// Sends one request, and again after a refusal, as a sound requester does.
pub struct Requester {
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub key: String,
    pub time_limit: Duration,
    pub retries: u32,
}

impl Requester {
    /// `entries` are the addresses to choose from.
    pub fn send(&self, entries: &[SocketAddr], seed: u64, record: &Record) -> Sent {
        let began = Instant::now();
        let mut random = Random::new(seed);
        let mut status = 0;
        let mut first = None;
        for attempt in 0..=self.retries {
            let left = self.time_limit.saturating_sub(began.elapsed());
            let entry = entries[random.below(entries.len())];
            let id = format!("{:016x}", random.bits());
            record.add(format!("sent id={id} try={attempt} key={} to={entry}", self.key));
            let answer = self.attempt(entry, &id, left);
            status = answer.as_ref().map_or(0, Message::status);
            let after = answer.as_ref().map_or("", |answer| answer.header("retry-after")).to_owned();
            record.add(format!("answered id={id} status={status} retry_after={after}"));
            if status == 200 {
                let is_own = answer.is_some_and(|answer| {
                    answer.header("x-response-signature") == format!("proof.{id}")
                });
                status = if is_own { 200 } else { 0 };
            }
            first.get_or_insert((entry, status));
            if status == 200 {
                break;
            }
            if !matches!(status, 408 | 421 | 429 | 503) {
                break;
            }
            let left = self.time_limit.saturating_sub(began.elapsed());
            let after = Duration::try_from_secs_f64(after.parse().unwrap_or(0.1)).unwrap_or_default();
            thread::sleep(after.min(left / 3));
        }
        Sent { at: began, first: first.unwrap_or((entries[0], 0)), status }
    }

    fn attempt(&self, entry: SocketAddr, id: &str, left: Duration) -> Option<Message> {
        let connect = Duration::from_secs(1).min(left.max(Duration::from_millis(1)));
        let mut stream = TcpStream::connect_timeout(&entry, connect).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        let Self { method, host, path, key, .. } = self;
        let key = if key.is_empty() { String::new() } else { format!("Api-Key: {key}\r\n") };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{key}Content-Length: 0\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: {}\r\n\r\n",
            left.as_millis()
        );
        stream.write_all(request.as_bytes()).ok()?;
        read_message(&mut BufReader::new(stream))
    }
}

/// A flag that ends threads.
pub type Stop = Arc<AtomicBool>;
