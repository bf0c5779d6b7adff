//! Messages between the entries of a failure domain.
//!
//! A datagram is a truncated HMAC-SHA-256 of the payload, then the payload: a message as JSON, or a
//! load update. Datagrams may be lost or reordered, so every message is self-contained, and an
//! entry that misses a change notices it by the watermark of the next message.

use std::net::SocketAddr;
use std::sync::Arc;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::fleet::config_parts::ConfigPart;
use crate::fleet::view::{ViewChange, ViewWatermark};
use crate::limits::tenant_quota::{PermitAnswer, PermitRequest};
use crate::membership::EntryState;
use crate::request::{ForwardKey, ForwardKeys};

/// Length of the truncated HMAC; RFC 2104, section 5, allows half of the hash's output.
const MAC_BYTES: usize = 16;
/// Largest datagram that is sent. A larger configuration is sent in parts; any other larger change
/// is left out, and each entry reads it from the store.
pub const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// State, loads and changes that one entry sends to others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// Name of the sender.
    pub vm: String,
    /// Random number of the sender's process start.
    pub incarnation: u64,
    /// Number of the message within the incarnation, ascending; 0 for messages about permits, which
    /// may arrive in any order and say nothing about the state of their sender.
    pub sequence: u64,
    /// Failure domain of the sender.
    pub failure_domain: String,
    /// Address of the sender for callers.
    pub caller_address: SocketAddr,
    /// Lifecycle state of the sender.
    pub state: EntryState,
    /// Whether the sender is listed, and so may act for its failure domain. Entries of former
    /// versions, which do not tell, are.
    #[serde(default = "enrolled_by_default")]
    pub is_enrolled: bool,
    /// State of the sender's view; `None` before its first confirmation.
    pub confirmation: Option<ViewConfirmation>,
    /// Name digests of live, ready entries, sent by the leader of a large failure domain, in which
    /// heartbeats don't reach all entries.
    #[serde(default)]
    pub alive: Vec<u32>,
    /// Whether the sender has no path to the upstreams.
    #[serde(default, skip_serializing_if = "is_false")]
    pub has_no_path: bool,
    /// Name digests of live entries without a path to the upstreams, sent like `alive`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub no_path: Vec<u32>,
    /// Loads that the sender has just measured.
    pub loads: Vec<MeasuredLoad>,
    /// A change that the sender has just read from the store.
    pub change: Option<ViewChange>,
    /// Rate limits that the sender has just learned from upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LearnedLimit>,
    /// Part of a configuration that is too large for one message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_part: Option<ConfigPart>,
    /// Upstreams that are cold by health checks that the sender has just sent.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cold: Vec<ColdUpstream>,
    /// Time since the sender's process started, in milliseconds, if it knows quotas.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub uptime_ms: Option<u64>,
    /// Whether the sender grants permits of tenants' quotas if it is among the first entries of its
    /// failure domain.
    #[serde(default, skip_serializing_if = "is_false")]
    pub grants_permits: bool,
    /// Whether the sender is one of the entries that grant permits now.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_granting: bool,
    /// Permits that the sender asks the receiver for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub permit_requests: Vec<PermitRequest>,
    /// Answers to permit requests of the receiver.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub permit_answers: Vec<PermitAnswer>,
}

fn enrolled_by_default() -> bool {
    true
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(flag: &bool) -> bool {
    !flag
}

impl PeerMessage {
    /// Parses the payload of a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError::Malformed`] if it is not a message.
    pub fn parse(payload: &[u8]) -> Result<Self, MessageError> {
        serde_json::from_slice(payload).map_err(|_| MessageError::Malformed)
    }

    /// Whether this message is about permits only.
    pub(super) fn is_about_permits(&self) -> bool {
        !self.permit_requests.is_empty() || !self.permit_answers.is_empty()
    }
}

/// Confirmation that a view matched the store at some time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewConfirmation {
    /// Watermark of the view.
    pub mark: ViewWatermark,
    /// Time since then, in milliseconds.
    pub age_ms: u64,
    /// Time for which the sender has had uninterrupted store access, in milliseconds.
    #[serde(default)]
    pub steady_ms: u64,
    /// Time since the start of the latest read that found no newer configuration, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_age_ms: Option<u64>,
    /// Time since the start of the sender at which the message was made, in milliseconds; missing from
    /// entries of former versions, which don't tell `config_age_ms` either.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_ms: Option<u64>,
}

/// Load of one upstream, as measured by a probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeasuredLoad {
    /// Name of the upstream.
    pub instance: String,
    /// Requests that it runs or has queued.
    pub inflight: u32,
    /// Its service time in percent of the usual one, if reported.
    pub work_percent: Option<u32>,
    /// Time since the measurement, in milliseconds.
    pub age_ms: u64,
}

/// Rate limit of one upstream, as a response to another entry named it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LearnedLimit {
    /// Name of the upstream.
    pub instance: String,
    /// Requests per second from all entries; `None` if it no longer names a limit.
    pub per_second: Option<f64>,
    /// Time since the response, in milliseconds.
    pub age_ms: u64,
}

/// An upstream that is warming up, as a health check of another entry has shown.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdUpstream {
    /// Name of the upstream.
    pub instance: String,
    /// Time that the warm-up still lasts, in milliseconds.
    pub left_ms: u64,
}

/// Why a datagram was rejected, or a message cannot be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum MessageError {
    /// The HMAC was not computed with the deployment's key.
    #[error("invalid HMAC, not signed with the deployment's key")]
    Unauthenticated,
    /// Too short, or the payload cannot be decoded.
    #[error("malformed message")]
    Malformed,
    /// The message exceeds [`MAX_DATAGRAM_BYTES`].
    #[error("message larger than a datagram of {MAX_DATAGRAM_BYTES} bytes")]
    TooLarge,
}

/// Key of the deployment, which signs the datagrams between entries.
#[derive(Clone)]
pub struct MessageKey {
    /// As the store has it.
    text: Arc<str>,
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for MessageKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MessageKey")
    }
}

impl MessageKey {
    /// Creates the key from its text; `None` if it is empty.
    pub fn new(text: &str) -> Option<Self> {
        let mac = Hmac::new_from_slice(text.as_bytes()).ok().filter(|_| !text.is_empty())?;
        Some(Self { text: text.into(), mac })
    }

    /// The key as the store has it.
    pub(super) fn text(&self) -> &str {
        &self.text
    }

    /// Encodes and signs a message as a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError::TooLarge`] if it exceeds [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, message: &PeerMessage) -> Result<Vec<u8>, MessageError> {
        let payload = serde_json::to_vec(message).map_err(|_| MessageError::Malformed)?;
        if payload.len() + MAC_BYTES > MAX_DATAGRAM_BYTES {
            return Err(MessageError::TooLarge);
        }
        Ok(self.sign(&payload))
    }

    /// Prepends the HMAC to a payload.
    pub fn sign(&self, payload: &[u8]) -> Vec<u8> {
        let mac = self.mac.clone().chain_update(payload).finalize().into_bytes();
        let mut datagram = Vec::with_capacity(MAC_BYTES + payload.len());
        datagram.extend_from_slice(&mac[..MAC_BYTES]);
        datagram.extend_from_slice(payload);
        datagram
    }

    /// Verifies a datagram and returns its payload.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is too short, or was not signed with this key.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], MessageError> {
        let (mac, payload) = datagram.split_at_checked(MAC_BYTES).ok_or(MessageError::Malformed)?;
        let expected = self.mac.clone().chain_update(payload);
        expected.verify_truncated_left(mac).map_err(|_| MessageError::Unauthenticated)?;
        Ok(payload)
    }

    /// Verifies a datagram and decodes its message.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram was not signed with this key, or is not a message.
    pub fn decode(&self, datagram: &[u8]) -> Result<PeerMessage, MessageError> {
        PeerMessage::parse(self.verify(datagram)?)
    }
}

/// The key that signs messages, and the one before it, whose messages may still be in flight.
#[derive(Clone, Debug)]
pub struct MessageKeys {
    current: MessageKey,
    previous: Option<MessageKey>,
}

impl MessageKeys {
    /// Keys of an entry that has read `current`, and had `known` before.
    pub fn new(current: MessageKey, known: Option<&Self>) -> Self {
        let previous = match known {
            Some(known) if known.current.text() == current.text() => known.previous.clone(),
            Some(known) => Some(known.current.clone()),
            None => None,
        };
        Self { current, previous }
    }

    /// The same keys for forwarded requests.
    pub(super) fn forward_keys(&self) -> Option<ForwardKeys> {
        let current = ForwardKey::new(self.current.text())?;
        let previous = self.previous.as_ref().and_then(|key| ForwardKey::new(key.text()));
        Some(ForwardKeys { current, previous })
    }

    /// The key that signs messages.
    pub(super) fn current(&self) -> &MessageKey {
        &self.current
    }

    /// Prepends the HMAC by the current key to a payload.
    pub fn sign(&self, payload: &[u8]) -> Vec<u8> {
        self.current.sign(payload)
    }

    /// Verifies a datagram with both keys and returns its payload.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is too short, or was signed with neither key.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], MessageError> {
        let verified = self.current.verify(datagram);
        match (&self.previous, verified) {
            (Some(previous), Err(MessageError::Unauthenticated)) => previous.verify(datagram),
            (_, verified) => verified,
        }
    }
}
