//! Clients, which keep their connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Connection, Message, request};
use crate::record::Record;

/// How a request ended for its client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    Answer(u16),
    /// The connection was closed before the answer was complete.
    Closed,
    TimedOut,
    /// No connection, or one that was closed before the request had been written.
    Unsent,
}

/// A client with one kept connection.
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
    record: Record,
}

impl Client {
    pub fn new(address: SocketAddr, record: &Record) -> Self {
        Self { address, connection: None, record: record.clone() }
    }

    /// Whether the next request goes on a connection that has been used.
    pub fn is_kept(&self) -> bool {
        self.connection.is_some()
    }

    /// Sends a request and waits for its answer.
    pub fn send(&mut self, method: &str, path: &str, id: &str, left_ms: u64, body: &[u8]) -> End {
        let bytes = request(method, path, id, left_ms, body);
        self.record.line(&format!("client sends {id} {method} {path} bytes={}", body.len()));
        let end = match self.exchange(&bytes, left_ms) {
            Ok(message) => End::Answer(message.status()),
            Err((_, error)) if error.kind() == io::ErrorKind::WouldBlock => End::TimedOut,
            Err((_, error)) if error.kind() == io::ErrorKind::TimedOut => End::TimedOut,
            Err((true, _)) => End::Closed,
            Err((false, _)) => End::Unsent,
        };
        if !matches!(end, End::Answer(_)) {
            self.connection = None;
        }
        self.record.line(&format!("client gets {id} {end:?}"));
        end
    }

    /// The error tells whether the request had been written.
    fn exchange(&mut self, bytes: &[u8], left_ms: u64) -> Result<Message, (bool, io::Error)> {
        let timeout = Duration::from_millis(left_ms);
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let opened = Connection::open(self.address, Duration::from_secs(1));
                opened.map_err(|error| (false, error))?
            }
        };
        let limit = Some(timeout + Duration::from_millis(500));
        let set = connection.stream.set_read_timeout(limit);
        set.and(connection.stream.set_write_timeout(limit)).map_err(|error| (false, error))?;
        let written = connection.write(bytes);
        // An answer may come before the body has been written.
        let message = match (connection.read_message(), written) {
            (Ok(message), _) => message,
            (Err(error), Ok(())) => return Err((true, error)),
            (Err(_), Err(error)) => return Err((false, error)),
        };
        let closes = message.header("connection").is_some_and(|value| value.contains("close"));
        if !closes {
            self.connection = Some(connection);
        }
        Ok(message)
    }
}
