//! Sends a configuration that is too large for one datagram to the entries of a failure domain.
//!
//! ```text
//! entry that read it --parts--> relays, one for each group --parts--> the rest of their groups
//! ```
//!
//! Without it, every entry would read each change of a large configuration from the store, and one
//! that the store refuses would keep the old one. The object is compressed and divided into parts of
//! at most `MAX_PART_TEXT_BYTES`. With groups of the square root of the domain's size, no link
//! carries more than a few copies, also if a VM with a slow link has read it. Parts are not
//! acknowledged: an entry that misses one reads the store as before.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::platform::{ObjectEnvelope, Revision, StoreEra};

/// Longest text of a part; leaves room for the rest of the message in a datagram.
const MAX_PART_TEXT_BYTES: usize = 20 << 10;
/// Most parts of a configuration; a larger one is read from the store by each entry.
const MAX_PARTS: usize = 32;
/// Largest decompressed configuration: the largest value of the store and its envelope.
const MAX_OBJECT_BYTES: u64 = 2 << 20;
/// Time after the last part for which the missing ones may still arrive. Relays on slow links need
/// some tenths of a second.
const PART_TIMEOUT: Duration = Duration::from_millis(700);

/// A part of a compressed configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigPart {
    /// Era of the object.
    #[serde(default)]
    pub era: StoreEra,
    /// Version of the object.
    pub version: Revision,
    /// Number of the part, from 0.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Part of the base64 text of the object as JSON, compressed with DEFLATE (RFC 1951).
    pub data: String,
    /// Entries that the recipient sends the part to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub relay_to: Vec<SocketAddr>,
}

/// An entry that relays parts, and those that it relays them to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayGroup {
    /// The relay.
    pub relay: SocketAddr,
    /// The others of its group.
    pub members: Vec<SocketAddr>,
}

/// Divides the recipients into groups of about the square root of their number.
pub fn relay_groups(recipients: &[SocketAddr]) -> Vec<RelayGroup> {
    let size = (recipients.len() as f64).sqrt().ceil().max(1.0) as usize;
    let mut groups = Vec::new();
    for group in recipients.chunks(size) {
        let Some((relay, members)) = group.split_first() else { continue };
        groups.push(RelayGroup { relay: *relay, members: members.to_vec() });
    }
    groups
}

/// Compresses a configuration and divides it into parts; `None` if that takes more than
/// `MAX_PARTS`.
pub fn split_config(object: &ObjectEnvelope) -> Option<Vec<ConfigPart>> {
    let json = serde_json::to_vec(object).ok()?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&json).ok()?;
    let text = STANDARD.encode(encoder.finish().ok()?);
    let count = text.len().div_ceil(MAX_PART_TEXT_BYTES);
    if count > MAX_PARTS {
        return None;
    }
    let mut parts = Vec::with_capacity(count);
    for (index, data) in text.as_bytes().chunks(MAX_PART_TEXT_BYTES).enumerate() {
        parts.push(ConfigPart {
            era: object.era,
            version: object.version,
            index: index as u32,
            count: count as u32,
            // Base64 text is ASCII.
            data: String::from_utf8_lossy(data).into_owned(),
            relay_to: Vec::new(),
        });
    }
    Some(parts)
}

/// Parts of the newest configuration that has been received in part.
#[derive(Debug)]
struct PendingConfig {
    era: StoreEra,
    version: Revision,
    parts: Vec<Option<String>>,
    last_part_at: Instant,
}

/// Assembles a configuration from its parts, which may arrive in any order and more than once.
#[derive(Debug, Default)]
pub struct PartAssembly {
    pending: Option<PendingConfig>,
}

impl PartAssembly {
    /// Whether missing parts of a configuration may still arrive.
    pub fn is_pending(&self, now: Instant) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| {
            let is_recent = now.saturating_duration_since(pending.last_part_at) < PART_TIMEOUT;
            is_recent && pending.parts.iter().any(Option::is_none)
        })
    }

    /// Adds a part. Returns the configuration once it is complete; parts of an older one, and parts
    /// that do not fit together, are ignored.
    pub fn add(&mut self, part: ConfigPart, now: Instant) -> Option<ObjectEnvelope> {
        let (count, index) = (part.count as usize, part.index as usize);
        if count == 0 || count > MAX_PARTS || index >= count {
            return None;
        }
        let key = (part.era, part.version);
        let known = self.pending.as_ref().map(|known| (known.era, known.version));
        if known.is_some_and(|known| known > key) {
            return None;
        }
        if known != Some(key) {
            let parts = vec![None; count];
            let (era, version) = key;
            self.pending = Some(PendingConfig { era, version, parts, last_part_at: now });
        }
        let pending = self.pending.as_mut()?;
        let slot = pending.parts.get_mut(index).filter(|slot| slot.is_none())?;
        *slot = Some(part.data);
        pending.last_part_at = now;
        let mut text = String::new();
        for part in &pending.parts {
            text.push_str(part.as_deref()?);
        }
        let object = decode_object(&text);
        if object.is_none() {
            log::warn!(target: "config", "ignored a configuration from peers that cannot be decoded");
        }
        object
    }
}

fn decode_object(text: &str) -> Option<ObjectEnvelope> {
    let compressed = STANDARD.decode(text).ok()?;
    let mut json = Vec::new();
    DeflateDecoder::new(&*compressed).take(MAX_OBJECT_BYTES).read_to_end(&mut json).ok()?;
    serde_json::from_slice(&json).ok()
}
