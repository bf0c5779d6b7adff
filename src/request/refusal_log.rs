//! Log lines of requests that are refused by their heads.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http::HeaderName;
use http::request::Parts;
use tokio::time::Instant;

use crate::core::{GenerationNumber, ResultCode};
use crate::request::classify::request_host;
use crate::util::shortened;

/// Most lines in an interval. Anybody can send such requests, so their lines must not displace others.
const MAX_LINES: u32 = 10;
const INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the number of lines, and counts the refusals that have none.
#[derive(Debug, Default)]
pub struct RefusalLog {
    state: Mutex<IntervalState>,
}

#[derive(Debug, Default)]
struct IntervalState {
    began: Option<Instant>,
    lines: u32,
    /// Refusals without a line since the last line.
    unlogged: u64,
}

/// A refused request, with the configuration by which it was refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusedRequest<'a> {
    pub(super) parts: &'a Parts,
    pub(super) id_header: &'a HeaderName,
    pub(super) generation: Option<GenerationNumber>,
    pub(super) config_age: Option<Duration>,
    pub(super) code: ResultCode,
}

impl RefusalLog {
    /// Takes one of the lines of this interval. Returns the number of refusals without a line since the
    /// last one, or `None` if this refusal gets no line.
    pub fn take_line(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.began.is_none_or(|began| now.duration_since(began) >= INTERVAL) {
            state.began = Some(now);
            state.lines = 0;
        }
        if state.lines >= MAX_LINES {
            state.unlogged += 1;
            return None;
        }
        state.lines += 1;
        Some(std::mem::take(&mut state.unlogged))
    }

    /// Writes the line of a refused request; false if the interval has no more lines.
    pub(super) fn write(&self, request: RefusedRequest<'_>) -> bool {
        let Some(unlogged) = self.take_line(Instant::now()) else { return false };
        let RefusedRequest { parts, id_header, generation, config_age, code } = request;
        let id = parts.headers.get(id_header).and_then(|id| id.to_str().ok()).unwrap_or_default();
        let host = request_host(&parts.uri, &parts.headers).unwrap_or_default();
        // Quoted, so that a caller cannot inject fields into the log line. A query may hold secrets.
        log::info!(
            target: "request",
            "id={:?} host={:?} path={:?} generation={} config_age_ms={} outcome={code} unlogged={unlogged}",
            shortened(id),
            shortened(host),
            shortened(parts.uri.path()),
            generation.map_or_else(|| "none".to_owned(), |generation| generation.to_string()),
            config_age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string()),
        );
        true
    }
}
