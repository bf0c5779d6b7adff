//! TWICE: an entry that the store turns away repeats requests of a route that was added as `unsafe`.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Request, Sent};
use crate::record::Record;
use crate::world::{HOST, Route, World};

/// `configApply` of the deployment.
const BOUND: Duration = Duration::from_secs(2);
/// Entries that the store turns away: those of one zone, a third of all.
const TURNED_AWAY: [usize; 2] = [0, 1];
/// From when on requests of the new route are sent, after its acknowledgement, and how many.
const SENT_AFTER: Duration = Duration::from_millis(2050);
const ORDERS: u32 = 20;
const INTERVAL: Duration = Duration::from_millis(60);
/// Usual work of the service, and that of an order.
const USUAL_MS: u64 = 60;
const ORDER_MS: u64 = 500;

fn routes(has_new: bool) -> Vec<Route> {
    let shop = Route {
        name: "r-shop",
        prefix: "/shop/",
        kind: "safe",
        timeout: "2500ms",
        aim: "600ms",
        service: "shop",
    };
    let mut routes = vec![shop];
    if has_new {
        routes.push(Route { name: "r-pay", prefix: "/shop/pay/", kind: "unsafe", ..shop });
    }
    routes
}

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let zones = ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"];
    let world = match World::start(&[("shop", 9)], &zones, &routes(false), "6s", record) {
        Ok(world) => world,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let entry = world.entries[0].callers;
    for index in 0..60 {
        let id = format!("browse-{index}");
        let path = format!("/shop/w{USUAL_MS}/{id}");
        if Request::new("GET", HOST, path, id, 5000).send(entry, record).status() != 200 {
            return Verdict::CouldNotRun("the deployment does not serve".to_owned());
        }
    }
    if has_trouble {
        for index in TURNED_AWAY {
            world.gates[index].go_down();
            record.say(&format!(
                "the store turns {} away from now on: silence",
                world.entries[index].name
            ));
        }
    }
    world.put_config("r2", &routes(true));
    let acknowledged = Instant::now();
    thread::sleep(SENT_AFTER);
    let mut clients = Vec::new();
    for index in 0..ORDERS {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("order-{index}");
            let path = format!("/shop/pay/w{ORDER_MS}/{id}");
            Request::new("POST", HOST, path, id, 5000).send(entry, &record)
        }));
        thread::sleep(INTERVAL);
    }
    let answers: Vec<Sent> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let runs = world.runs.lock().unwrap();
    let mut twice = 0;
    for answer in &answers {
        let at: Vec<&str> = runs
            .iter()
            .filter(|run| run.id == answer.id)
            .map(|run| run.instance.as_str())
            .collect();
        let sent_after = answer.sent - acknowledged;
        let is_twice = at.len() > 1 && sent_after > BOUND;
        twice += u32::from(is_twice);
        record.say(&format!(
            "{}: sent {:.3} s after r2, run by {at:?}, answered {}",
            answer.id,
            sent_after.as_secs_f64(),
            answer.status(),
        ));
    }
    record.say(&format!("orders: {}, run more than once: {twice}", answers.len()));
    if twice > 0 { Verdict::Broken } else { Verdict::Held }
}
