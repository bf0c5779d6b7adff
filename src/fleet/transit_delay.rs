//! Delays of messages on their way.
//!
//! What a message says of its sender's state is older than the sender states by the time that the
//! message waited: in the sender before it was sent, on a link, or in this entry's socket. Wall clocks
//! of two VMs can't be compared, so each message carries the time since its sender's start. How much
//! later a message arrives than the quickest one of the same sender is its excess delay.

use std::time::Duration;

use tokio::time::Instant;

use crate::util::FastMap;

/// Window over which the smallest offset is taken; bounds the error from clock drift.
const OFFSET_WINDOW: Duration = Duration::from_secs(60);

/// Smallest differences between the time of arrival and the time of sending, by sender.
#[derive(Debug, Default)]
pub(super) struct TransitDelays {
    /// By incarnation of the sender.
    senders: FastMap<u64, SenderOffsets>,
    base: Option<Instant>,
}

/// Smallest offsets of one sender in this window and in the one before, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct SenderOffsets {
    current: i64,
    previous: i64,
    window_began: Instant,
}

impl TransitDelays {
    /// Time that a message took longer than the quickest one of the sender `incarnation`. `sent` is
    /// the time since the sender's start.
    pub(super) fn excess(
        &mut self,
        incarnation: u64,
        sent: Duration,
        received_at: Instant,
    ) -> Duration {
        let base = *self.base.get_or_insert(received_at);
        let received = millis(received_at.saturating_duration_since(base));
        let offset = received.saturating_sub(millis(sent));
        let new = SenderOffsets { current: offset, previous: offset, window_began: received_at };
        if !self.senders.contains_key(&incarnation) {
            self.remove_stale(received_at);
        }
        let offsets = self.senders.entry(incarnation).or_insert(new);
        if received_at.saturating_duration_since(offsets.window_began) >= OFFSET_WINDOW {
            *offsets = SenderOffsets { previous: offsets.current, ..new };
        }
        offsets.current = offsets.current.min(offset);
        let quickest = offsets.current.min(offsets.previous);
        Duration::from_millis(u64::try_from(offset.saturating_sub(quickest)).unwrap_or(0))
    }

    fn remove_stale(&mut self, now: Instant) {
        self.senders.retain(|_, offsets| {
            now.saturating_duration_since(offsets.window_began) < OFFSET_WINDOW * 2
        });
    }
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
