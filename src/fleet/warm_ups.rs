//! Warm-ups of upstreams: this entry's shares, and news for the other entries and the log.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::{ConfigSnapshot, UpstreamState, WarmUpChange, WarmUpSource};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::entry_settings::WarmUpTolerance;
use crate::fleet::fleet_metrics::ColdUpstreamStatus;
use crate::fleet::peer_message::ColdUpstream;
use crate::fleet::state::FleetState;
use crate::fleet::warm_up_shares::WarmUpMembers;

/// What this entry's shares of cold upstreams depend on.
#[derive(Debug, Default)]
pub(super) struct WarmUpPlan {
    /// Tolerance of the settings; `None` if rates are not enforced.
    tolerance: Option<WarmUpTolerance>,
    members: Option<WarmUpMembers>,
    /// Revision of the registered entries when `members` were read, whether this entry was one, and
    /// whether it had read all rosters.
    source: Option<(u64, bool, bool)>,
    /// Number of changes of tolerance and members.
    revision: u64,
}

impl WarmUpPlan {
    fn set_tolerance(&mut self, tolerance: Option<WarmUpTolerance>) {
        self.tolerance = tolerance;
        self.revision += 1;
    }
}

impl<D: DeploymentCodec> FleetState<D> {
    /// Enforces the rates of cold upstreams with this tolerance; with `None`, not at all.
    #[must_use]
    pub fn with_warm_up(self, tolerance: Option<WarmUpTolerance>) -> Self {
        self.warm_up_plan().set_tolerance(tolerance);
        self
    }

    /// Replaces the tolerance.
    pub fn set_warm_up(&self, tolerance: Option<WarmUpTolerance>) {
        if self.warm_up_plan().tolerance == tolerance {
            return;
        }
        self.warm_up_plan().set_tolerance(tolerance);
        let Some(snapshot) = self.snapshot.load_full() else { return };
        for upstream in snapshot.upstreams.values() {
            if tolerance.is_none() {
                upstream.warm_up().disable();
            }
        }
        self.set_warm_up_shares(&snapshot, Instant::now());
    }

    /// Sets this entry's shares of the upstreams whose services name a rate for warm-ups, and applies
    /// the warm-ups of their registrations.
    pub(super) fn set_warm_up_shares(&self, snapshot: &ConfigSnapshot, now: Instant) {
        let mut plan = self.warm_up_plan();
        let Some(tolerance) = plan.tolerance else { return };
        let (is_registered, may_stand_in) = (self.is_registered(now), self.has_read_rosters());
        {
            let table = self.table();
            let source = Some((table.registered_revision(), is_registered, may_stand_in));
            if plan.source != source {
                plan.members = Some(table.registered_members(is_registered, may_stand_in));
                plan.source = source;
                plan.revision += 1;
            }
        }
        let Some(members) = &plan.members else { return };
        for upstream in snapshot.upstreams.values() {
            let warm_up = upstream.warm_up();
            let Some(per_second) = upstream.spec.warm_up_per_second else {
                if warm_up.share().is_some() {
                    warm_up.disable();
                }
                continue;
            };
            if warm_up.needs_share(plan.revision, per_second) {
                let domain = &upstream.failure_domain;
                let share = members.share(&upstream.name, domain, per_second, tolerance);
                warm_up.set_share(share, plan.revision);
            }
            warm_up.record_registration(upstream.spec.warm_up);
        }
    }

    /// Updates the shares, and queues what health checks of this entry have shown for the others.
    pub(super) fn update_warm_ups(&self, now: Instant) {
        let cold = self.take_warm_ups(now);
        if !cold.is_empty() {
            self.queue_warm_ups(cold);
        }
    }

    /// Updates the shares, logs which upstreams have become cold or warm, and returns what health
    /// checks of this entry have shown and the others have not been told yet.
    pub fn take_warm_ups(&self, now: Instant) -> Vec<ColdUpstream> {
        let mut cold = Vec::new();
        if self.warm_up_plan().tolerance.is_none() {
            return cold;
        }
        let Some(snapshot) = self.snapshot.load_full() else { return cold };
        self.set_warm_up_shares(&snapshot, now);
        for upstream in snapshot.upstreams.values() {
            let news = upstream.warm_up().take_news(now);
            if let Some(change) = news.change {
                log_change(upstream, change);
            }
            if let Some(left) = news.shared_left {
                let left_ms = left.as_millis() as u64;
                cold.push(ColdUpstream { instance: upstream.name.clone(), left_ms });
            }
        }
        cold
    }

    /// Records warm-ups that another entry has seen; those of unknown upstreams are ignored.
    pub fn apply_peer_warm_ups(&self, cold: &[ColdUpstream]) {
        if cold.is_empty() {
            return;
        }
        let Some(snapshot) = self.snapshot.load_full() else { return };
        for learned in cold {
            let key = snapshot.upstream_names.get(&learned.instance);
            let Some(upstream) = key.and_then(|key| snapshot.upstreams.get(*key)) else { continue };
            upstream.warm_up().record_peer(Duration::from_millis(learned.left_ms));
        }
    }
}

/// The cold upstreams, and what this entry has sent them since the last call.
pub(super) fn cold_upstreams(snapshot: &ConfigSnapshot) -> ColdUpstreamStatus {
    let now = Instant::now();
    let mut status = ColdUpstreamStatus::default();
    for upstream in snapshot.upstreams.values() {
        let warm_up = upstream.warm_up();
        status.sent += warm_up.take_sent();
        if !warm_up.is_cold(now) {
            continue;
        }
        status.upstreams += 1;
        status.allowed_per_second += warm_up.share().map_or(0.0, |share| share.limit.per_second);
    }
    status
}

fn log_change(upstream: &UpstreamState, change: WarmUpChange) {
    match change {
        WarmUpChange::Began { left, source, share } => {
            let source = match source {
                WarmUpSource::Registration => "registration",
                WarmUpSource::Response => "response",
                WarmUpSource::Peer => "peer",
            };
            log::info!(
                target: "upstream",
                "is cold instance={} ms={} per_second={} share={:.2} source={source}",
                upstream.name,
                left.as_millis(),
                share.total_per_second,
                share.limit.per_second,
            );
        }
        WarmUpChange::Ended { sent } => log::info!(
            target: "upstream",
            "is no longer cold instance={} sent={sent}",
            upstream.name,
        ),
    }
}
