//! Handles the exchange calls that peers make to a [`ControlNode`].

use std::time::Duration;

use tokio::time::Instant;

use crate::membership::control_node::{ControlNode, MAX_EXCHANGE_WAIT};
use crate::membership::heartbeat_table::{HeartbeatSource, MergeEffect};
use crate::peer::generated::peer::{ExchangeReply, ExchangeRequest};

impl ControlNode {
    /// Handles a peer's call: merges what the caller sends, then replies with what the caller
    /// lacks.
    ///
    /// Without anything newer than the caller has, the reply waits for up to the time that the
    /// request asks for, at most [`MAX_EXCHANGE_WAIT`].
    pub async fn handle_exchange(&self, request: ExchangeRequest) -> ExchangeReply {
        let received_at = Instant::now();
        let wait = Duration::from_millis(request.wait_ms).min(MAX_EXCHANGE_WAIT);
        let mut updates = self.child_updates.subscribe();
        let wanted = self.merge_request(&request);
        let deadline = received_at + wait;
        while wanted.is_empty() && !self.has_updates_for(&request) {
            if tokio::time::timeout_at(deadline, updates.changed()).await.is_err() {
                break;
            }
        }
        ExchangeReply { wanted_vms: wanted, ..self.build_reply(&request, received_at) }
    }

    /// Merges the caller's records and returns the VMs whose full records it should send.
    fn merge_request(&self, request: &ExchangeRequest) -> Vec<String> {
        let sender = request.sender.clone().unwrap_or_default();
        let is_child = request.view_digest.is_some();
        let source = if is_child { HeartbeatSource::Tree } else { HeartbeatSource::Relay };
        let mut records = request.heartbeats.clone();
        records.push(sender);
        let outcome = self.lock().merge(records, source);
        if outcome.effect == MergeEffect::Changed {
            self.rebuild_if_relay();
            self.notify_parent();
        }
        self.merge_drain_hints(&request.drain_hints);
        outcome.wanted
    }

    fn has_updates_for(&self, request: &ExchangeRequest) -> bool {
        if self.generation_applier.number().0 > request.known_generation
            || self.drain_hints.cursor() > request.drain_cursor.max(self.initial_drain_cursor)
        {
            return true;
        }
        request.view_digest.is_some_and(|digest| digest != self.lock().view().digest())
    }

    fn build_reply(&self, request: &ExchangeRequest, received_at: Instant) -> ExchangeReply {
        let drains = self.drain_hints.changes_since(request.drain_cursor);
        let mut reply = ExchangeReply {
            drain_hints: drains.hints,
            drain_cursor: drains.cursor,
            waited_ms: received_at.elapsed().as_millis() as u64,
            confirmed_age_ms: self.freshness.age().map(|age| age.as_millis() as u64),
            ..ExchangeReply::default()
        };
        if let Some(current) = self.generation_applier.current() {
            reply.generation = current.content.number.0;
            if reply.generation > request.known_generation {
                reply.generation_content = current.bytes.clone();
            }
        }
        if let Some(digest) = request.view_digest {
            let sender = request.sender.as_ref().map_or("", |sender| &sender.vm);
            let update = self.lock().update_for_child(sender, digest);
            reply.is_full_view = update.is_full;
            reply.heartbeats = update.delta.changed;
            reply.removed_vms = update.delta.removed;
        }
        reply
    }
}
