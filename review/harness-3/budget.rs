//! A service sheds requests while the operator moves a route away from it and back, or while all entries
//! are killed at once.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::target::Mode;
use crate::world::{Routes, Size, World, config};

/// Bounds of the settings.
const RATIO: f64 = 0.2;
const EXTRA: f64 = 62.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Share of requests that the targets of the service shed, in percent, and for how long.
const SHED_PERCENT: u32 = 55;
const SHED_TIME: Duration = Duration::from_millis(8500);
const CLIENTS_PER_ENTRY: usize = 4;
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(270);
/// When all entries are killed, after the shedding has begun.
const KILL_AFTER: Duration = Duration::from_millis(3000);
/// How long the route goes to each service by turns.
const STAYS_MS: [u64; 6] = [1600, 1100, 1400, 1100, 1400, 1100];

/// What happens while the service sheds requests.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Trouble {
    Moves,
    Kill,
}

pub fn run(folder: PathBuf, trouble: Trouble) -> Verdict {
    let world = World::start(folder, Size { lookup: 6, other: 4, packs: 2, entries: 3 })?;
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut clients = Vec::new();
    for (index, entry) in world.entries.iter().enumerate() {
        for number in 0..CLIENTS_PER_ENTRY {
            let mut client = Client::new(entry.callers, &world.record);
            let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("a{index}-{number}-{count}");
                    sent.lock().unwrap().push(Instant::now());
                    client.send("GET", "/look/1", &id, 2500, b"");
                    count += 1;
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(11));
    let began = Instant::now();
    for target in world.service("lookup") {
        target.set_mode(Mode::Sheds(SHED_PERCENT));
    }
    if world.has_trouble {
        match trouble {
            Trouble::Moves => move_route(&world),
            Trouble::Kill => {
                thread::sleep(KILL_AFTER);
                world.record.say("all entries are killed");
                for entry in &world.entries {
                    entry.kill();
                }
            }
        }
    }
    thread::sleep(SHED_TIME.saturating_sub(began.elapsed()));
    for target in world.service("lookup") {
        target.set_mode(Mode::Sound(20));
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // Repeats at the service, by time: its arrivals beyond the first of each request.
    let mut repeats = Vec::new();
    let arrivals = world.arrivals.lock().unwrap();
    for runs in arrivals.values() {
        let at = runs.iter().filter(|run| run.instance.starts_with("i-lookup"));
        repeats.extend(at.skip(1).map(|run| run.at));
    }
    let sent = sent.lock().unwrap();
    let count = |times: &mut dyn Iterator<Item = Instant>, from: Instant| {
        times.filter(|at| *at >= from && *at < from + WINDOW).count() as f64
    };
    let mut worst = (0.0, 0.0, f64::MIN);
    for step in 0..100 {
        let from = began - Duration::from_secs(4) + Duration::from_millis(100) * step;
        let used = count(&mut repeats.iter().copied(), from);
        // All requests of the route count for the service here, which is more than the rule asks, in
        // the busiest of the three windows.
        let requests = [0, 5, 10]
            .map(|back| count(&mut sent.iter().copied(), from - Duration::from_secs(back)));
        let allowed = RATIO * requests.into_iter().fold(0.0, f64::max) + EXTRA;
        if used - allowed > worst.2 {
            worst = (used, allowed, used - allowed);
        }
    }
    let (used, allowed, _) = worst;
    world.record.say(&format!(
        "requests: {}, repeats at the service in the worst window: {used}, allowed: {allowed:.0}",
        sent.len()
    ));
    Ok(used <= allowed)
}

/// The operator moves the route to the other service and back, three times.
fn move_route(world: &World) {
    let mut version = 7;
    let mut look = "lookup";
    for stay in STAYS_MS {
        thread::sleep(Duration::from_millis(stay));
        version += 1;
        look = if look == "lookup" { "other" } else { "lookup" };
        let routes = Routes { version, look, pay: "packs", attempts: 4 };
        world.store.put("config", "main", &config(routes));
        world.record.say(&format!("the operator writes r{version}: the route goes to {look}"));
    }
}
