//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a message: the first line and the header fields in order.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Part of the first line between the spaces, by position.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A whole response, as a client got it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head; none if the connection ends before it begins.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let mut fields = Vec::new();
                for field in lines {
                    let (name, value) = field.split_once(':').unwrap_or((field, ""));
                    fields.push((name.trim().to_owned(), value.trim().to_owned()));
                }
                return Ok(Some(Head { line, fields }));
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to `head`. `until_close` says whether a message without a length
    /// ends with its connection.
    pub fn read_body(&mut self, head: &Head, until_close: bool) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.read_exact(size)?);
                self.read_line()?;
            }
        }
        if let Some(length) = head.get("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            return self.read_exact(length);
        }
        if until_close {
            while self.fill()? {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }

    /// Whether the other end has closed the connection; does not take bytes.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0; 1];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Reads a response to a request that was sent, until `deadline`.
    pub fn read_response(&mut self, deadline: Instant) -> io::Result<Response> {
        let left = deadline.saturating_duration_since(Instant::now());
        self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let head =
            self.read_head()?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let status =
            head.word(1).parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let body = self.read_body(&head, true)?;
        Ok(Response { status, head, body })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Bytes of a message with `Content-Length`.
pub fn message(line: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}
