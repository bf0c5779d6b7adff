//! Decides what the follower does next, from what is known and when it was last confirmed.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::load_update::name_digest;
use crate::fleet::peer_table::PeerTable;
use crate::fleet::store_follower::StoreFollower;
use crate::fleet::view_gap::GapKind;
use crate::platform::PlatformStore;

/// Time from the start of an entry for which gaps are closed by relaxed lists; the bounds for changes
/// apply from 3 s after the start.
const RELAXED_CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Most relaxed lists to close gaps.
const MAX_RELAXED_LISTS: u32 = 2;
/// Time from the start of an entry for which its catching up is spread as at a start.
const START_TIME: Duration = Duration::from_secs(2);
/// Time between two looks whether missing parts of a configuration have arrived.
const PART_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Wait of a watch that only confirms the view.
const CONFIRMATION_WATCH_WAIT: Duration = Duration::from_millis(1);

/// Next action of the follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StoreAction {
    /// Read everything for the first time.
    InitialList,
    /// Read everything by relaxed reads, to close a gap shortly after the start.
    RelaxedList,
    /// Read everything.
    List,
    /// Watch for changes, with this wait.
    Watch(Duration),
    /// Read the configuration alone, which could not be read after the last watch.
    ReadConfig,
    /// Read the configuration alone, to know whether it is the newest.
    ConfirmConfig,
    /// Do nothing before this time, unless woken.
    Sleep(Instant),
}

impl<S: PlatformStore, D: DeploymentCodec> StoreFollower<S, D> {
    /// The next action of the follower.
    pub(super) fn next_action(&self, now: Instant) -> StoreAction {
        if self.state.view().revision() == 0 {
            return StoreAction::InitialList;
        }
        if self.unread_config.is_some() {
            return StoreAction::ReadConfig;
        }
        let schedule = self.state.read_schedule;
        if let Some((noticed_at, kind)) = self.state.gap_since() {
            // The missing change may still be in flight, and entries that keep disagreeing must not
            // overload the store.
            let last = self.last_watch_at.max(self.last_list_at);
            let mut delay = schedule.catch_up_delay + self.catch_up_spread(noticed_at);
            if kind == GapKind::NewerEra {
                // All entries list then, and no message can spare them the call.
                delay += self.state.rank_delay(now);
            }
            let next = last.map_or(now, |at| at + schedule.min_catch_up_interval);
            let next = next.max(noticed_at + delay);
            return match kind {
                _ if next > now => StoreAction::Sleep(next),
                _ if now < noticed_at + schedule.max_part_wait
                    && self.state.awaits_config_parts() =>
                {
                    StoreAction::Sleep(now + PART_CHECK_INTERVAL)
                }
                // The view of an entry that has just started is seldom far behind.
                GapKind::NewerRevision if self.may_read_relaxed(now) => StoreAction::RelaxedList,
                // A watch takes one call; a list may take several pages.
                GapKind::NewerRevision => StoreAction::Watch(CONFIRMATION_WATCH_WAIT),
                GapKind::DigestMismatch | GapKind::NewerEra => StoreAction::List,
            };
        }
        if let Some(end) = self.state.enrolment_deadline(now) {
            // Until the others know this entry, none of them may tell it what changes.
            let age = self.state.freshness.age().unwrap_or_else(|| now - self.created_at);
            let position = name_position(&self.state.table());
            let spread = schedule.enrolment_spread(position);
            let is_full_mesh = self.state.table().is_full_mesh();
            let limit = schedule.enrolment_limit(is_full_mesh) + spread;
            if age >= limit {
                return StoreAction::Watch(CONFIRMATION_WATCH_WAIT);
            }
            let mut due = end.min(now + (limit - age));
            // In a large domain this would cost a call for each entry.
            if is_full_mesh {
                let read_due = self.config_read_at(now) + schedule.enrolment_read_limit(position);
                if read_due <= now {
                    return StoreAction::ConfirmConfig;
                }
                due = due.min(read_due);
            }
            return StoreAction::Sleep(due);
        }
        let expiry = self.state.view().next_expiry();
        let rank = self.state.table().rank(now);
        if rank == 0 {
            let next = self.last_watch_at.map_or(now, |at| at + schedule.min_watch_interval);
            if next > now {
                return StoreAction::Sleep(next);
            }
            // The first watch of a new leader returns earlier: its last confirmation may be old.
            let age = self.state.freshness.age().unwrap_or(schedule.watch_wait);
            let wait = schedule.watch_wait.saturating_sub(age).max(CONFIRMATION_WATCH_WAIT);
            let wait = expiry.map_or(wait, |at| wait.min(at.saturating_duration_since(now)));
            return StoreAction::Watch(wait);
        }
        let limit = schedule.confirmation_limit + self.state.rank_delay(now);
        let age = self.state.freshness.age().unwrap_or_else(|| {
            // The leader confirms the view of an entry that has just enrolled.
            now - self.state.acting_from().map_or(self.created_at, |at| at.max(self.created_at))
        });
        if age >= limit {
            return StoreAction::Watch(CONFIRMATION_WATCH_WAIT);
        }
        let due = now + (limit - age);
        StoreAction::Sleep(expiry.map_or(due, |at| at.min(due)))
    }

    /// Start of the last read of the configuration by this entry or a peer that proves it to be the
    /// newest; that of the entry if there is none.
    fn config_read_at(&self, now: Instant) -> Instant {
        let read_at = self.state.freshness.read_age().and_then(|age| now.checked_sub(age));
        read_at.max(self.confirmed_at).unwrap_or(self.created_at)
    }

    /// Whether a gap may be closed by a relaxed list: the entry has just started in a large domain, where
    /// a watch and a read of the configuration by each entry would cost six times as much. If that does
    /// not close it, a watch does.
    fn may_read_relaxed(&self, now: Instant) -> bool {
        now < self.created_at + RELAXED_CATCH_UP_TIME
            && self.relaxed_lists < MAX_RELAXED_LISTS
            && !self.state.table().is_full_mesh()
    }

    /// Part of the spread that this entry waits before it closes a gap noticed at this time.
    fn catch_up_spread(&self, noticed_at: Instant) -> Duration {
        let table = self.state.table();
        if table.is_full_mesh() {
            return Duration::ZERO;
        }
        let position = name_position(&table);
        let is_starting = noticed_at < self.created_at + START_TIME;
        let schedule = self.state.read_schedule;
        let spread =
            if is_starting { schedule.start_catch_up_spread } else { schedule.catch_up_spread };
        spread.mul_f64(position)
    }
}

/// Position of this entry in a spread of store calls over the entries by their names, from 0 to 1.
fn name_position(table: &PeerTable) -> f64 {
    f64::from(name_digest(table.own().vm.as_str())) / f64::from(u32::MAX)
}
