//! Rules of configurations that were replaced a moment ago.
//!
//! A request may have been sent before the configuration under which it is admitted. For a short time
//! it therefore runs at most once also if a replaced configuration says so.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::{ConfigSnapshot, ReplacedRules};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::view::DeploymentView;

/// Time for which replaced rules count: that of a request on its way to this entry.
const TRANSITION_TIME: Duration = Duration::from_millis(500);

/// Rules of a replaced configuration.
#[derive(Debug)]
pub(super) struct ReplacedConfig {
    rules: Arc<ReplacedRules>,
    until: Instant,
}

impl<D: DeploymentCodec> DeploymentView<D> {
    /// Keeps the rules of the compiled configuration, which is being replaced.
    pub(super) fn replace_base(&mut self, now: Instant) {
        let Some(ConfigSnapshot { request_rules, idempotence_rules, .. }) =
            self.base_snapshot.take()
        else {
            return;
        };
        let rules = Arc::new(ReplacedRules { request_rules, idempotence_rules });
        self.replaced.push(ReplacedConfig { rules, until: now + TRANSITION_TIME });
    }

    /// The replaced rules that still count.
    pub(super) fn replaced_rules(&self) -> Vec<Arc<ReplacedRules>> {
        self.replaced.iter().map(|replaced| Arc::clone(&replaced.rules)).collect()
    }

    /// Drops the replaced rules whose time is over. Returns the remaining ones if there were any such.
    pub(in crate::fleet) fn expire_replaced(
        &mut self,
        now: Instant,
    ) -> Option<Vec<Arc<ReplacedRules>>> {
        let before = self.replaced.len();
        self.replaced.retain(|replaced| replaced.until > now);
        (self.replaced.len() < before).then(|| self.replaced_rules())
    }
}
