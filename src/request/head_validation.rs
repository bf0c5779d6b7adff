//! Requests whose meaning could differ between this node and an upstream are refused.
//!
//! Rules decide by host and path whether a request may run more than once. A path that an upstream
//! would rewrite, or a second host, could carry at-most-once work past them.

use http::header::{CONTENT_LENGTH, HOST, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, Method, Version};

use crate::core::ResultCode;

/// Checks the head of a request.
///
/// # Errors
///
/// Returns HF-1007 for features that are not passed on and HF-1008 for ambiguous heads.
pub fn validate_head(parts: &Parts) -> Result<(), ResultCode> {
    let headers = &parts.headers;
    if parts.method == Method::CONNECT || headers.contains_key(UPGRADE) {
        return Err(ResultCode::Unsupported);
    }
    if has_several(headers, CONTENT_LENGTH) || has_several(headers, HOST) {
        return Err(ResultCode::MalformedRequest);
    }
    if has_dot_segment(parts.uri.path()) {
        return Err(ResultCode::MalformedRequest);
    }
    Ok(())
}

/// Checks that an HTTP/1.1 request says which host it is for.
///
/// # Errors
///
/// Returns HF-1008.
pub fn validate_host(parts: &Parts) -> Result<(), ResultCode> {
    let is_named = parts.headers.contains_key(HOST) || parts.uri.authority().is_some();
    if parts.version == Version::HTTP_11 && !is_named {
        return Err(ResultCode::MalformedRequest);
    }
    Ok(())
}

fn has_several(headers: &HeaderMap, name: http::HeaderName) -> bool {
    headers.get_all(name).iter().nth(1).is_some()
}

/// Whether a segment is `.` or `..`, also where dots and separators are percent-encoded.
fn has_dot_segment(path: &str) -> bool {
    if !path.contains(['.', '%']) {
        return false;
    }
    let mut segment_bytes = 0;
    let mut dots = 0;
    let mut rest = path.as_bytes();
    while let Some((character, left)) = next_character(rest) {
        rest = left;
        if matches!(character, b'/' | b'\\') {
            if is_dots(segment_bytes, dots) {
                return true;
            }
            (segment_bytes, dots) = (0, 0);
            continue;
        }
        segment_bytes += 1;
        dots += usize::from(character == b'.');
    }
    is_dots(segment_bytes, dots)
}

fn is_dots(segment_bytes: usize, dots: usize) -> bool {
    matches!(segment_bytes, 1 | 2) && dots == segment_bytes
}

/// The next byte of a path, decoded if it is one that matters here.
fn next_character(path: &[u8]) -> Option<(u8, &[u8])> {
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
