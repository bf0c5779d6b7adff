//! CONFIG: after another writer has left bytes in the store that can't be read, no change of the
//! desired state or of the targets comes into force any more.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Request;
use crate::record::Record;
use crate::world::{HOST, Route, World};

/// `configApply` and `drain` of the deployment.
const BOUND: Duration = Duration::from_secs(2);
/// Time after the bounds for which requests are sent.
const WATCHED: Duration = Duration::from_secs(8);

fn routes(service: &'static str, has_new: bool) -> Vec<Route> {
    let moved = Route {
        name: "r-moved",
        prefix: "/moved/",
        kind: "safe",
        timeout: "1200ms",
        aim: "600ms",
        service,
    };
    let kept = Route { name: "r-kept", prefix: "/kept/", service: "kept-svc", ..moved };
    let mut routes = vec![moved, kept];
    if has_new {
        routes.push(Route { name: "r-new", prefix: "/new/", ..moved });
    }
    routes
}

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let zones = ["zone-a", "zone-a", "zone-b"];
    let services = [("old-svc", 4), ("new-svc", 4), ("kept-svc", 2)];
    let mut world = match World::start(&services, &zones, &routes("old-svc", false), "6s", record) {
        Ok(world) => world,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    for entry in &world.entries {
        for route in ["moved", "kept"] {
            let id = format!("check-{route}-{}", entry.name);
            if get(&format!("/{route}/w20/check"), &id).send(entry.callers, record).status() != 200
            {
                return Verdict::CouldNotRun("the deployment does not serve".to_owned());
            }
        }
    }
    if has_trouble {
        world.store.put("servers", "other-1", UNREADABLE);
        record.say(&format!("another writer: servers/other-1 has the spec {UNREADABLE}"));
    }
    // Longer than `stableWindow`.
    thread::sleep(Duration::from_secs(4));
    world.put_config("r2", &routes("new-svc", true));
    let leaving = world.targets[8].clone();
    leaving.register(&world.store, "draining");
    record.say(&format!("target {} is draining, acknowledged by the store", leaving.instance));
    let acknowledged = Instant::now();
    thread::sleep(BOUND + Duration::from_millis(100));
    let (mut sent, mut old, mut missing, mut drained) = (0, 0, 0, 0);
    while acknowledged.elapsed() < BOUND + WATCHED {
        for entry in &world.entries {
            sent += 1;
            let id = format!("moved-{sent}");
            get(&format!("/moved/w20/{sent}"), &id).send(entry.callers, record);
            old +=
                u32::from(world.ran_at(&id).is_some_and(|instance| instance.starts_with("i-old")));
            let answer = get(&format!("/new/w20/{sent}"), &format!("new-{sent}"))
                .send(entry.callers, record);
            missing += u32::from(answer.status() == 404);
            let id = format!("kept-{sent}");
            get(&format!("/kept/w20/{sent}"), &id).send(entry.callers, record);
            drained +=
                u32::from(world.ran_at(&id).is_some_and(|instance| instance == leaving.instance));
        }
        thread::sleep(Duration::from_millis(150));
    }
    record.say(&format!(
        "sent later than configApply after r2: {sent} requests on each route; run by the old service: {old}, 404 on the new route: {missing}"
    ));
    record.say(&format!("sent later than drain after the report: {drained} of {sent} requests run by the draining target"));
    // For the record only.
    let last = world.entries.len() - 1;
    world.entries[last].restart();
    let is_ready = world.entries[last].wait_until_ready(RESTART_LIMIT);
    record.say(&format!(
        "an entry that starts again is ready within {} s: {is_ready}",
        RESTART_LIMIT.as_secs()
    ));
    if old + missing > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Bytes that are no text, as a JSON writer escapes them.
const UNREADABLE: &str = r#""\udcff\udc80\udcfe""#;
/// Time for which an entry that starts again is observed.
const RESTART_LIMIT: Duration = Duration::from_secs(10);

fn get(path: &str, id: &str) -> Request {
    Request::new("GET", HOST, path.to_owned(), id.to_owned(), 2500)
}
