//! Number of connections that one entry may hold to an upstream.
//!
//! An upstream accepts a limited number of connections from all entries together. Each entry takes
//! an equal share, computed from the number of live entries that it knows of. Membership views
//! differ while entries come and go, so the share allows for a few unknown entries, falls as soon
//! as an entry joins, and rises only after the count has stayed lower for a while.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which a higher count of entries still applies after entries have left.
const COUNT_HOLD: Duration = Duration::from_secs(30);
/// Least number of entries assumed to have joined unnoticed.
const MIN_UNKNOWN_ENTRIES: u32 = 2;
/// One entry is assumed to have joined unnoticed for this many known ones.
const KNOWN_PER_UNKNOWN_ENTRY: u32 = 8;
/// Entries assumed while the count is not known.
const DEFAULT_ENTRIES: u32 = 64;

/// Sliding-window maximum of the count of live entries. The kept counts fall from the oldest to the
/// newest (monotonic queue).
#[derive(Clone, Debug, Default)]
pub struct EntryCountWindow {
    peaks: VecDeque<CountPeak>,
}

#[derive(Clone, Copy, Debug)]
struct CountPeak {
    at: Instant,
    entries: u32,
}

impl EntryCountWindow {
    /// Records the current count of live entries; 0 if it is not known.
    pub fn observe(&mut self, entries: u32, now: Instant) {
        if entries == 0 {
            return;
        }
        while self.peaks.back().is_some_and(|peak| peak.entries <= entries) {
            self.peaks.pop_back();
        }
        self.peaks.push_back(CountPeak { at: now, entries });
        while self.peaks.len() > 1
            && self.peaks.front().is_some_and(|peak| now.duration_since(peak.at) > COUNT_HOLD)
        {
            self.peaks.pop_front();
        }
    }

    /// Number of entries among which the connections of an upstream are divided.
    pub fn sharing_entries(&self) -> u32 {
        let Some(peak) = self.peaks.front() else { return DEFAULT_ENTRIES };
        peak.entries + MIN_UNKNOWN_ENTRIES.max(peak.entries / KNOWN_PER_UNKNOWN_ENTRY)
    }
}

/// Connections that one of `sharing_entries` entries may hold; at least 1.
pub fn connection_share(max_connections: u32, sharing_entries: u32) -> u32 {
    (max_connections / sharing_entries.max(1)).max(1)
}
