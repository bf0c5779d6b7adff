//! Compiles the view to the configuration that the data plane uses, and logs its changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::config::{ObjectSet, SpecError, compile, with_upstreams};
use crate::core::{ConfigSnapshot, FailureDomain, TenantId, TenantRecord, TenantTable};
use crate::fleet::codec::{DeclaredService, DeclaredTenant, DeploymentCodec};
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
            let tenants = config.tenants.as_deref();
            let tenants = tenants.map(|tenants| Arc::new(tenant_table(tenants, &self.regions)));
            self.base_snapshot = Some(ConfigSnapshot { tenants, ..outcome.snapshot });
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
            let region = self.regions.get(&upstream.failure_domain).map(String::as_str);
            declared.push(declared_upstream(upstream, service, region));
        }
        let mut snapshot = with_upstreams(base_snapshot, declared, previous);
        snapshot.replaced_rules = self.replaced_rules();
        for upstream in snapshot.upstreams.values() {
            upstream.set_evacuated(self.evacuations.contains(&upstream.spec.failure_domain));
        }
        Some(snapshot)
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

/// The tenants by name and key. One whose regions have no failure domain is allowed in none.
fn tenant_table(tenants: &[DeclaredTenant], regions: &BTreeMap<String, String>) -> TenantTable {
    let mut table = TenantTable::default();
    for tenant in tenants {
        let allowed_domains = (!tenant.allowed_regions.is_empty()).then(|| {
            let mut domains = BTreeSet::new();
            for (domain, region) in regions {
                if tenant.allowed_regions.contains(region) {
                    domains.insert(FailureDomain::new(domain));
                }
            }
            domains
        });
        let record = TenantRecord {
            name: TenantId::new(&tenant.name),
            rank: tenant.rank,
            quota: tenant.quota,
            allowed_domains,
        };
        table.insert(record, &tenant.keys);
    }
    table
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
