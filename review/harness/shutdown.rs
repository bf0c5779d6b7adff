//! LOST: requests that an entry takes after its SIGTERM are cut while their targets are at work.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Outcome, Request, Sent, resolve};
use crate::record::Record;
use crate::world::{HOST, Route, World};

/// `grace` of the deployment: SIGKILL follows SIGTERM after this time.
const GRACE: Duration = Duration::from_secs(6);
/// Requests later than this after SIGTERM are not excused by work in the last sixth of `grace`.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);
/// When the requests are sent, after SIGTERM, in milliseconds.
const SENT_AT_MS: [u64; 6] = [3150, 3200, 3250, 3300, 3350, 3400];
/// Work of each request, below the route's timeout of 2500 ms.
const WORK_MS: u64 = 2350;
const TIME_LIMIT_MS: u64 = 5000;

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let routes = [Route {
        name: "r-order",
        prefix: "/order/",
        kind: "unsafe",
        timeout: "2500ms",
        aim: "1200ms",
        service: "orders",
    }];
    let zones = ["zone-a", "zone-a", "zone-a"];
    let mut world = match World::start(&[("orders", 6)], &zones, &routes, "6s", record) {
        Ok(world) => world,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let entry = world.entries[0].callers;
    // A client that asks now may keep the answer for its `ttl`.
    let Some((text, addresses)) = resolve(world.entries[1].directory, "zone-a") else {
        return Verdict::CouldNotRun("the directory did not answer".to_owned());
    };
    record.say(&format!("directory answers {text}"));
    if !addresses.contains(&entry) {
        return Verdict::CouldNotRun("the directory does not name the entry".to_owned());
    }
    let check = order("check", 150).send(entry, record);
    if check.status() != 200 {
        return Verdict::CouldNotRun("the deployment does not serve".to_owned());
    }
    let terminated = Instant::now();
    if has_trouble {
        world.entries[0].signal("TERM");
    }
    let mut clients = Vec::new();
    for (index, at) in SENT_AT_MS.into_iter().enumerate() {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            thread::sleep((terminated + Duration::from_millis(at)) - Instant::now());
            order(&format!("late-{index}"), WORK_MS).send(entry, &record)
        }));
    }
    let mut ended_at = None;
    while terminated.elapsed() < GRACE {
        if has_trouble && ended_at.is_none() && world.entries[0].has_ended() {
            ended_at = Some(terminated.elapsed());
            record.say(&format!(
                "the entry ended {:.3} s after SIGTERM",
                terminated.elapsed().as_secs_f64()
            ));
        }
        thread::sleep(Duration::from_millis(5));
    }
    if has_trouble {
        record.line("platform: grace is over, SIGKILL");
        world.entries[0].kill();
    }
    let sent: Vec<Sent> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let runs = world.runs.lock().unwrap().clone();
    let mut lost = 0;
    for request in &sent {
        let run = runs.iter().find(|run| run.id == request.id);
        let sent_after = request.sent - terminated;
        let ended_after = request.ended - terminated;
        let is_cut = matches!(request.outcome, Outcome::Cut(_));
        let was_at_work = run.is_some_and(|run| {
            run.end != "time limit"
                && run.ended.is_none_or(|ended| ended + Duration::from_millis(50) >= request.ended)
        });
        let limit = Duration::from_millis(2500);
        let is_within_timeout = request.ended - request.sent < limit;
        let would_end = run.map(|run| (run.began + Duration::from_millis(WORK_MS)) - terminated);
        let is_lost = is_cut
            && run.is_some()
            && was_at_work
            && is_within_timeout
            && sent_after > EXCUSED_UNTIL;
        lost += u32::from(is_lost);
        record.say(&format!(
            "{}: sent {:.3} s after SIGTERM, passed on: {}, client's end at {:.3} s ({}), work done at {:.3} s, lost: {is_lost}",
            request.id,
            sent_after.as_secs_f64(),
            run.is_some(),
            ended_after.as_secs_f64(),
            crate::client::describe(&request.outcome),
            would_end.unwrap_or_default().as_secs_f64(),
        ));
    }
    record.say(&format!("requests that were read, passed on and cut: {lost} of {}", sent.len()));
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}

fn order(id: &str, work_ms: u64) -> Request {
    Request::new("POST", HOST, format!("/order/w{work_ms}/{id}"), id.to_owned(), TIME_LIMIT_MS)
}
