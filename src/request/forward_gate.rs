//! Decides whether this entry takes a request that a peer has forwarded.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode};
use http_body::Body;

use crate::core::{
    ConfigSnapshot, DECISION_HEADER, FORWARD_REFUSED_HEADER, FORWARDED_HEADER, ResultCode,
};
use crate::request::admission::AdmittedRequest;
use crate::request::crash_watch::CallerAddress;
use crate::request::data_plane::DataPlane;
use crate::request::forward_header::{ForwardedRequest, SignedParts};
use crate::request::forward_table::ForwardTable;
use crate::request::request_decision::RequestDecision;
use crate::request::response::{CallerResponse, ResponseBody};

/// Why a forwarded request was not taken. The request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardRefusal {
    /// This entry has no path to the upstreams either.
    NoPath,
    /// The request was admitted under another generation than the active one. The two decide about it
    /// differently, or the sender did not say what its generation decides.
    OtherGeneration,
    /// This entry is leaving, and may end before the request does.
    Leaving,
    /// The header is missing or malformed, or the signature is not one of the deployment.
    Unauthenticated,
    /// The peer gave a reason that this version does not know.
    Unknown,
}

impl ForwardRefusal {
    /// Reads the reason from a peer's response.
    pub(super) fn parse(value: &HeaderValue) -> Self {
        let known = [Self::NoPath, Self::OtherGeneration, Self::Leaving, Self::Unauthenticated];
        let named = known.into_iter().find(|reason| reason.as_str().as_bytes() == value.as_bytes());
        named.unwrap_or(Self::Unknown)
    }

    /// The reason, as responses and log lines have it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoPath => "no-path",
            Self::OtherGeneration => "other-generation",
            Self::Leaving => "leaving",
            Self::Unauthenticated => "unauthenticated",
            Self::Unknown => "unknown",
        }
    }

    /// The response to the peer.
    pub fn response<B: Body, G>(self) -> CallerResponse<B, G> {
        let mut response = Response::new(ResponseBody::Local(Some(Bytes::new())));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let reason = HeaderValue::from_static(self.as_str());
        response.headers_mut().insert(FORWARD_REFUSED_HEADER, reason);
        response
    }
}

/// Why a forwarded request was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardAdmissionError {
    /// Another peer may take it.
    Refused(ForwardRefusal),
    /// The caller is refused with this code. Sender and receiver have the same generation.
    Failed(ResultCode),
}

impl ForwardTable {
    /// Parses the forwarding header and checks what the head alone shows. The signature also covers the
    /// body and is verified later, by [`Self::accept`].
    ///
    /// # Errors
    ///
    /// Returns the reason if the head alone is enough to refuse the request.
    pub fn check_head(
        &self,
        parts: &Parts,
        snapshot: Option<&ConfigSnapshot>,
    ) -> Result<ForwardedRequest, ForwardRefusal> {
        let forwarded = ForwardedRequest::parse(&parts.headers);
        let forwarded = forwarded.ok_or(ForwardRefusal::Unauthenticated)?;
        if self.path().is_cut() {
            return Err(ForwardRefusal::NoPath);
        }
        let is_comparable = |snapshot: &ConfigSnapshot| {
            snapshot.generation == forwarded.generation || forwarded.decision.is_some()
        };
        if !snapshot.is_some_and(is_comparable) {
            return Err(ForwardRefusal::OtherGeneration);
        }
        Ok(forwarded)
    }

    /// Verifies the signature of a complete request, and replaces the header by what it told.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardRefusal::Unauthenticated`] if no key of the deployment verifies the signature.
    pub fn accept(
        &self,
        parts: &mut Parts,
        body: &Bytes,
        forwarded: ForwardedRequest,
    ) -> Result<(), ForwardRefusal> {
        let value = parts.headers.get(FORWARDED_HEADER).ok_or(ForwardRefusal::Unauthenticated)?;
        let keys = self.keys().ok_or(ForwardRefusal::Unauthenticated)?;
        let signed =
            SignedParts { method: &parts.method, uri: &parts.uri, headers: &parts.headers, body };
        let is_valid = keys.current.verify(value, signed)
            || keys.previous.as_ref().is_some_and(|previous| previous.verify(value, signed));
        if !is_valid {
            return Err(ForwardRefusal::Unauthenticated);
        }
        parts.headers.remove(FORWARDED_HEADER);
        parts.headers.remove(DECISION_HEADER);
        parts.extensions.insert(forwarded);
        if let Some(caller) = forwarded.caller {
            parts.extensions.insert(CallerAddress(caller));
        }
        Ok(())
    }
}

impl<C, P, L> DataPlane<C, P, L> {
    /// Parses the forwarding header of a peer's request and checks whether this entry can take it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the head alone is enough to refuse the request.
    pub fn check_forwarded(&self, parts: &Parts) -> Result<ForwardedRequest, ForwardRefusal> {
        let table = self.forward_table()?;
        table.check_head(parts, self.snapshot.load().as_deref())
    }

    /// Verifies a complete request that a peer has forwarded, and that this entry has admitted under a
    /// configuration which decides about it as that of the peer does.
    ///
    /// # Errors
    ///
    /// Returns why the request is not taken.
    pub fn accept_forwarded(
        &self,
        parts: &mut Parts,
        body: &Bytes,
        forwarded: ForwardedRequest,
        admitted: &AdmittedRequest,
    ) -> Result<(), ForwardRefusal> {
        let snapshot = &admitted.snapshot;
        let is_decided_alike = snapshot.generation == forwarded.generation
            || forwarded.decision.is_some()
                && forwarded.decision == RequestDecision::new(snapshot, &admitted.class);
        if !is_decided_alike {
            return Err(ForwardRefusal::OtherGeneration);
        }
        self.forward_table()?.accept(parts, body, forwarded)
    }

    fn forward_table(&self) -> Result<&ForwardTable, ForwardRefusal> {
        let forwarder = self.core.forwarder.as_ref().ok_or(ForwardRefusal::NoPath)?;
        Ok(&forwarder.table)
    }
}
