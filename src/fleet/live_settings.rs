//! Settings that take effect while an entry runs.
//!
//! Whoever works by a setting reads it here each time it needs it, so that a file that was read
//! again is in force at once and nothing has to be restarted or cut off.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::fleet::entry_settings::EntrySettings;
use crate::limits::LimitTable;

/// The settings in force; clones share them.
#[derive(Clone, Debug)]
pub struct LiveSettings {
    present: Arc<ArcSwap<EntrySettings>>,
    limits: Arc<LimitTable>,
}

/// What became of settings that were read again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReloadOutcome {
    /// They are the ones in force.
    Unchanged,
    /// All that changed is in force.
    InForce,
    /// What names this VM and its addresses changed; that takes effect at the next start, the rest
    /// is in force.
    PartlyAtStart,
}

impl LiveSettings {
    /// Puts `settings` in force; `limits` are the entry's.
    pub fn new(settings: EntrySettings, limits: Arc<LimitTable>) -> Self {
        Self { present: Arc::new(ArcSwap::from_pointee(settings)), limits }
    }

    /// The settings in force.
    pub fn load(&self) -> Arc<EntrySettings> {
        self.present.load_full()
    }

    /// Puts settings that were read again in force.
    pub fn replace(&self, settings: &EntrySettings) -> ReloadOutcome {
        let known = self.load();
        if *known == *settings {
            return ReloadOutcome::Unchanged;
        }
        // Sockets and identity are those of the start.
        let next = EntrySettings {
            vm: known.vm.clone(),
            failure_domain: known.failure_domain.clone(),
            listen: known.listen.clone(),
            store: known.store,
            changes: known.changes.clone(),
            ..settings.clone()
        };
        let outcome =
            if next == *settings { ReloadOutcome::InForce } else { ReloadOutcome::PartlyAtStart };
        self.limits.set_repeat_allowance(next.repeats.allowance());
        log::set_max_level(next.log.level);
        self.present.store(Arc::new(next));
        outcome
    }
}
