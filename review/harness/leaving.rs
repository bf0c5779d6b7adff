//! DRAIN: an entry forgets after a minute that a target has said that it is leaving.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Outcome, Request, Sent};
use crate::record::Record;
use crate::world::{HOST, Plan, Route, World};

/// `drain` of the deployment.
const BOUND: Duration = Duration::from_secs(2);
/// Time for which requests are sent before the target begins to leave.
const USUAL: Duration = Duration::from_secs(3);
/// Time for which requests are sent after that.
const WATCHED: Duration = Duration::from_secs(70);
/// Clients that each send one request after the other.
const CLIENTS: u32 = 18;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(40);

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
        services: &[("shop", 4)],
        target_zones: &["zone-b"],
        zones: &zones,
        routes: &routes,
        has_load: false,
        ..Plan::default()
    };
    let world = match World::start_with(&plan, record) {
        Ok(world) => world,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let entry = world.entries[0].callers;
    let target = &world.targets[1];
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let (stop, answers, record) = (Arc::clone(&stop), Arc::clone(&answers), record.clone());
        clients.push(thread::spawn(move || send_until(&stop, entry, &answers, &record)));
    }
    thread::sleep(USUAL);
    let used = world.runs.lock().unwrap().iter().any(|run| run.instance == target.instance);
    target.is_leaving.store(true, Ordering::SeqCst);
    record.say(&format!("target {} leaves: Server-Leaving in all its answers", target.instance));
    if has_trouble {
        for gate in &world.gates {
            gate.go_down();
        }
        record.say(
            "the store is down from now on: it answers no call, and takes no report of the target",
        );
    } else {
        // After it has said so to the entry.
        thread::sleep(Duration::from_secs(1));
        target.register(&world.store, "draining");
        record.say("the store accepts the target's report that it is draining");
    }
    thread::sleep(WATCHED);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    let told_at =
        answers.iter().filter(|answer| says_leaving(answer)).map(|answer| answer.ended).min();
    let Some(told_at) = told_at.filter(|_| used) else {
        return Verdict::CouldNotRun("the target was not in use when it began to leave".to_owned());
    };
    let runs = world.runs.lock().unwrap();
    let mut late = 0;
    for answer in answers.iter().filter(|answer| answer.sent > told_at + BOUND) {
        if runs.iter().any(|run| run.id == answer.id && run.instance == target.instance) {
            late += 1;
            let after = (answer.sent - told_at).as_secs_f64();
            let (id, instance) = (&answer.id, &target.instance);
            record.say(&format!("{id} runs at {instance}, sent {after:.3} s after the entry passed on Server-Leaving"));
        }
    }
    record.say(&format!(
        "requests: {}; later than drain at the leaving target: {late}",
        answers.len()
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

fn says_leaving(answer: &Sent) -> bool {
    match &answer.outcome {
        Outcome::Answer(response) => response.head.get("server-leaving").is_some(),
        _ => false,
    }
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
