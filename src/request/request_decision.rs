//! What a configuration decides about one request.
//!
//! An entry that forwards a request has admitted it under its own generation, and the peer runs it
//! under another one while a change spreads. The peer may do so only if both generations treat the
//! request alike: the same route to the same upstreams, as often, for the same tenant. Generations
//! differ in much that does not concern the request, so entries compare digests of these decisions.

use std::time::Duration;

use http::HeaderValue;
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::core::{ConfigSnapshot, IdempotenceMode, RetryPolicy, RouteSpec, TenantRecord};
use crate::request::classify::RequestClass;

/// Length of the truncated digest.
const DIGEST_BYTES: usize = 16;

/// Digest of what a configuration decides about one request. Equal digests mean equal decisions;
/// different builds may have different digests of equal ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestDecision([u8; DIGEST_BYTES]);

/// All that the digest covers.
#[derive(Serialize)]
struct DecisionFields<'a> {
    route: &'a str,
    spec: RouteSpec,
    mode: IdempotenceMode,
    /// Tenant and class by the rules of the configuration.
    tenant: &'a str,
    class: &'a str,
    rank: u32,
    /// Whether requests carry API keys, and the terms of the tenant whose key this one carries.
    has_tenants: bool,
    authenticated: Option<&'a TenantRecord>,
}

impl RequestDecision {
    /// The decision about a request of `class`; `None` if no route selects it.
    pub fn new(snapshot: &ConfigSnapshot, class: &RequestClass) -> Option<Self> {
        let route = snapshot.route(class.route?)?;
        let fields = DecisionFields {
            route: &route.name,
            spec: without_time_limits(&route.spec),
            mode: class.mode,
            tenant: class.tenant.as_str(),
            class: &class.class,
            rank: class.rank,
            has_tenants: snapshot.tenants.is_some(),
            authenticated: class.authenticated.as_deref(),
        };
        let text = serde_json::to_vec(&fields).ok()?;
        let digest: [u8; 32] = Sha256::digest(text).into();
        let mut short = [0; DIGEST_BYTES];
        short.copy_from_slice(&digest[..DIGEST_BYTES]);
        Some(Self(short))
    }

    /// Reads the value of the header; `None` if it is malformed.
    pub(super) fn parse(value: &HeaderValue) -> Option<Self> {
        let bytes = hex::decode(value.as_bytes()).ok()?;
        Some(Self(bytes.try_into().ok()?))
    }

    /// Value of the header.
    pub(super) fn header_value(self) -> HeaderValue {
        let text = hex::encode(self.0);
        HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""))
    }
}

/// The spec without its time limits. The deadline of a forwarded request is the earlier one of both
/// entries, and each ends its own attempts.
fn without_time_limits(spec: &RouteSpec) -> RouteSpec {
    let retry = RetryPolicy { attempt_timeout: Duration::ZERO, ..spec.retry.clone() };
    RouteSpec { deadline: Duration::ZERO, retry, ..spec.clone() }
}
