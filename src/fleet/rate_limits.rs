//! Rate limits that upstreams name, shared with the other entries of the failure domain.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::{ConfigSnapshot, LimitShare, RateLimit, UpstreamState};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::peer_message::LearnedLimit;
use crate::fleet::state::FleetState;

impl<D: DeploymentCodec> FleetState<D> {
    /// Sets this entry's shares of rate limits, logs what was learned of them, and queues what this
    /// entry learned for the others.
    pub(super) fn update_rate_limits(&self, now: Instant) {
        let Some(snapshot) = self.snapshot.load_full() else { return };
        self.set_limit_shares(&snapshot, now);
        let mut limits = Vec::new();
        for upstream in snapshot.upstreams.values() {
            let Some(news) = upstream.rate_limit().take_news(now) else { continue };
            if news.is_changed {
                log_limit(upstream, news.limit, news.is_own);
            }
            if !news.is_own {
                continue;
            }
            limits.push(LearnedLimit {
                instance: upstream.name.clone(),
                per_second: news.limit.map(RateLimit::per_second),
                age_ms: news.age.as_millis() as u64,
            });
        }
        if !limits.is_empty() {
            self.queue_limits(limits);
        }
    }

    fn set_limit_shares(&self, snapshot: &ConfigSnapshot, now: Instant) {
        let mut members = None;
        for upstream in snapshot.upstreams.values() {
            let Some(limit) = upstream.rate_limit().limit() else { continue };
            // An entry that does not know the others yet leaves the limits to them.
            let share = if self.enrolment_deadline(now).is_some() {
                LimitShare::none(0)
            } else {
                let members = members.get_or_insert_with(|| self.table().limit_members(now));
                members.share(&upstream.name, limit)
            };
            upstream.rate_limit().set_share(share);
        }
    }

    /// Records limits that another entry has learned; those of unknown upstreams are ignored.
    pub(super) fn apply_peer_limits(&self, limits: &[LearnedLimit]) {
        let Some(snapshot) = self.snapshot.load_full() else { return };
        for learned in limits {
            let key = snapshot.upstream_names.get(&learned.instance);
            let Some(upstream) = key.and_then(|key| snapshot.upstreams.get(*key)) else { continue };
            let limit = learned.per_second.and_then(RateLimit::new);
            upstream.rate_limit().record_peer(limit, Duration::from_millis(learned.age_ms));
        }
    }
}

/// Number of upstreams that name a limit now.
pub(super) fn limited_upstreams(snapshot: &ConfigSnapshot) -> usize {
    let mut count = 0;
    for upstream in snapshot.upstreams.values() {
        count += usize::from(upstream.rate_limit().limit().is_some());
    }
    count
}

fn log_limit(upstream: &UpstreamState, limit: Option<RateLimit>, is_own: bool) {
    let source = if is_own { "response" } else { "peer" };
    match limit {
        Some(limit) => log::info!(
            target: "upstream",
            "named a rate limit instance={} per_second={} source={source}",
            upstream.name,
            limit.per_second(),
        ),
        None => log::info!(
            target: "upstream",
            "no longer names a rate limit instance={} source={source}",
            upstream.name,
        ),
    }
}
