//! Finds the heads of HTTP/1.1 requests in the bytes of a connection.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version};
use httparse::Status;

/// Most headers of a request; hyper refuses more.
const MAX_HEADERS: usize = 100;
/// Bytes before a new byte that can belong to the end of the same head: `\r\n\r`.
const HEAD_END_OVERLAP_BYTES: usize = 3;

/// The complete head of a request.
#[derive(Clone, Debug)]
pub struct ScannedHead {
    /// Head of the request, as hyper will parse it.
    pub parts: Parts,
    /// Length of the head in bytes, including empty lines before it.
    pub bytes: usize,
    /// Length of the body in bytes.
    pub body_bytes: u64,
}

/// What the next bytes of a connection are.
#[derive(Clone, Debug)]
pub enum ScanStep {
    /// The beginning of a head.
    Incomplete,
    /// A complete head.
    Head(Box<ScannedHead>),
    /// This many bytes of a body.
    Body(usize),
    /// Anything; heads are no longer recognised on this connection.
    PassThrough,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ScanState {
    /// At the beginning of a head.
    Head,
    /// In a body, with this many bytes left.
    Body(u64),
    /// After a request whose end is not known, or after which the connection closes.
    Ended,
}

/// Finds the heads of requests in the bytes of one connection.
///
/// Recognition ends for good at `Transfer-Encoding`, `Expect`, `Upgrade`, `Connection: close`,
/// `CONNECT`, an unclear `Content-Length`, HTTP/1.0, HTTP/2 and a head that is refused or longer than
/// the limit.
#[derive(Debug)]
pub struct HeadScanner {
    state: ScanState,
    max_head_bytes: usize,
    /// Bytes of the incomplete head that do not contain its end.
    checked_bytes: usize,
}

impl HeadScanner {
    /// Creates the scanner of a new connection; `max_head_bytes` is the largest head, 1 or more.
    pub fn new(max_head_bytes: usize) -> Self {
        Self { state: ScanState::Head, max_head_bytes, checked_bytes: 0 }
    }

    /// Ends the recognition of heads.
    pub fn end(&mut self) {
        self.state = ScanState::Ended;
    }

    /// Whether the next bytes may be the head of a request.
    pub fn is_at_head(&self) -> bool {
        self.state == ScanState::Head
    }

    /// Bytes that need not be scanned, because they belong to a body or follow the last head.
    pub fn unscanned_bytes(&self) -> u64 {
        match self.state {
            ScanState::Head => 0,
            ScanState::Body(left) => left,
            ScanState::Ended => u64::MAX,
        }
    }

    /// Recognises the beginning of `bytes`, which follow those that earlier steps recognised. After
    /// [`ScanStep::Incomplete`], the same bytes must be given again with more.
    pub fn step(&mut self, bytes: &[u8]) -> ScanStep {
        match self.state {
            ScanState::Head => self.scan_head(bytes),
            ScanState::Body(left) => {
                let count = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                self.skip(count);
                ScanStep::Body(count)
            }
            ScanState::Ended => ScanStep::PassThrough,
        }
    }

    /// Passes over this many bytes of a body.
    pub fn skip(&mut self, count: usize) {
        let ScanState::Body(left) = self.state else { return };
        let left = left.saturating_sub(count as u64);
        self.state = if left == 0 { ScanState::Head } else { ScanState::Body(left) };
    }

    fn scan_head(&mut self, bytes: &[u8]) -> ScanStep {
        // A head that arrives in small pieces is parsed once, when its end is there.
        let start = self.checked_bytes.saturating_sub(HEAD_END_OVERLAP_BYTES);
        let is_first_check = self.checked_bytes == 0;
        if is_first_check || contains_head_end(&bytes[start.min(bytes.len())..]) {
            match parse_head(bytes) {
                ParsedHead::Complete(head, next) if head.bytes <= self.max_head_bytes => {
                    self.state = next;
                    self.checked_bytes = 0;
                    return ScanStep::Head(head);
                }
                ParsedHead::Incomplete => {}
                ParsedHead::Complete(..) | ParsedHead::Refused => {
                    self.end();
                    return ScanStep::PassThrough;
                }
            }
        }
        if bytes.len() >= self.max_head_bytes {
            self.end();
            return ScanStep::PassThrough;
        }
        self.checked_bytes = bytes.len();
        ScanStep::Incomplete
    }
}

enum ParsedHead {
    Incomplete,
    Complete(Box<ScannedHead>, ScanState),
    Refused,
}

fn contains_head_end(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|pair| pair == b"\n\n") || bytes.windows(3).any(|three| three == b"\n\r\n")
}

fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return ParsedHead::Incomplete,
        Err(_) => return ParsedHead::Refused,
    };
    if head.version != Some(1) {
        return ParsedHead::Refused;
    }
    let Some(parts) = head_parts(&head) else { return ParsedHead::Refused };
    let Some(body_bytes) = body_bytes(&parts) else { return ParsedHead::Refused };
    let next = match body_bytes {
        _ if closes_connection(&parts.headers) => ScanState::Ended,
        0 => ScanState::Head,
        bytes => ScanState::Body(bytes),
    };
    ParsedHead::Complete(Box::new(ScannedHead { parts, bytes: length, body_bytes }), next)
}

fn head_parts(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(head.method?.as_bytes()).ok()?;
    parts.uri = Uri::try_from(head.path?.as_bytes()).ok()?;
    parts.version = Version::HTTP_11;
    parts.headers.reserve(head.headers.len());
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        parts.headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(parts)
}

/// Length of the body; none if the request must not be followed by an early one.
fn body_bytes(parts: &Parts) -> Option<u64> {
    let headers = &parts.headers;
    if parts.method == Method::CONNECT {
        return None;
    }
    for name in [TRANSFER_ENCODING, EXPECT, UPGRADE] {
        if headers.contains_key(name) {
            return None;
        }
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else { return Some(0) };
    if lengths.next().is_some() || !length.as_bytes().iter().all(u8::is_ascii_digit) {
        return None;
    }
    length.to_str().ok()?.parse().ok()
}

fn closes_connection(headers: &HeaderMap) -> bool {
    for value in headers.get_all(CONNECTION) {
        let mut options = value.as_bytes().split(|byte| *byte == b',');
        if options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close")) {
            return true;
        }
    }
    false
}
