//! Rejects request heads that this node and an upstream could interpret differently.
//!
//! Rules decide by host and path whether a request may run more than once. A path that the upstream
//! normalizes, or a second `Host`, could make an at-most-once request match an idempotent rule.

use http::header::{CONTENT_LENGTH, HOST, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, Method, Version};

use crate::core::ResultCode;

/// Validates the head of a request.
///
/// # Errors
///
/// Returns HF-1007 for `CONNECT` and `Upgrade`, which are not forwarded, and HF-1008 for a repeated
/// `Content-Length` or `Host` or a dot segment in the path.
pub fn validate_head(parts: &Parts) -> Result<(), ResultCode> {
    let headers = &parts.headers;
    if parts.method == Method::CONNECT || headers.contains_key(UPGRADE) {
        return Err(ResultCode::Unsupported);
    }
    if is_repeated(headers, CONTENT_LENGTH) || is_repeated(headers, HOST) {
        return Err(ResultCode::MalformedRequest);
    }
    if has_dot_segment(parts.uri.path()) {
        return Err(ResultCode::MalformedRequest);
    }
    Ok(())
}

/// Checks that an HTTP/1.1 request names its host (RFC 9112, section 3.2).
///
/// # Errors
///
/// Returns HF-1008 if it does not.
pub fn validate_host(parts: &Parts) -> Result<(), ResultCode> {
    let has_host = parts.headers.contains_key(HOST) || parts.uri.authority().is_some();
    if parts.version == Version::HTTP_11 && !has_host {
        return Err(ResultCode::MalformedRequest);
    }
    Ok(())
}

fn is_repeated(headers: &HeaderMap, name: http::HeaderName) -> bool {
    headers.get_all(name).iter().nth(1).is_some()
}

/// Whether the path has a segment `.` or `..`, with dots and separators plain or percent-encoded.
fn has_dot_segment(path: &str) -> bool {
    if !path.contains(['.', '%']) {
        return false;
    }
    let mut segment_bytes = 0;
    let mut dots = 0;
    let mut rest = path.as_bytes();
    while let Some((byte, left)) = decode_next_byte(rest) {
        rest = left;
        if matches!(byte, b'/' | b'\\') {
            if is_dot_segment(segment_bytes, dots) {
                return true;
            }
            (segment_bytes, dots) = (0, 0);
            continue;
        }
        segment_bytes += 1;
        dots += usize::from(byte == b'.');
    }
    is_dot_segment(segment_bytes, dots)
}

fn is_dot_segment(segment_bytes: usize, dots: usize) -> bool {
    matches!(segment_bytes, 1 | 2) && dots == segment_bytes
}

/// The next byte of a path and the rest; decodes only an encoded dot, slash or backslash.
fn decode_next_byte(path: &[u8]) -> Option<(u8, &[u8])> {
    if let [b'%', high, low, rest @ ..] = path {
        match (high, low.to_ascii_lowercase()) {
            (b'2', b'e') => return Some((b'.', rest)),
            (b'2', b'f') => return Some((b'/', rest)),
            (b'5', b'c') => return Some((b'\\', rest)),
            _ => {}
        }
    }
    path.split_first().map(|(first, rest)| (*first, rest))
}
