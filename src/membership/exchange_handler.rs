//! How a [`ControlNode`] answers the calls of its peers.

use std::time::Duration;

use tokio::time::Instant;

use crate::membership::control_node::{ControlNode, MAX_EXCHANGE_WAIT};
use crate::membership::heartbeat_table::{HeartbeatSource, MergeEffect};
use crate::peer::generated::peer::{ExchangeReply, ExchangeRequest};

impl ControlNode {
    /// Answers a call.
    pub async fn handle_exchange(&self, request: ExchangeRequest) -> ExchangeReply {
        let arrived = Instant::now();
        let wait = Duration::from_millis(request.wait_ms).min(MAX_EXCHANGE_WAIT);
        let mut news = self.child_updates.subscribe();
        let wanted = self.take_request(&request);
        let deadline = arrived + wait;
        while wanted.is_empty() && !self.has_news(&request) {
            if tokio::time::timeout_at(deadline, news.changed()).await.is_err() {
                break;
            }
        }
        ExchangeReply { wanted_vms: wanted, ..self.reply(&request, arrived) }
    }

    /// Takes in what the caller knows and returns the VMs of which it should send whole records.
    fn take_request(&self, request: &ExchangeRequest) -> Vec<String> {
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

    fn has_news(&self, request: &ExchangeRequest) -> bool {
        if self.generation_applier.number().0 > request.known_generation
            || self.drain_hints.cursor() > request.drain_cursor.max(self.initial_drain_cursor)
        {
            return true;
        }
        request.view_digest.is_some_and(|digest| digest != self.lock().view().digest())
    }

    fn reply(&self, request: &ExchangeRequest, arrived: Instant) -> ExchangeReply {
        let drains = self.drain_hints.changes_since(request.drain_cursor);
        let mut reply = ExchangeReply {
            drain_hints: drains.hints,
            drain_cursor: drains.cursor,
            waited_ms: arrived.elapsed().as_millis() as u64,
            confirmed_age_ms: self.freshness.age().map(|age| age.as_millis() as u64),
            ..ExchangeReply::default()
        };
        if let Some(held) = self.generation_applier.current() {
            reply.generation = held.content.number.0;
            if reply.generation > request.known_generation {
                reply.generation_content = held.bytes.clone();
            }
        }
        if let Some(digest) = request.view_digest {
            let sender = request.sender.as_ref().map_or("", |sender| &sender.vm);
            let sent = self.lock().update_for_child(sender, digest);
            reply.is_full_view = sent.is_full;
            reply.heartbeats = sent.delta.changed;
            reply.removed_vms = sent.delta.removed;
        }
        reply
    }
}
