//! Settings that can be reloaded while an entry runs.
//!
//! Code that uses a setting loads it here each time, so that a reload takes effect at once, without
//! restarting services or closing connections.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::fleet::entry_settings::{EntrySettings, HedgeLimits};
use crate::limits::LimitTable;

/// The active settings; clones share them.
#[derive(Clone, Debug)]
pub struct LiveSettings {
    current: Arc<ArcSwap<EntrySettings>>,
    limits: Arc<LimitTable>,
}

/// Result of a reload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReloadOutcome {
    /// The settings equal the active ones.
    Unchanged,
    /// All changes are active.
    InForce,
    /// The VM's identity, addresses, change bounds or pipelining differ, which takes effect at the next
    /// start; all other changes are active.
    PartlyAtStart,
}

impl LiveSettings {
    /// Creates the active settings; reloads also update `limits`.
    pub fn new(settings: EntrySettings, limits: Arc<LimitTable>) -> Self {
        Self { current: Arc::new(ArcSwap::from_pointee(settings)), limits }
    }

    /// Current settings.
    pub fn load(&self) -> Arc<EntrySettings> {
        self.current.load_full()
    }

    /// Activates reloaded settings, apart from those that are fixed at the start, and sets the
    /// repeat allowance, the limit on hedges and the log level.
    pub fn replace(&self, settings: &EntrySettings) -> ReloadOutcome {
        let current = self.load();
        if *current == *settings {
            return ReloadOutcome::Unchanged;
        }
        // Sockets with what they serve, identity and the read schedule are fixed at the start.
        let updated = EntrySettings {
            vm: current.vm.clone(),
            failure_domain: current.failure_domain.clone(),
            listen: current.listen.clone(),
            store: current.store,
            changes: current.changes.clone(),
            pipelining: current.pipelining,
            ..settings.clone()
        };
        let outcome = if updated == *settings {
            ReloadOutcome::InForce
        } else {
            ReloadOutcome::PartlyAtStart
        };
        self.limits.set_repeat_allowance(updated.repeats.allowance());
        if updated.hedging != current.hedging {
            self.limits.set_hedge_allowance(updated.hedging.map(HedgeLimits::allowance));
        }
        log::set_max_level(updated.log.level);
        self.current.store(Arc::new(updated));
        outcome
    }
}
