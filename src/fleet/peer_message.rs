//! What entries of a failure domain tell each other, in datagrams.
//!
//! A datagram is a truncated HMAC-SHA-256 over the rest, then a message as JSON. Datagrams are lost
//! and overtake each other: every message stands for itself, and whoever misses a change sees it by
//! the mark of the next one.

use std::net::SocketAddr;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::fleet::view::{ViewChange, ViewWatermark};
use crate::membership::EntryState;

/// Bytes of the truncated HMAC (RFC 2104, section 5, allows half of the output).
const MAC_BYTES: usize = 16;
/// Largest datagram that is sent; a larger change is read from the store by each entry.
pub const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// One entry's word.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// Sender.
    pub vm: String,
    /// One start of the sender.
    pub incarnation: u64,
    /// Number of the message within that start.
    pub sequence: u64,
    /// Failure domain of the sender.
    pub failure_domain: String,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// What it is doing.
    pub state: EntryState,
    /// How fresh its view is; none while it knows nothing.
    pub confirmation: Option<ViewConfirmation>,
    /// Digests of the names of the ready entries that it hears, from the first entry of a large
    /// failure domain, whose others are not heard by all.
    #[serde(default)]
    pub alive: Vec<u32>,
    /// Load that it has just measured.
    pub loads: Vec<MeasuredLoad>,
    /// A change that it has just read.
    pub change: Option<ViewChange>,
}

impl PeerMessage {
    /// Reads the payload of a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it is no message.
    pub fn parse(payload: &[u8]) -> Result<Self, MessageError> {
        serde_json::from_slice(payload).map_err(|_| MessageError::Malformed)
    }
}

/// A view that was the store's at some moment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewConfirmation {
    /// The view.
    pub mark: ViewWatermark,
    /// Time since that moment, in milliseconds.
    pub age_ms: u64,
    /// Time for which the sender's view has been confirmed without an outage, in milliseconds.
    #[serde(default)]
    pub steady_ms: u64,
}

/// Load of one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeasuredLoad {
    /// Upstream.
    pub instance: String,
    /// Requests running and waiting.
    pub inflight: u32,
    /// Time that work takes, in percent of the usual one.
    pub work_percent: Option<u32>,
    /// Time since the measurement, in milliseconds.
    pub age_ms: u64,
}

/// Why a datagram was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum MessageError {
    /// It was not made with the deployment's key.
    #[error("not made with the deployment's key")]
    Unauthenticated,
    /// It is no message.
    #[error("not a message")]
    Malformed,
    /// The message does not fit into a datagram.
    #[error("larger than a datagram")]
    TooLarge,
}

/// The deployment's key.
#[derive(Clone)]
pub struct MessageKey(Hmac<Sha256>);

impl std::fmt::Debug for MessageKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MessageKey")
    }
}

impl MessageKey {
    /// Wraps the key; none if it cannot be used.
    pub fn new(key: &[u8]) -> Option<Self> {
        Hmac::new_from_slice(key).ok().map(Self)
    }

    /// Writes a message as a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not fit.
    pub fn encode(&self, message: &PeerMessage) -> Result<Vec<u8>, MessageError> {
        let payload = serde_json::to_vec(message).map_err(|_| MessageError::Malformed)?;
        if payload.len() + MAC_BYTES > MAX_DATAGRAM_BYTES {
            return Err(MessageError::TooLarge);
        }
        Ok(self.sign(&payload))
    }

    /// Writes a payload as a datagram.
    pub fn sign(&self, payload: &[u8]) -> Vec<u8> {
        let mac = self.0.clone().chain_update(payload).finalize().into_bytes();
        let mut datagram = Vec::with_capacity(MAC_BYTES + payload.len());
        datagram.extend_from_slice(&mac[..MAC_BYTES]);
        datagram.extend_from_slice(payload);
        datagram
    }

    /// Reads the payload of a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it was not sealed with this key.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], MessageError> {
        let (mac, payload) = datagram.split_at_checked(MAC_BYTES).ok_or(MessageError::Malformed)?;
        let expected = self.0.clone().chain_update(payload);
        expected.verify_truncated_left(mac).map_err(|_| MessageError::Unauthenticated)?;
        Ok(payload)
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns an error if it was not sealed with this key, or is no message.
    pub fn decode(&self, datagram: &[u8]) -> Result<PeerMessage, MessageError> {
        PeerMessage::parse(self.verify(datagram)?)
    }
}
