//! EVAC: an evacuation that a restored store has lost is taken back by the entries themselves.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Request, Sent};
use crate::record::Record;
use crate::world::{HOST, Plan, Route, World};

/// `evacuate` of the deployment.
const BOUND: Duration = Duration::from_secs(5);
/// `stableWindow` of the deployment: machines are in touch again so long after the store is back.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// Time from the return of the store until the operator has written the evacuation again.
const REWRITTEN_AFTER: Duration = Duration::from_secs(6);
/// Time for which requests are sent after that.
const WATCHED: Duration = Duration::from_secs(3);
const CLIENTS: u32 = 4;
const PAUSE: Duration = Duration::from_millis(60);

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let routes = [Route {
        name: "r-buy",
        prefix: "/buy/",
        kind: "unsafe",
        timeout: "1500ms",
        aim: "800ms",
        service: "shop",
    }];
    let zones = ["zone-a", "zone-b"];
    let plan = Plan {
        services: &[("shop", 6)],
        target_zones: &zones,
        zones: &zones,
        routes: &routes,
        optional: r#""evacuation": { "bound": "5000ms" },"#,
        ..Plan::default()
    };
    let world = match World::start_with(&plan, record) {
        Ok(world) => world,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let mut clients = Vec::new();
    for entry in &world.entries {
        for _ in 0..CLIENTS {
            let (stop, answers, record) = (Arc::clone(&stop), Arc::clone(&answers), record.clone());
            let entry = entry.callers;
            clients.push(thread::spawn(move || send_until(&stop, entry, &answers, &record)));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let copy = world.store.copy();
    record.say("a copy of the store is made");
    thread::sleep(Duration::from_millis(500));
    world.store.put("evacuations", "zone-b", "{}");
    let acknowledged = Instant::now();
    record.say("operator: the evacuation of zone-b is acknowledged by the store");
    thread::sleep(BOUND + Duration::from_millis(500));
    if has_trouble {
        for gate in &world.gates {
            gate.go_down();
        }
        record.say("the store is away");
    }
    thread::sleep(AWAY);
    if has_trouble {
        world.store.restore(copy);
        for gate in &world.gates {
            gate.come_back();
        }
        record.say("the store is back from the copy");
    }
    let back = Instant::now();
    thread::sleep(REWRITTEN_AFTER);
    // What the operator wrote is written again.
    world.store.put("evacuations", "zone-b", "{}");
    let rewritten = Instant::now();
    record.say("operator: the evacuation of zone-b is in the store");
    thread::sleep(WATCHED);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    let runs = world.runs.lock().unwrap();
    let (mut before, mut late, mut late_in_touch) = (0, 0, 0);
    for answer in answers.iter() {
        let Some(run) = runs.iter().find(|run| run.id == answer.id) else { continue };
        let target = world.targets.iter().find(|target| target.instance == run.instance);
        if target.is_none_or(|target| target.zone != "zone-b") {
            continue;
        }
        if run.began < acknowledged {
            before += 1;
        }
        if run.began > acknowledged + BOUND {
            late += 1;
            // The machines are not in touch while the store is away, and for a time after that.
            late_in_touch += u32::from(!has_trouble || run.began > back + STABLE_WINDOW);
        }
    }
    record.say(&format!(
        "requests: {}; at targets of zone-b before the evacuation: {before}, later than its bound: {late}, of these by machines in touch: {late_in_touch}",
        answers.len(),
    ));
    record
        .line(&format!("written again {:.1} s after the return", (rewritten - back).as_secs_f64()));
    if before == 0 {
        return Verdict::CouldNotRun("the targets of zone-b were not in use".to_owned());
    }
    if late_in_touch > 0 { Verdict::Broken } else { Verdict::Held }
}

fn send_until(stop: &AtomicBool, entry: SocketAddr, answers: &Mutex<Vec<Sent>>, record: &Record) {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    while !stop.load(Ordering::SeqCst) {
        let id = format!("buy-{}", COUNT.fetch_add(1, Ordering::SeqCst));
        let path = format!("/buy/w60/{id}");
        let answer = Request::new("POST", HOST, path, id, 3000).send(entry, record);
        answers.lock().unwrap().push(answer);
        thread::sleep(PAUSE);
    }
}
