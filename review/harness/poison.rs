//! BUDGET: a request that makes each target that runs it lose power is never refused.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Request, Sent};
use crate::record::Record;
use crate::world::{HOST, Route, World};

/// `stableWindow` of the deployment.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Retries that may reach targets after that.
const ALLOWED: usize = 3;
/// Crashes after which the retries count.
const CRASHES: usize = 3;
/// Time from one send of the request to the next.
const INTERVAL: Duration = Duration::from_millis(1500);
/// How long the request is sent.
const SENDING: Duration = Duration::from_secs(30);

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let read = Route {
        name: "r-read",
        prefix: "/read/",
        kind: "safe",
        timeout: "1200ms",
        aim: "600ms",
        service: "desk",
    };
    let routes = [read, Route { name: "r-buy", prefix: "/buy/", kind: "unsafe", ..read }];
    let zones = ["zone-a", "zone-a", "zone-b"];
    let world = match World::start(&[("desk", 9)], &zones, &routes, "6s", record) {
        Ok(world) => world,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    for (index, entry) in world.entries.iter().enumerate() {
        let id = format!("check-{index}");
        let path = format!("/read/w20/{id}");
        if Request::new("GET", HOST, path, id, 2500).send(entry.callers, record).status() != 200 {
            return Verdict::CouldNotRun("the deployment does not serve".to_owned());
        }
    }
    // Targets that are up again write their entries.
    let stop = Arc::new(AtomicBool::new(false));
    let (targets, store) = (world.targets.clone(), world.store.clone());
    let (stopped, recorder) = (Arc::clone(&stop), record.clone());
    let watcher = thread::spawn(move || {
        while !stopped.load(Ordering::SeqCst) {
            for target in &targets {
                if target.register_again(&store) {
                    recorder.line(&format!("target {} is back", target.instance));
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    });
    // Other requests, which must not run twice, at the same targets.
    let mut buyers = Vec::new();
    for (index, entry) in world.entries.iter().enumerate() {
        let (stop, entry, record) = (Arc::clone(&stop), entry.callers, record.clone());
        buyers.push(thread::spawn(move || {
            let mut answers: Vec<Sent> = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let id = format!("buy-{index}-{}", answers.len());
                let request = Request::new("POST", HOST, format!("/buy/w100/{id}"), id, 2500);
                answers.push(request.send(entry, &record));
                thread::sleep(Duration::from_millis(50));
            }
            answers
        }));
    }
    // The same path, caller and body each time, at one machine after the other.
    let path = if has_trouble { "/read/w20/crash/report" } else { "/read/w20/quiet/report" };
    let began = Instant::now();
    let mut senders = Vec::new();
    let mut number = 0;
    while began.elapsed() < SENDING {
        let request = Request::new("GET", HOST, path.to_owned(), format!("again-{number}"), 2500);
        let entry = world.entries[number % world.entries.len()].callers;
        let record = record.clone();
        senders.push(thread::spawn(move || request.send(entry, &record)));
        number += 1;
        thread::sleep(INTERVAL);
    }
    let answers: Vec<_> = senders.into_iter().filter_map(|sender| sender.join().ok()).collect();
    stop.store(true, Ordering::SeqCst);
    let _ = watcher.join();
    let bought: Vec<Sent> =
        buyers.into_iter().filter_map(|buyer| buyer.join().ok()).flatten().collect();
    let runs = world.runs.lock().unwrap();
    let crashes: Vec<Instant> =
        runs.iter().filter(|run| run.end == "crash").map(|run| run.began).collect();
    let refused = answers.iter().filter(|answer| answer.status() == 503).count();
    let late = crashes
        .get(CRASHES - 1)
        .map_or(0, |third| crashes.iter().filter(|at| **at > *third + STABLE_WINDOW).count());
    record.say(&format!(
        "the request was sent {number} times, crashed targets {} times, was refused with 503 {refused} times; later than stableWindow after the third crash it reached targets {late} times, allowed: {ALLOWED}",
        crashes.len(),
    ));
    let lost =
        bought.iter().filter(|answer| answer.status() != 200 && answer.status() != 503).count();
    let turned_away = bought.iter().filter(|answer| answer.status() == 503).count();
    record.say(&format!(
        "other requests, at most once: {}, of which {lost} ended without an answer of a target, and {turned_away} were refused",
        bought.len(),
    ));
    if late > ALLOWED { Verdict::Broken } else { Verdict::Held }
}
