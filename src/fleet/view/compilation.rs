//! Compiles the view to the configuration that the data plane uses, and logs its changes.

use crate::config::{ObjectSet, SpecError, compile, with_upstreams};
use crate::core::ConfigSnapshot;
use crate::fleet::codec::{DeclaredService, DeploymentCodec};
use crate::fleet::objects::{declared_upstream, set_config_objects};
use crate::fleet::view::{ActiveConfig, DeploymentView};
use crate::fleet::view_change::{NameList, ViewChange};
use crate::util::FastMap;

/// Invalid objects logged per compilation, so that they cannot flood the log.
const MAX_LOGGED_ERRORS: usize = 8;

impl<D: DeploymentCodec> DeploymentView<D> {
    /// Compiles the view; `None` before the first configuration. Upstreams that `previous` has
    /// under the same name and address keep their key and counters.
    pub fn compile(&mut self, previous: Option<&ConfigSnapshot>) -> Option<ConfigSnapshot> {
        let ActiveConfig { object, declared: config } = self.config.as_ref()?;
        if self.base_snapshot.is_none() {
            let mut objects = ObjectSet::default();
            set_config_objects(&mut objects, config, object.version);
            let outcome = compile(&objects, config.generation, None);
            log_errors(&outcome.errors);
            self.base_snapshot = Some(outcome.snapshot);
        }
        let base_snapshot = self.base_snapshot.as_ref()?;
        let mut services: FastMap<&str, &DeclaredService> = FastMap::default();
        for service in &config.services {
            services.insert(&service.name, service);
        }
        let mut declared = Vec::with_capacity(self.upstreams.len());
        for entry in self.upstreams.values() {
            let Some(upstream) = &entry.upstream else { continue };
            let service = services.get(upstream.service.as_str()).copied();
            declared.push(declared_upstream(upstream, service));
        }
        Some(with_upstreams(base_snapshot, declared, previous))
    }

    /// Logs a change of the upstreams; `source` is `store` or `peer`.
    pub fn log_change(&self, change: &ViewChange, source: &str) {
        if !change.has_upstreams() {
            // A change of the configuration is logged where it is applied.
            return;
        }
        let (mut ready, mut draining) = (NameList::default(), NameList::default());
        for object in &change.puts {
            match self.codec.upstream(object) {
                Ok(upstream) if upstream.is_draining => draining.push(&object.name),
                Ok(_) => ready.push(&object.name),
                // Logged when the registration was decoded into the view.
                Err(_) => {}
            }
        }
        let (mut removed, mut held) = (NameList::default(), NameList::default());
        for name in &change.deletes {
            removed.push(name);
        }
        for name in &change.held {
            held.push(name);
        }
        log::info!(
            target: "upstream",
            "changed source={source} base={} revision={} ready={ready} draining={draining} gone={removed} kept={held}",
            change.base,
            change.revision,
        );
    }
}

fn log_errors(errors: &[SpecError]) {
    for error in errors.iter().take(MAX_LOGGED_ERRORS) {
        log::warn!(
            target: "config",
            "{}: skipped an invalid object kind={} name={} reason={}",
            error.code,
            error.kind.as_str(),
            error.name,
            error.message,
        );
    }
}
