//! Messages of HTTP/1.1 on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Word of the first line: method, path or status.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

/// A connection with what has been read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 64 << 10];
        let length = self.stream.read(&mut chunk)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(())
    }

    /// Reads a head.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let mut headers = Vec::new();
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Message { line, headers, body: Vec::new() })
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        let end = loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                break end;
            }
            self.fill()?;
        };
        let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
        Ok(String::from_utf8_lossy(&line[..end]).into_owned())
    }

    /// Reads the body that belongs to `message`.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.is_chunked() {
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.trim(), 16);
                let size = size.map_err(|_| io::Error::other("no chunk size"))?;
                let data = self.read_exact(size)?;
                message.body.extend_from_slice(&data);
                self.read_line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        message.body = self.read_exact(message.length().unwrap_or(0))?;
        Ok(())
    }

    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Bytes of a response.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Bytes of a request of a client.
pub fn request(method: &str, path: &str, id: &str, left_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: {left_ms}\r\n"
    );
    if method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Whether a path answers 200 within a short time.
pub fn is_ready(address: SocketAddr) -> bool {
    let asked = || -> io::Result<u16> {
        let mut connection = Connection::open(address, Duration::from_millis(500))?;
        connection.write(b"GET /-/ready HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")?;
        Ok(connection.read_head()?.status())
    };
    asked().is_ok_and(|status| status == 200)
}

/// Waits until `condition` holds, or the time is over.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
