//! Stand-in of a client (requester), as `PROTOCOL.md` describes it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::entry::get;
use crate::http::{Conn, Response, message};
use crate::record::Record;

/// What became of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A whole answer.
    Answer(Response),
    /// No connection could be opened, or the request could not be written.
    NotSent(String),
    /// The connection ended, or broke, before a whole answer.
    Cut(String),
    /// No whole answer within the time limit.
    TimedOut,
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub host: &'static str,
    pub id: String,
    pub time_limit_ms: u64,
    pub body: Vec<u8>,
    /// Key of the client's tenant; empty for none.
    pub api_key: &'static str,
}

impl Request {
    pub fn new(
        method: &'static str,
        host: &'static str,
        path: String,
        id: String,
        time_limit_ms: u64,
    ) -> Self {
        let body = if method == "GET" { Vec::new() } else { vec![b'x'; 400] };
        Self { method, path, host, id, time_limit_ms, body, api_key: "" }
    }

    /// Sends the request on a new connection and waits for the answer until its time limit.
    pub fn send(&self, entry: SocketAddr, record: &Record) -> Sent {
        let sent = Instant::now();
        let until = sent + Duration::from_millis(self.time_limit_ms);
        let Self { id, method, path, .. } = self;
        record.line(&format!("client sends {id} {method} {path} to {entry}"));
        let outcome = match Conn::open(entry, Duration::from_secs(1)) {
            Ok(mut conn) => self.send_on(&mut conn, until),
            Err(error) => Outcome::NotSent(error.to_string()),
        };
        record.line(&format!("client got {id}: {}", describe(&outcome)));
        Sent { id: id.clone(), sent, ended: Instant::now(), outcome }
    }

    fn send_on(&self, conn: &mut Conn, until: Instant) -> Outcome {
        let mut fields = vec![
            ("Host", self.host.to_owned()),
            ("X-Attempt-Id", self.id.clone()),
            ("X-Time-Remaining", self.time_limit_ms.to_string()),
        ];
        if !self.api_key.is_empty() {
            fields.push(("Api-Key", self.api_key.to_owned()));
        }
        let line = format!("{} {} HTTP/1.1", self.method, self.path);
        if let Err(error) = conn.send(&message(&line, &fields, &self.body)) {
            return Outcome::NotSent(error.to_string());
        }
        match conn.read_response(until) {
            Ok(response) => Outcome::Answer(response),
            Err(_) if Instant::now() >= until => Outcome::TimedOut,
            Err(error) => Outcome::Cut(error.to_string()),
        }
    }
}

impl Sent {
    pub fn status(&self) -> u16 {
        match &self.outcome {
            Outcome::Answer(response) => response.status,
            _ => 0,
        }
    }
}

pub fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answer(response) => format!(
            "{} signature={} body={} bytes",
            response.status,
            response.head.get("x-response-signature").unwrap_or("none"),
            response.body.len(),
        ),
        Outcome::NotSent(error) => format!("not sent ({error})"),
        Outcome::Cut(error) => format!("connection ended without a whole answer ({error})"),
        Outcome::TimedOut => "no answer within the time limit".to_owned(),
    }
}

/// Addresses that a directory names, and their lifetime as text.
pub fn resolve(directory: SocketAddr, zone: &str) -> Option<(String, Vec<SocketAddr>)> {
    let path = format!("/-/resolve?name=shop.example&region=region&zone={zone}");
    let response = get(directory, &path)?;
    if response.status != 200 {
        return None;
    }
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let list = text.split('[').nth(1)?.split(']').next()?;
    let mut addresses = Vec::new();
    for part in list.split(',') {
        addresses.extend(part.trim_matches('"').parse::<SocketAddr>());
    }
    Some((text, addresses))
}
