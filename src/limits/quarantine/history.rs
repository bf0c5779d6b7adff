//! The records of the requests with one target and content, and which requests they refuse.

use std::time::Duration;

use tokio::time::Instant;

use crate::limits::quarantine::QuarantineSettings;
use crate::limits::quarantine::request::{RequestTraits, TRAITS, TraitSet, TraitSets};

/// Crashes that are kept of one target and content, the latest ones.
const MAX_CRASHES: usize = 16;
/// Latest responses that are kept of one target and content, for crashes that are reported later.
const MAX_RESPONSES: usize = 8;
/// Time by which a crash must be later than the oldest kept one to replace it. Entries know the ages
/// of crashes within some hundred milliseconds only, and must not replace them by turns.
const REPLACEMENT_MARGIN: Duration = Duration::from_secs(1);
/// Least time between crashes that count if they do not have all traits in common. Upstreams that
/// fail together were running several requests for the same popular target.
const MIN_CRASH_GAP: Duration = Duration::from_millis(50);

/// The records of the requests with one target and content.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestHistory {
    /// Oldest first.
    pub(super) crashes: Vec<UpstreamCrash>,
    /// Oldest first.
    responses: Vec<RequestResponse>,
}

/// An upstream that ended under a request with these traits.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamCrash {
    pub(super) upstream: u32,
    pub(super) traits: RequestTraits,
    pub(super) at: Instant,
    /// See `CrashRecord::cleared`.
    pub(super) cleared: TraitSets,
}

/// A response to a request with these traits.
#[derive(Clone, Copy, Debug)]
struct RequestResponse {
    traits: RequestTraits,
    at: Instant,
}

impl RequestHistory {
    /// Whether there is a crash that has not been cleared.
    pub(super) fn is_suspect(&self) -> bool {
        self.crashes.iter().any(|crash| crash.cleared != TraitSets::ALL)
    }

    /// Time of the latest crash.
    pub(super) fn last_crash_at(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Until when a request with these traits is refused; none if it may be sent.
    pub(super) fn refused_until(
        &self,
        traits: RequestTraits,
        settings: &QuarantineSettings,
    ) -> Option<Instant> {
        if self.crashes.len() < settings.min_crashes {
            return None;
        }
        let mut refused_until = None;
        for set in TraitSet::all() {
            let Some(last_at) = self.last_crash_of(set, traits, settings) else { continue };
            let time = match set {
                TraitSet::ALL => settings.refusal_time,
                _ => settings.partial_refusal_time,
            };
            refused_until = refused_until.max(Some(last_at + time));
        }
        refused_until
    }

    /// Time of the last crash if enough have `set` in common with a request of these traits, and all
    /// other traits differ among them.
    fn last_crash_of(
        &self,
        set: TraitSet,
        traits: RequestTraits,
        settings: &QuarantineSettings,
    ) -> Option<Instant> {
        let mut crashes = Vec::with_capacity(self.crashes.len());
        for crash in &self.crashes {
            let is_selected = set.is_subset(TraitSet::common(crash.traits, traits));
            if is_selected && !crash.cleared.contains(set) {
                crashes.push(crash);
            }
        }
        let gap = if set == TraitSet::ALL { Duration::ZERO } else { MIN_CRASH_GAP };
        if count_crashes(&crashes, gap) < settings.min_crashes {
            return None;
        }
        for index in 0..TRAITS {
            let first = crashes[0].traits.values()[index];
            let differs = crashes.iter().any(|crash| crash.traits.values()[index] != first);
            if !set.contains(index) && !differs {
                return None;
            }
        }
        crashes.last().map(|crash| crash.at)
    }

    /// Adds a crash; returns whether it, or what clears it, is new. The latest are kept, in whatever
    /// order they arrive.
    pub(super) fn add_crash(&mut self, mut crash: UpstreamCrash) -> bool {
        for response in &self.responses {
            if response.at >= crash.at {
                let common = TraitSet::common(crash.traits, response.traits);
                crash.cleared.add(TraitSets::subsets_of(common));
            }
        }
        if let Some(known) = self.crash_mut(crash.traits, crash.upstream) {
            return known.cleared.add(crash.cleared);
        }
        if self.crashes.len() == MAX_CRASHES {
            if crash.at <= self.crashes[0].at + REPLACEMENT_MARGIN {
                return false;
            }
            self.crashes.remove(0);
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        true
    }

    pub(super) fn crash_mut(
        &mut self,
        traits: RequestTraits,
        upstream: u32,
    ) -> Option<&mut UpstreamCrash> {
        self.crashes.iter_mut().find(|known| known.traits == traits && known.upstream == upstream)
    }

    /// The crash of this upstream under a request with these traits.
    pub(super) fn crash(&self, traits: RequestTraits, upstream: u32) -> Option<&UpstreamCrash> {
        self.crashes.iter().find(|known| known.traits == traits && known.upstream == upstream)
    }

    /// Clears what has as much in common with a request that got a response; returns the crashes
    /// for which that is new.
    pub(super) fn clear(&mut self, traits: RequestTraits, now: Instant) -> Vec<UpstreamCrash> {
        if self.responses.len() == MAX_RESPONSES {
            self.responses.remove(0);
        }
        self.responses.push(RequestResponse { traits, at: now });
        let mut changed = Vec::new();
        for crash in &mut self.crashes {
            let common = TraitSet::common(crash.traits, traits);
            if crash.cleared.add(TraitSets::subsets_of(common)) {
                changed.push(*crash);
            }
        }
        changed
    }

    /// Drops the records that no longer count; returns whether crashes are left.
    pub(super) fn retain_valid(&mut self, settings: &QuarantineSettings, now: Instant) -> bool {
        self.crashes.retain(|crash| now.saturating_duration_since(crash.at) < settings.record_ttl);
        !self.crashes.is_empty()
    }
}

/// Number of different upstreams, without crashes that follow a counted one within `gap`.
fn count_crashes(crashes: &[&UpstreamCrash], gap: Duration) -> usize {
    let mut counted: Vec<&UpstreamCrash> = Vec::with_capacity(crashes.len());
    for crash in crashes {
        let is_known = counted.iter().any(|known| known.upstream == crash.upstream);
        let is_later = counted.last().is_none_or(|last| crash.at >= last.at + gap);
        if is_later && !is_known {
            counted.push(crash);
        }
    }
    counted.len()
}
