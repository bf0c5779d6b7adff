//! How many connections to an upstream one entry may hold.
//!
//! An upstream accepts a number of connections from all entries together. Each takes the same
//! share, by the number of live entries that it knows of. Views differ while entries come and go,
//! so the share is cut as if a few more entries were there, falls as soon as one joins, and rises
//! only after a lower count has stood for a while.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which a higher count of entries goes on to count.
const COUNT_HOLD: Duration = Duration::from_secs(30);
/// Entries that may have joined unnoticed, at least.
const MIN_UNNOTICED: u32 = 2;
/// One entry in so many may have joined unnoticed.
const UNNOTICED_DIVISOR: u32 = 8;
/// Entries assumed while none is known.
const UNKNOWN_ENTRIES: u32 = 64;

/// Recent counts of live entries; from oldest to newest they fall.
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
    /// Takes in the present count of live entries; 0 if none is known.
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

    /// Entries that the connections of an upstream are shared among.
    pub fn sharing_entries(&self) -> u32 {
        let Some(peak) = self.peaks.front() else { return UNKNOWN_ENTRIES };
        peak.entries + MIN_UNNOTICED.max(peak.entries / UNNOTICED_DIVISOR)
    }
}

/// Connections that one of `sharers` entries may hold, at least 1.
pub fn connection_share(max_connections: u32, sharers: u32) -> u32 {
    (max_connections / sharers.max(1)).max(1)
}
