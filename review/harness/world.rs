//! A small deployment: store, targets and entries.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::entry::{Deployment, Entry};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Runs, Target};

pub const HOST: &str = "shop.example";
/// Longest time until all entries are ready and enrolled.
const START_LIMIT: Duration = Duration::from_secs(15);
/// Time after which entries that have started follow the store as usual.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// A route of the desired state.
#[derive(Clone, Copy)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout: &'static str,
    pub aim: &'static str,
    pub service: &'static str,
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a deployment consists of.
#[derive(Clone, Copy)]
pub struct Plan<'a> {
    /// Services, and their numbers of targets.
    pub services: &'a [(&'static str, usize)],
    /// Zones of the targets of a service, in turn.
    pub target_zones: &'a [&'a str],
    /// Zones of the entries, one for each.
    pub zones: &'a [&'a str],
    pub routes: &'a [Route],
    pub grace: &'a str,
    /// Whether targets tell their load.
    pub has_load: bool,
    /// Member of the desired state with the tenants; empty for none.
    pub tenants: &'a str,
    /// Optional settings of the entries.
    pub optional: &'a str,
}

impl Default for Plan<'_> {
    fn default() -> Self {
        Self {
            services: &[],
            target_zones: &[],
            zones: &[],
            routes: &[],
            grace: "6s",
            has_load: true,
            tenants: "",
            optional: "",
        }
    }
}

pub struct World {
    // Entries end first, then the folder goes.
    pub entries: Vec<Entry>,
    pub targets: Vec<Target>,
    pub store: Store,
    /// The store as each entry reaches it.
    pub gates: Vec<Store>,
    pub runs: Runs,
    pub record: Record,
    services: Vec<&'static str>,
    /// Member of the desired state with the tenants; empty for none.
    tenants: String,
    _folder: Folder,
}

impl World {
    /// Starts targets (`service`, number) and entries (one for each zone named), with these routes.
    pub fn start(
        services: &[(&'static str, usize)],
        zones: &[&str],
        routes: &[Route],
        grace: &str,
        record: &Record,
    ) -> Result<Self, String> {
        let plan = Plan { services, target_zones: zones, zones, routes, grace, ..Plan::default() };
        Self::start_with(&plan, record)
    }

    /// Starts what the plan says.
    pub fn start_with(plan: &Plan<'_>, record: &Record) -> Result<Self, String> {
        let Plan { services, target_zones, zones, routes, grace, has_load, tenants, optional } =
            *plan;
        let store = Store::start();
        let runs: Runs = Arc::default();
        let mut targets = Vec::new();
        for (service, count) in services {
            for index in 0..*count {
                let zone = target_zones[index % target_zones.len()];
                let instance = format!("i-{service}-{index}");
                let target = Target::start(&instance, service, zone, has_load, &runs, record);
                target.register(&store, "ready");
                targets.push(target);
            }
        }
        let folder =
            std::env::temp_dir().join(format!("heatherfall-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let folder = Folder(folder);
        let mut world = Self {
            entries: Vec::new(),
            targets,
            store,
            gates: Vec::new(),
            runs,
            record: record.clone(),
            tenants: tenants.to_owned(),
            services: services.iter().map(|(name, _)| *name).collect(),
            _folder: folder,
        };
        world.put_config("r1", routes);
        let mut names: Vec<&str> = zones.to_vec();
        names.sort_unstable();
        names.dedup();
        for (index, zone) in zones.iter().enumerate() {
            world.gates.push(world.store.for_machine());
            let deployment = Deployment {
                store: world.gates[index].address,
                zones: &names,
                grace,
                optional,
                folder: &world._folder.0,
            };
            let name = format!("front-{zone}-{}", index + 1);
            world.entries.push(Entry::start(index, &name, zone, &deployment, record));
        }
        for entry in &world.entries {
            if !entry.wait_until_ready(START_LIMIT) {
                return Err(format!("entry {} is not ready", entry.name));
            }
        }
        record.say("all entries are ready");
        std::thread::sleep(SETTLE_TIME);
        Ok(world)
    }

    /// Instance that has run a request.
    pub fn ran_at(&self, id: &str) -> Option<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter().find(|run| run.id == id).map(|run| run.instance.clone())
    }

    /// Writes a desired state, as the operator does; the return is the acknowledgement.
    pub fn put_config(&self, version: &str, routes: &[Route]) {
        let mut rows = Vec::new();
        for (rank, route) in routes.iter().enumerate() {
            let Route { name, prefix, kind, timeout, aim, service } = route;
            rows.push(format!(
                r#"["{name}","{HOST}","{prefix}","{kind}","{timeout}","{aim}",{rank},"{service}",2,null]"#
            ));
        }
        let mut services = Vec::new();
        for service in &self.services {
            services.push(format!(r#"["{service}","/health",260,"h1",false]"#));
        }
        let spec = format!(
            r#"{{"version":"{version}","routes":{{"columns":["name","host","pathPrefix","kind","timeout","aim","priority","service","maxAttempts","backends"],"rows":[{}]}},"services":{{"columns":["name","healthCheck","maxConnections","protocol","tls"],"rows":[{}]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}{}}}"#,
            rows.join(","),
            services.join(","),
            self.tenants,
        );
        self.store.put("config", "main", &spec);
        self.record.say(&format!("operator: desired state {version} acknowledged by the store"));
    }
}
