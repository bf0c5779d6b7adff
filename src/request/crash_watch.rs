//! Watches for requests that crash the upstreams that run them, and refuses those.
//!
//! Upstreams that fall silent are watched by [`RunWatch`](crate::request::RunWatch).
//!
//! ```text
//! connection broken -> does the upstream still accept connections? --no--> record_crash
//! response -----------------------------------------------------------> record_response
//! ```
//!
//! Whether the upstream has ended is checked, since a connection also breaks for other reasons: the
//! network, an upstream that drops idle connections or resets some requests. An entry that reaches no
//! other upstream either cannot tell, and records nothing.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Method, Uri};
use sha2::{Digest, Sha256};
use tokio::time::{Instant, sleep, timeout};

use crate::balance::{PathResult, PathTrial};
use crate::core::{HeaderNames, UpstreamState};
use crate::limits::{QuarantineTable, RecordEffect, RequestFingerprint, RequestTraits};
use crate::request::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, NotRunProof, UnknownCause, UpstreamClient,
};
use crate::request::execution::{ExecutionContext, RequestExecution};
use crate::request::execution_state::OutcomeKind;
use crate::request::load_check::is_other_instance;
use crate::util::fnv1a;

/// Longest wait for an upstream that may have ended: some round trips between failure domains. The
/// retry of the request waits meanwhile.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// Pauses before the checks whether an upstream has ended.
const CRASH_CHECK_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(5), Duration::from_millis(20)];
/// Most other upstreams that are asked whether this entry still reaches any.
const COMPARED_UPSTREAMS: usize = 3;
/// Bytes of the content that its digest covers, besides the length. Bounds the time that digesting a
/// large one takes.
const MAX_DIGESTED_BYTES: usize = 1 << 20;

/// Address of the caller of a request, an extension of its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerAddress(pub IpAddr);

/// Whether it is known what became of the upstream of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunKnowledge {
    Known,
    Unknown,
}

impl RequestExecution {
    /// Time for which the request is refused, because upstreams have ended under it; none if it may
    /// be sent.
    pub(super) fn refusal_left<C, P>(&self, ctx: &ExecutionContext<'_, C, P>) -> Option<Duration> {
        let request = self.suspect_fingerprint(ctx)?;
        ctx.quarantine.refusal_left(request, Instant::now())
    }

    /// Fingerprint of the request if one with its target has records. Most have none, and their
    /// content is not digested.
    fn suspect_fingerprint<C, P>(
        &self,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> Option<RequestFingerprint> {
        if ctx.quarantine.is_empty() {
            return None;
        }
        let (target, header_names) = (self.target_digest(), &ctx.settings.headers);
        let is_recorded = ctx.quarantine.has_target(target);
        is_recorded.then(|| self.fingerprint(target, content_digest(&self.body), header_names))
    }

    /// Drops the content of the request, and returns its digest.
    pub(super) fn take_content(&mut self) -> u64 {
        content_digest(&std::mem::take(&mut self.body))
    }

    /// Records that an upstream has answered the request, whose content has this digest. That shows that
    /// it does not crash those that run it.
    pub(super) fn record_whole_response(
        &self,
        content: u64,
        quarantine: &QuarantineTable,
        header_names: &HeaderNames,
    ) {
        let target = self.target_digest();
        if !quarantine.is_empty() && quarantine.has_target(target) {
            let request = self.fingerprint(target, content, header_names);
            quarantine.record_response(request, Instant::now());
        }
    }

    /// Whether an upstream has ended under this request, so that it is sent to one at a time.
    pub(super) fn is_suspect<C, P>(&self, ctx: &ExecutionContext<'_, C, P>) -> bool {
        self.suspect_fingerprint(ctx).is_some_and(|request| ctx.quarantine.is_suspect(request))
    }

    /// Fingerprint of the request.
    pub(super) fn request_fingerprint(&self, header_names: &HeaderNames) -> RequestFingerprint {
        self.fingerprint_of_content(content_digest(&self.body), header_names)
    }

    /// Fingerprint of the request, whose content has this digest.
    pub(super) fn fingerprint_of_content(
        &self,
        content: u64,
        header_names: &HeaderNames,
    ) -> RequestFingerprint {
        self.fingerprint(self.target_digest(), content, header_names)
    }

    fn fingerprint(
        &self,
        target: u64,
        content: u64,
        header_names: &HeaderNames,
    ) -> RequestFingerprint {
        let caller = self.caller.map(|caller| caller.0.to_string()).unwrap_or_default();
        let traits = RequestTraits {
            query: digest([self.uri.query().unwrap_or_default().as_bytes()]) as u32,
            caller: digest([caller.as_bytes()]) as u32,
            headers: self.headers_digest(header_names),
        };
        RequestFingerprint { target, content, traits }
    }

    /// Records whether the attempt at `upstream` ended with it, or showed that the request does not
    /// crash it. Returns whether that is known; if not, the run is to be watched.
    pub(super) async fn record_run<C: UpstreamClient, P>(
        &self,
        outcome: OutcomeKind,
        upstream: &Arc<UpstreamState>,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> RunKnowledge {
        match outcome {
            // The run ends with the body of the response.
            OutcomeKind::Answered => RunKnowledge::Known,
            OutcomeKind::Unknown(UnknownCause::ConnectionBroken) => {
                if has_ended(upstream, ctx).await && self.reaches_another(upstream, ctx).await {
                    self.record_crash(upstream, ctx);
                    return RunKnowledge::Known;
                }
                RunKnowledge::Unknown
            }
            OutcomeKind::Unknown(UnknownCause::TimedOut) => RunKnowledge::Unknown,
            OutcomeKind::ServerError | OutcomeKind::Unknown(_) | OutcomeKind::NotRun => {
                RunKnowledge::Known
            }
        }
    }

    /// Whether another upstream responds. If none does, this entry has lost its path to the upstreams,
    /// and the one that ran the request may be well. True if there is no other upstream.
    async fn reaches_another<C: UpstreamClient, P>(
        &self,
        upstream: &Arc<UpstreamState>,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> bool {
        if ctx.path.is_cut() {
            return false;
        }
        let others = self.recently_reached(upstream);
        let mut has_failed = false;
        for other in others {
            let Some(uri) = health_uri(&other) else { continue };
            let check = timeout(CRASH_CHECK_TIMEOUT, check_presence(&other, uri, ctx)).await;
            let result = match check {
                Ok(UpstreamPresence::Running) => PathResult::Reached,
                _ => PathResult::Unreached,
            };
            ctx.path.record(other.spec.address, PathTrial::Exchange, result);
            if result == PathResult::Reached {
                return true;
            }
            has_failed = true;
        }
        !has_failed
    }

    /// The other upstreams that were last reached, the latest first.
    fn recently_reached(&self, upstream: &UpstreamState) -> Vec<Arc<UpstreamState>> {
        let now = Instant::now();
        let mut others = Vec::new();
        for other in self.snapshot.upstreams.values() {
            if other.name == upstream.name || other.spec.health_path.is_none() {
                continue;
            }
            let stats = other.stats();
            let reached_at = stats.last_exchange_at.get().max(stats.last_response_at.get());
            let age = reached_at.map_or(Duration::MAX, |at| stats.age_at(now, at));
            others.push((age, Arc::clone(other)));
        }
        others.sort_by_key(|(age, _)| *age);
        others.truncate(COMPARED_UPSTREAMS);
        others.into_iter().map(|(_, other)| other).collect()
    }

    fn record_crash<C, P>(&self, upstream: &UpstreamState, ctx: &ExecutionContext<'_, C, P>) {
        let request = self.request_fingerprint(&ctx.settings.headers);
        let digest = lifetime_digest(upstream);
        let effect = ctx.quarantine.record_crash(request, digest, Instant::now());
        let id = self.headers.get(&ctx.settings.headers.request_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let caller = self.caller.map(|caller| caller.0.to_string()).unwrap_or_default();
        log::info!(
            target: "request",
            "upstream ended while it ran id={id:?} instance={} caller={caller} fingerprint={request}",
            upstream.name,
        );
        if effect == RecordEffect::Refused {
            log_refusal(request, "attempt");
        }
    }

    /// Digest of method, host and path.
    fn target_digest(&self) -> u64 {
        let host = self.headers.get(HOST).map_or(&[][..], |host| host.as_bytes());
        digest([self.method.as_str().as_bytes(), host, self.uri.path().as_bytes()])
    }

    /// Digest of the headers, in whatever order, without those that the target covers or that differ
    /// from one send to the next.
    fn headers_digest(&self, header_names: &HeaderNames) -> u32 {
        let mut sum = 0_u64;
        for (name, value) in &self.headers {
            let changes = *name == header_names.request_id || *name == header_names.deadline;
            if changes || name == HOST || header_names.retry_allowance.as_ref() == Some(name) {
                continue;
            }
            sum = sum.wrapping_add(digest([name.as_str().as_bytes(), value.as_bytes()]));
        }
        sum as u32
    }
}

/// Logs that a request is refused from now on; `source` tells who noticed.
pub(crate) fn log_refusal(request: RequestFingerprint, source: &str) {
    log::warn!(
        target: "request",
        "refusing a request that ends the upstreams that run it fingerprint={request} source={source}",
    );
}

pub(super) fn content_digest(body: &Bytes) -> u64 {
    let length = (body.len() as u64).to_be_bytes();
    digest([&length, &body[..body.len().min(MAX_DIGESTED_BYTES)]])
}

/// First word of SHA-256 over the parts and their lengths.
fn digest<const PARTS: usize>(parts: [&[u8]; PARTS]) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    let mut word = [0; 8];
    word.copy_from_slice(&digest.finalize()[..8]);
    u64::from_be_bytes(word)
}

/// Digest of an upstream's process: an upstream may start again under the same name.
pub(crate) fn lifetime_digest(upstream: &UpstreamState) -> u32 {
    let started_ms = upstream.spec.started_ms.unwrap_or_default();
    let bytes = upstream.name.bytes().chain([0]).chain(started_ms.to_be_bytes());
    fnv1a(bytes) as u32
}

/// What a new connection shows of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UpstreamPresence {
    /// It responds.
    Running,
    /// Nobody listens at its address, or another upstream does.
    Ended,
    /// It accepted the connection and closed it.
    Unclear,
}

/// Whether the upstream has ended. One without a health path cannot be asked, and counts as running.
async fn has_ended<C: UpstreamClient, P>(
    upstream: &Arc<UpstreamState>,
    ctx: &ExecutionContext<'_, C, P>,
) -> bool {
    let Some(uri) = health_uri(upstream) else { return false };
    let check = async {
        // A process that ends closes its connections and its listener one after the other.
        for delay in CRASH_CHECK_DELAYS {
            sleep(delay).await;
            match check_presence(upstream, uri.clone(), ctx).await {
                UpstreamPresence::Running => return false,
                UpstreamPresence::Ended => return true,
                UpstreamPresence::Unclear => {}
            }
        }
        false
    };
    timeout(CRASH_CHECK_TIMEOUT, check).await.unwrap_or(false)
}

fn health_uri(upstream: &UpstreamState) -> Option<Uri> {
    Uri::try_from(upstream.spec.health_path.as_deref()?).ok()
}

async fn check_presence<C: UpstreamClient, P>(
    upstream: &Arc<UpstreamState>,
    uri: Uri,
    ctx: &ExecutionContext<'_, C, P>,
) -> UpstreamPresence {
    let request = AttemptRequest {
        method: Method::GET,
        uri,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        deadline: Instant::now() + CRASH_CHECK_TIMEOUT,
        connection: ConnectionPolicy::New,
    };
    match ctx.client.send(upstream, request).await {
        AttemptOutcome::Answered(answered) => {
            let headers = answered.response.headers();
            if is_other_instance(headers, &ctx.settings.headers, upstream) {
                return UpstreamPresence::Ended;
            }
            UpstreamPresence::Running
        }
        AttemptOutcome::NotRun(NotRunProof::ConnectFailed) => UpstreamPresence::Ended,
        AttemptOutcome::NotRun(NotRunProof::ShareInUse)
        | AttemptOutcome::Unknown(UnknownCause::InvalidStatus) => UpstreamPresence::Running,
        AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => UpstreamPresence::Unclear,
    }
}
