//! A small deployment: the store, targets of two services and entries in three zones.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::entry::{Entry, EntryPlan, MEMORY_MB};
use crate::http::wait_until;
use crate::record::Record;
use crate::store::Store;
use crate::target::{Mode, Runs, Target};

pub const ZONES: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];

pub struct World {
    pub record: Record,
    pub store: Store,
    pub targets: Vec<Target>,
    pub arrivals: Runs,
    pub runs: Runs,
    pub entries: Vec<Entry>,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// Settings as the template has them for the smallest deployment.
fn settings() -> String {
    format!(
        "\"repeats\":{{\"ratio\":0.2,\"extra\":62,\"window\":\"10s\"}},\"changes\":{{\"config\":\"2000ms\",\"drain\":\"2000ms\",\"heartbeat\":\"1500ms\"}},\"probes\":{{\"max_per_second\":60.0}},\"directory\":{{\"lifetime\":\"5s\"}},\"memory_mb\":{MEMORY_MB},\"pipelining\":{{\"max_ahead\":8}},\"regions\":{{\"hcm-a\":\"hcm\",\"hcm-b\":\"hcm\",\"hcm-c\":\"hcm\"}},\"shutdown\":{{\"grace\":\"6s\"}},\"log\":{{\"format\":\"json\",\"level\":\"{}\"}}",
        std::env::var("LEVEL").unwrap_or_else(|_| "INFO".to_owned())
    )
}

/// Services of the routes `/look/`, which is safe, and `/pay/`, which is not.
#[derive(Clone, Copy)]
pub struct Routes<'a> {
    pub version: u32,
    pub look: &'a str,
    pub pay: &'a str,
    /// Targets that one request may be sent to.
    pub attempts: u32,
}

/// The desired state.
pub fn config(routes: Routes<'_>) -> String {
    let Routes { version, look, pay, attempts } = routes;
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeout\",\"aim\",\"priority\",\"service\",\"maxAttempts\",\"backends\"],\"rows\":[[\"r-look\",\"shop.example\",\"/look/\",\"safe\",\"2000ms\",\"600ms\",0,\"{look}\",{attempts},null],[\"r-pay\",\"shop.example\",\"/pay/\",\"unsafe\",\"3000ms\",\"800ms\",0,\"{pay}\",{attempts},null]]}},\"services\":{{\"columns\":[\"name\",\"healthCheck\",\"maxConnections\",\"protocol\",\"tls\"],\"rows\":[[\"lookup\",\"/health\",260,\"h1\",false],[\"other\",\"/health\",260,\"h1\",false],[\"packs\",\"/health\",260,\"h1\",false]]}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}"
    )
}

/// Number of targets of each service.
#[derive(Clone, Copy)]
pub struct Size {
    pub lookup: usize,
    pub other: usize,
    pub packs: usize,
    pub entries: usize,
}

impl World {
    pub fn start(folder: PathBuf, size: Size) -> io::Result<Self> {
        let record = Record::create(&folder)?;
        let store = Store::start()?;
        let (arrivals, runs): (Runs, Runs) = (Arc::default(), Arc::default());
        let mut targets = Vec::new();
        let services =
            [("lookup", size.lookup, 20), ("other", size.other, 20), ("packs", size.packs, 50)];
        for (service, count, time) in services {
            for index in 0..count {
                let target = Target::start(
                    &format!("i-{service}{index}"),
                    service,
                    ZONES[index % ZONES.len()],
                    Mode::Sound(time),
                    (&arrivals, &runs),
                    &record,
                )?;
                target.register(&store);
                targets.push(target);
            }
        }
        store.put(
            "config",
            "main",
            &config(Routes { version: 7, look: "lookup", pay: "packs", attempts: 4 }),
        );
        let mut entries = Vec::new();
        for index in 0..size.entries {
            let plan = EntryPlan {
                name: format!("front-{}-{index}", ZONES[index % ZONES.len()]),
                zone: ZONES[index % ZONES.len()].to_owned(),
                settings: settings(),
            };
            entries.push(Entry::start(index, &plan, store.address, &record)?);
        }
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let world = Self { record, store, targets, arrivals, runs, entries, has_trouble };
        world.record.line(&format!("trouble: {}", world.has_trouble));
        let is_ready =
            wait_until(Duration::from_secs(20), || world.entries.iter().all(Entry::is_ready));
        if !is_ready {
            return Err(io::Error::other("the entries did not get ready"));
        }
        // Traffic starts some seconds after the machines do.
        std::thread::sleep(Duration::from_secs(8));
        Ok(world)
    }

    pub fn service(&self, name: &str) -> Vec<&Target> {
        self.targets.iter().filter(|target| target.service == name).collect()
    }
}
