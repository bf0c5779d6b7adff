//! The header that an entry without a path to the upstreams adds to the requests that it forwards to
//! a peer.
//!
//! It tells the peer what it cannot see otherwise: the generation under which the request was
//! admitted, the retries that it may still use, and the caller. It is signed with the deployment's
//! key, over the whole request, so that nobody else can use the listener for forwarded requests.

use std::net::IpAddr;

use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use sha2::Sha256;

use crate::core::{DECISION_HEADER, FORWARDED_HEADER, GenerationNumber};
use crate::request::request_decision::RequestDecision;

/// Begins the signed text, so that a signature fits no other kind of message.
const SIGNATURE_PURPOSE: &[u8] = b"heatherfall forwarded request 1";
/// Length of the truncated HMAC; RFC 2104, section 5, allows half of the hash's output.
const MAC_BYTES: usize = 16;
/// Headers of one connection, which the signature does not cover.
const CONNECTION_HEADERS: [HeaderName; 3] = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING];

/// Whether a forwarded request may have reached an upstream before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOrder {
    /// It has not; what the peer sends first is no repeat.
    First,
    /// It may have, so the sender has counted it as a retry or hedge in its own budget.
    Repeat,
}

/// What an entry tells a peer about a request that it forwards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardedRequest {
    /// Generation under which the request was admitted.
    pub generation: GenerationNumber,
    /// What that generation decides about the request; `None` if the sender does not say. A peer with
    /// another generation takes the request only if its own decides the same.
    pub decision: Option<RequestDecision>,
    /// Attempts in addition to the first that the peer may start.
    pub retries: u32,
    /// Whether the request may have reached an upstream before.
    pub order: AttemptOrder,
    /// Address of the caller, if known.
    pub caller: Option<IpAddr>,
}

/// The parts of a request that a signature covers, besides the header's own fields.
#[derive(Clone, Copy, Debug)]
pub struct SignedParts<'a> {
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub uri: &'a Uri,
    /// Headers; those of one connection and the forwarding header itself are not covered.
    pub headers: &'a HeaderMap,
    /// The complete body.
    pub body: &'a Bytes,
}

/// Key that signs and verifies forwarded requests.
#[derive(Clone)]
pub struct ForwardKey(Hmac<Sha256>);

impl std::fmt::Debug for ForwardKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ForwardKey")
    }
}

impl ForwardKey {
    /// Creates the key from the text of the deployment's key; `None` if that is empty.
    pub fn new(text: &str) -> Option<Self> {
        let mac = Hmac::new_from_slice(text.as_bytes()).ok().filter(|_| !text.is_empty())?;
        Some(Self(mac))
    }

    /// Value of the header for a request.
    pub fn sign(&self, forwarded: &ForwardedRequest, parts: SignedParts<'_>) -> HeaderValue {
        let fields = forwarded.fields();
        let mac = self.mac(&fields, parts).finalize().into_bytes();
        let mut text = fields;
        text.push(' ');
        for byte in &mac[..MAC_BYTES] {
            text.push_str(&format!("{byte:02x}"));
        }
        HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""))
    }

    /// Whether `value` is the header of this request, signed with this key.
    pub fn verify(&self, value: &HeaderValue, parts: SignedParts<'_>) -> bool {
        let Some((fields, mac)) = value.to_str().ok().and_then(|text| text.rsplit_once(' ')) else {
            return false;
        };
        let Some(mac) = decode_hex(mac).filter(|mac| mac.len() == MAC_BYTES) else { return false };
        self.mac(fields, parts).verify_truncated_left(&mac).is_ok()
    }

    fn mac(&self, fields: &str, parts: SignedParts<'_>) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        let mut update = |part: &[u8]| {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        };
        update(SIGNATURE_PURPOSE);
        update(fields.as_bytes());
        update(parts.method.as_str().as_bytes());
        update(parts.uri.path_and_query().map_or("/", |path| path.as_str()).as_bytes());
        let mut headers: Vec<(&str, &[u8])> = Vec::with_capacity(parts.headers.len());
        for (name, value) in parts.headers {
            if *name != FORWARDED_HEADER && !CONNECTION_HEADERS.contains(name) {
                headers.push((name.as_str(), value.as_bytes()));
            }
        }
        headers.sort_unstable();
        for (name, value) in headers {
            update(name.as_bytes());
            update(value);
        }
        update(parts.body);
        mac
    }
}

impl ForwardedRequest {
    /// Reads the headers of a request without verifying their signature; `None` if the forwarding
    /// header is missing or malformed.
    pub fn parse(headers: &HeaderMap) -> Option<Self> {
        let mut fields = headers.get(FORWARDED_HEADER)?.to_str().ok()?.split(' ');
        let generation = GenerationNumber(fields.next()?.parse().ok()?);
        let retries = fields.next()?.parse().ok()?;
        let order = match fields.next()? {
            "first" => AttemptOrder::First,
            "repeat" => AttemptOrder::Repeat,
            _ => return None,
        };
        let caller = match fields.next()? {
            "-" => None,
            address => Some(address.parse().ok()?),
        };
        fields.next()?;
        let decision = headers.get(DECISION_HEADER).and_then(RequestDecision::parse);
        let is_complete = fields.next().is_none();
        is_complete.then_some(Self { generation, decision, retries, order, caller })
    }

    fn fields(&self) -> String {
        let caller = self.caller.map_or_else(|| "-".to_owned(), |caller| caller.to_string());
        let order = match self.order {
            AttemptOrder::First => "first",
            AttemptOrder::Repeat => "repeat",
        };
        format!("{} {} {order} {caller}", self.generation.0, self.retries)
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let (pairs, rest) = text.as_bytes().as_chunks::<2>();
    if !rest.is_empty() {
        return None;
    }
    let mut bytes = Vec::with_capacity(pairs.len());
    for pair in pairs {
        let pair = std::str::from_utf8(pair).ok()?;
        bytes.push(u8::from_str_radix(pair, 16).ok()?);
    }
    Some(bytes)
}
