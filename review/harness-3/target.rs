//! Stand-in of the platform's targets.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, response};
use crate::record::Record;
use crate::store::Store;

pub const SLOTS: u32 = 4;
/// Body of an answer without a length.
pub const WHOLE_BYTES: usize = 4000;

/// How a target treats requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Runs them for this many milliseconds.
    Sound(u64),
    /// Full for a moment: rejects a request as not run when it comes first, after this many
    /// milliseconds, and runs it for 2 ms when it comes again.
    RejectsFirst(u64),
    /// The same, and sends one in so many of its rejections once more where the next answer is due.
    RejectsFirstTwice(u64, u32),
    /// Rejects this many of 100 requests as not run, and runs the others for 20 ms.
    Sheds(u32),
    /// Runs requests for 40 ms, and breaks off each answer of this number.
    BreaksOff(u32),
    /// Answers one in so many requests without a length, with this version of HTTP, and resets the
    /// connection halfway; runs the others for 20 ms.
    ResetsUnframed(&'static str, u32),
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub instance: String,
    pub at: Instant,
}

/// Runs by the id of the request, on all targets.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

/// A target; clones share its state.
#[derive(Clone)]
pub struct Target {
    pub instance: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born_ms: u128,
    mode: Arc<Mutex<Mode>>,
    running: Arc<AtomicU32>,
    served: Arc<AtomicU32>,
    /// Arrivals of requests by id, also of those that were rejected.
    pub arrivals: Runs,
    pub runs: Runs,
    record: Record,
}

impl Target {
    pub fn start(
        instance: &str,
        service: &str,
        zone: &str,
        mode: Mode,
        (arrivals, runs): (&Runs, &Runs),
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let target = Self {
            instance: instance.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            born_ms: born.as_millis(),
            mode: Arc::new(Mutex::new(mode)),
            running: Arc::default(),
            served: Arc::default(),
            arrivals: Arc::clone(arrivals),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        let served = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = served.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while target.serve_next(&mut connection).is_ok() {}
                });
            }
        });
        Ok(target)
    }

    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Registers the target in the store.
    pub fn register(&self, store: &Store) {
        let Self { instance, service, zone, address, born_ms, .. } = self;
        store.put("servers", instance, &format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"warmupLeft\":\"0ms\",\"sequence\":1,\"born\":{born_ms}}}"
        ));
    }

    fn arrivals_here(&self, id: &str) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let known = arrivals.get(id).map_or(&[][..], Vec::as_slice);
        known.iter().filter(|run| run.instance == self.instance).count()
    }

    fn load(&self) -> String {
        format!("{},0,{SLOTS},100", self.running.load(Ordering::SeqCst))
    }

    fn answer(&self, status: &str, id: &str, more: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
        let load = self.load();
        let mut headers = vec![("X-Attempt-Id", id), ("X-Server-Load", load.as_str())];
        headers.extend_from_slice(more);
        response(status, &headers, body)
    }

    fn serve_next(&self, connection: &mut Connection) -> io::Result<()> {
        let mut message = connection.read_head()?;
        if message.word(1) == "/health" {
            let load = self.load();
            let headers =
                [("X-Instance-Id", self.instance.as_str()), ("X-Server-Load", load.as_str())];
            return connection.write(&response("200 OK", &headers, b""));
        }
        let id = message.header("x-attempt-id").unwrap_or("").to_owned();
        let run = Run { instance: self.instance.clone(), at: Instant::now() };
        self.arrivals.lock().unwrap().entry(id.clone()).or_default().push(run.clone());
        if message.header("x-expected-instance") != Some(&self.instance) {
            connection.read_body(&mut message)?;
            let more = [("X-Instance-Id", self.instance.as_str()), ("X-Not-Executed", "1")];
            return connection.write(&self.answer("421 Misdirected Request", &id, &more, b""));
        }
        let mode = *self.mode.lock().unwrap();
        match mode {
            Mode::BreaksOff(every) => {
                let number = self.served.fetch_add(1, Ordering::SeqCst) + 1;
                if number % every != 0 {
                    return self.run(connection, &mut message, &id, 40);
                }
                connection.read_body(&mut message)?;
                self.record.line(&format!("{} runs {id} and breaks its answer off", self.instance));
                thread::sleep(Duration::from_millis(40));
                let more = [("X-Response-Signature", "3e1b.07.5a2")];
                let answer = self.answer("200 OK", &id, &more, &[b'x'; 4000]);
                connection.write(&answer[..answer.len() - 2000])?;
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            Mode::ResetsUnframed(version, every) => {
                let number = self.served.fetch_add(1, Ordering::SeqCst) + 1;
                if number % every != 0 {
                    return self.run(connection, &mut message, &id, 20);
                }
                self.record.line(&format!("{} runs {id}, its answer is reset", self.instance));
                let run = Run { instance: self.instance.clone(), at: Instant::now() };
                self.runs.lock().unwrap().entry(id.clone()).or_default().push(run);
                let head = format!(
                    "{version} 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: 3e1b.07.5a2\r\n\r\n"
                );
                connection.write(head.as_bytes())?;
                connection.write(&[b'x'; WHOLE_BYTES / 2])?;
                thread::sleep(Duration::from_millis(50));
                // A connection that is closed with unread bytes, here the request's body, is reset.
                Err(io::ErrorKind::ConnectionReset.into())
            }
            Mode::Sheds(percent) => {
                let number = self.served.fetch_add(1, Ordering::SeqCst);
                // Evenly spread over the requests.
                let is_shed = (number + 1) * percent / 100 > number * percent / 100;
                if !is_shed {
                    return self.run(connection, &mut message, &id, 20);
                }
                connection.read_body(&mut message)?;
                let more = [("X-Not-Executed", "1")];
                connection.write(&self.answer("503 Service Unavailable", &id, &more, b""))
            }
            Mode::RejectsFirst(pause) | Mode::RejectsFirstTwice(pause, _) => {
                let number = self.served.fetch_add(1, Ordering::SeqCst) + 1;
                if self.arrivals_here(&id) > 1 {
                    return self.run(connection, &mut message, &id, 2);
                }
                connection.read_body(&mut message)?;
                thread::sleep(Duration::from_millis(pause));
                let more = [("X-Not-Executed", "1")];
                let rejection = self.answer("503 Service Unavailable", &id, &more, b"");
                self.record.line(&format!("{} rejects {id} as not run", self.instance));
                connection.write(&rejection)?;
                match mode {
                    Mode::RejectsFirstTwice(_, every) if number % every == 0 => {
                        self.serve_behind(connection, &rejection, &id)
                    }
                    _ => Ok(()),
                }
            }
            Mode::Sound(time) => self.run(connection, &mut message, &id, time),
        }
    }

    /// Runs the next request on the connection, and sends another answer before its own.
    fn serve_behind(
        &self,
        connection: &mut Connection,
        extra: &[u8],
        extra_id: &str,
    ) -> io::Result<()> {
        let mut message = connection.read_head()?;
        self.record.line(&format!("{} sends its answer to {extra_id} once more", self.instance));
        connection.write(extra)?;
        if message.word(1) == "/health" {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let id = message.header("x-attempt-id").unwrap_or("").to_owned();
        let run = Run { instance: self.instance.clone(), at: Instant::now() };
        self.arrivals.lock().unwrap().entry(id.clone()).or_default().push(run);
        self.run(connection, &mut message, &id, 2)
    }

    fn run(
        &self,
        connection: &mut Connection,
        message: &mut Message,
        id: &str,
        time: u64,
    ) -> io::Result<()> {
        connection.read_body(message)?;
        self.record.line(&format!("{} runs {id}", self.instance));
        let run = Run { instance: self.instance.clone(), at: Instant::now() };
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(run);
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(time));
        self.running.fetch_sub(1, Ordering::SeqCst);
        let more = [("X-Response-Signature", "3e1b.07.5a2")];
        connection.write(&self.answer("200 OK", id, &more, id.as_bytes()))
    }
}
