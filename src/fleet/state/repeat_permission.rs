//! What permits this entry to repeat requests: proof that its configuration is the newest one.
//!
//! The proof is a read of the store, by this entry or by a peer, and counts from when the read began.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::peer_message::{PeerMessage, ViewConfirmation};
use crate::fleet::state::{FleetState, lock};

impl<D: DeploymentCodec> FleetState<D> {
    /// Records that a read which began at `read_at` found no configuration newer than that of the
    /// view.
    pub(in crate::fleet) fn confirm_config(&self, read_at: Instant) {
        // The unreadable one may be newer, and forbid what the active one permits.
        if !self.view().has_unreadable_config() {
            self.freshness.confirm_read(read_at);
        }
    }

    /// Stops relying on what was read before the store was restored from a copy, until the entries
    /// have told each other what they had read.
    pub(in crate::fleet) fn suspend_repeats(&self) {
        log::info!(target: "config", "the store was restored, no repeats until it is confirmed again");
        self.freshness.suspend(self.freshness.max_age());
    }

    /// Applies what a message says of its sender's view: the change, and the confirmation with the delay
    /// of the message. Without the delay, entries that confirm each other in turn would keep a view
    /// fresh that none of them has compared with the store.
    pub fn apply_view_of(&self, message: &mut PeerMessage, received_at: Instant) {
        let delay = self.message_delay(message, received_at);
        let read_at = self.read_at_of(message, received_at, delay);
        let confirmation = message.confirmation.map(|confirmation| ViewConfirmation {
            age_ms: confirmation.age_ms.saturating_add(delay.as_millis() as u64),
            ..confirmation
        });
        self.apply_peer_state(message.change.take(), confirmation);
        if let Some((confirmation, read_at)) = confirmation.zip(read_at) {
            self.confirm_config_of_peer(confirmation, read_at);
        }
    }

    /// When the read began by which the sender of `message`, received at `received_at`, confirms its
    /// configuration. To be determined once for each message, since it also compares their delays.
    pub fn config_read_at(&self, message: &PeerMessage, received_at: Instant) -> Option<Instant> {
        let delay = self.message_delay(message, received_at);
        self.read_at_of(message, received_at, delay)
    }

    /// Time that `message` was on its way beyond that of the quickest one of its sender. Zero if the
    /// sender doesn't tell when it sent it.
    fn message_delay(&self, message: &PeerMessage, received_at: Instant) -> Duration {
        let sent_ms = message.confirmation.and_then(|confirmation| confirmation.sent_ms);
        let Some(sent) = sent_ms.map(Duration::from_millis) else { return Duration::ZERO };
        lock(&self.transit_delays).excess(message.incarnation, sent, received_at)
    }

    fn read_at_of(
        &self,
        message: &PeerMessage,
        received_at: Instant,
        delay: Duration,
    ) -> Option<Instant> {
        let confirmation = message.confirmation?;
        let age = match confirmation.sent_ms {
            Some(_) => Duration::from_millis(confirmation.config_age_ms?) + delay,
            // A former version counts from the end of its watch.
            None => Duration::from_millis(confirmation.age_ms) + self.read_schedule.watch_wait,
        };
        received_at.checked_sub(age)
    }

    /// Applies a peer's read of the configuration, if the view's configuration is not older than the
    /// peer's.
    pub fn confirm_config_of_peer(&self, confirmation: ViewConfirmation, read_at: Instant) {
        let other = confirmation.mark;
        let own = self.view().watermark();
        // A confirmation without a generation is that of a former version.
        let is_known = match other.generation {
            0 => own.era == other.era && own.config_revision == other.config_revision,
            generation => own.generation >= generation,
        };
        if is_known {
            self.confirm_config(read_at);
        }
    }
}
