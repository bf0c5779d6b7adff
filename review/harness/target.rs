//! Stand-in of a target (server), as `PROTOCOL.md` describes it.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, message};
use crate::record::Record;
use crate::store::Store;

/// Time for which a target is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(4);

/// One execution of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub instance: String,
    pub began: Instant,
    pub ended: Option<Instant>,
    /// How it ended: `answered`, `time limit`, `caller gone`.
    pub end: &'static str,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone)]
pub struct Target {
    pub instance: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    /// Unix millisecond of the start.
    born: Arc<AtomicU64>,
    /// Number of crashes so far.
    crashes: Arc<AtomicU64>,
    /// Until when it is down after a crash.
    down_until: Arc<Mutex<Option<Instant>>>,
    /// Whether it tells its load; the targets of some services do.
    has_load: bool,
    sequence: Arc<AtomicU64>,
    running: Arc<AtomicU32>,
    /// Whether all answers have `Server-Leaving: 1`.
    pub is_leaving: Arc<AtomicBool>,
    runs: Runs,
    record: Record,
}

impl Target {
    pub fn start(
        instance: &str,
        service: &str,
        zone: &str,
        has_load: bool,
        runs: &Runs,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let target = Self {
            instance: instance.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: 4,
            address,
            born: Arc::new(since.map_or(0, |since| since.as_millis() as u64).into()),
            crashes: Arc::default(),
            down_until: Arc::default(),
            has_load,
            sequence: Arc::default(),
            running: Arc::default(),
            is_leaving: Arc::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        let served = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = served.clone();
                thread::spawn(move || target.serve(Conn::new(stream)));
            }
        });
        target
    }

    /// Writes its entry in the store.
    pub fn register(&self, store: &Store, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"warmupLeft\":\"0ms\",\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.born.load(Ordering::SeqCst),
        );
        store.put("servers", &self.instance, &spec);
    }

    /// Time left until it is up again after a crash.
    pub fn down_left(&self) -> Duration {
        let until = *self.down_until.lock().unwrap();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Whether it has started again since a crash that was not reported yet; then it writes its
    /// entry, with a new start.
    pub fn register_again(&self, store: &Store) -> bool {
        if !self.down_left().is_zero() || self.down_until.lock().unwrap().take().is_none() {
            return false;
        }
        self.born.fetch_add(1000, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.register(store, "ready");
        true
    }

    /// Loses power: it is silent for some seconds, and its connections are gone after that.
    fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::SeqCst);
        *self.down_until.lock().unwrap() = Some(Instant::now() + DOWN_TIME);
    }

    fn serve(&self, mut conn: Conn) {
        let crashes = self.crashes.load(Ordering::SeqCst);
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head, false) else { return };
            let left = self.down_left();
            if !left.is_zero() || self.crashes.load(Ordering::SeqCst) != crashes {
                thread::sleep(left);
                return;
            }
            if !self.respond(&mut conn, &head, &body) {
                return;
            }
        }
    }

    /// Answers a request; false if the connection is closed.
    fn respond(&self, conn: &mut Conn, head: &Head, _body: &[u8]) -> bool {
        let running = self.running.load(Ordering::SeqCst);
        let mut fields = vec![("Keep-Alive", "timeout=10".to_owned())];
        if self.has_load {
            fields.push(("X-Server-Load", format!("{running},0,{},100", self.slots)));
        }
        if self.is_leaving.load(Ordering::SeqCst) {
            fields.push(("Server-Leaving", "1".to_owned()));
        }
        let path = head.word(1);
        if path == "/health" {
            fields.push(("X-Instance-Id", self.instance.clone()));
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            let line = if is_leaving { "HTTP/1.1 503 Leaving" } else { "HTTP/1.1 200 OK" };
            return conn.send(&message(line, &fields, b"")).is_ok();
        }
        let Some(id) = head.get("x-attempt-id").map(str::to_owned) else {
            fields.push(("X-Not-Executed", "1".to_owned()));
            return conn.send(&message("HTTP/1.1 400 No Id", &fields, b"")).is_ok();
        };
        fields.push(("X-Attempt-Id", id.clone()));
        if head.get("x-expected-instance").is_some_and(|wanted| wanted != self.instance) {
            fields.push(("X-Instance-Id", self.instance.clone()));
            return conn.send(&message("HTTP/1.1 421 Misdirected", &fields, b"")).is_ok();
        }
        let began = Instant::now();
        let left: Option<u64> = head.get("x-time-remaining").and_then(|text| text.parse().ok());
        let limit = began + Duration::from_millis(left.unwrap_or(60_000));
        // The path names the work: `.../w150/...` takes 150 ms.
        let work = path.split('/').find_map(|part| part.strip_prefix('w')?.parse().ok());
        let done = began + Duration::from_millis(work.unwrap_or(20));
        self.running.fetch_add(1, Ordering::SeqCst);
        let (line, path) = (&self.instance, path);
        self.record.line(&format!("target {line} runs {id} {path} x-time-remaining={left:?}"));
        let index = {
            let mut runs = self.runs.lock().unwrap();
            let instance = self.instance.clone();
            runs.push(Run { id: id.clone(), instance, began, ended: None, end: "running" });
            runs.len() - 1
        };
        let mut end = "answered";
        if path.contains("/crash/") {
            self.record.line(&format!("target {} crashes under {id}", self.instance));
            self.runs.lock().unwrap()[index].end = "crash";
            self.crash();
        }
        let crashes = self.crashes.load(Ordering::SeqCst);
        while Instant::now() < done || !self.down_left().is_zero() {
            if !self.down_left().is_zero() || self.crashes.load(Ordering::SeqCst) != crashes {
                // Nothing is sent, not even the end of the connection.
                self.running.store(0, Ordering::SeqCst);
                thread::sleep(self.down_left());
                return false;
            }
            if Instant::now() >= limit {
                end = "time limit";
                break;
            }
            if conn.is_closed() {
                end = "caller gone";
                break;
            }
            let left = done.saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(10)));
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        {
            let mut runs = self.runs.lock().unwrap();
            runs[index].ended = Some(Instant::now());
            runs[index].end = end;
        }
        let millis = began.elapsed().as_millis();
        self.record.line(&format!("target {} ends {id} after {millis} ms: {end}", self.instance));
        if end == "caller gone" {
            return false;
        }
        fields.push(("X-Response-Signature", format!("proof-{id}")));
        let line = if end == "answered" { "HTTP/1.1 200 OK" } else { "HTTP/1.1 504 Time Limit" };
        conn.send(&message(line, &fields, format!("body of {id}").as_bytes())).is_ok()
    }
}
