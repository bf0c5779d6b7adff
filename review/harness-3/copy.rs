//! A target sends a few of its rejections once more, where the answer to the next send is due.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, End};
use crate::target::Mode;
use crate::world::{Size, World};

/// Time of a run.
const RUN_MS: u64 = 2;
/// Time after which a target that is full rejects a request.
const REJECTION_MS: u64 = 1;
/// One in so many of the answers of one of the two targets comes twice: a share of 0.03.
const EVERY: u32 = 34;
/// The trouble comes so often, for so long, with a pause after it.
const TIMES: usize = 14;
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_millis(500);
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(40);

pub fn run(folder: PathBuf) -> Verdict {
    let world = World::start(folder, Size { lookup: 2, other: 0, packs: 2, entries: 3 })?;
    let packs = world.service("packs");
    for target in &packs {
        target.set_mode(Mode::Sound(RUN_MS));
    }
    // The entries learn how long a run takes.
    for entry in &world.entries {
        let mut client = Client::new(entry.callers, &world.record);
        for number in 0..400 {
            let id = format!("warm-{}-{number}", entry.callers.ip());
            client.send("POST", "/pay/1", &id, 3000, b"order");
        }
    }
    for target in &packs {
        target.set_mode(Mode::RejectsFirst(REJECTION_MS));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<Vec<(String, End)>>> = Arc::default();
    let mut clients = Vec::new();
    for (index, entry) in world.entries.iter().enumerate() {
        let mut client = Client::new(entry.callers, &world.record);
        let (stop, ends) = (Arc::clone(&stop), Arc::clone(&ends));
        clients.push(thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                let id = format!("p{index}-{count}");
                let end = client.send("POST", "/pay/1", &id, 3000, b"order");
                ends.lock().unwrap().push((id, end));
                count += 1;
                thread::sleep(PAUSE);
            }
        }));
    }
    for _ in 0..TIMES {
        if world.has_trouble {
            packs[0].set_mode(Mode::RejectsFirstTwice(REJECTION_MS, EVERY));
        }
        thread::sleep(TROUBLE_TIME);
        packs[0].set_mode(Mode::RejectsFirst(REJECTION_MS));
        thread::sleep(CALM_TIME);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let (runs, ends) = (world.runs.lock().unwrap(), ends.lock().unwrap());
    let count = |id: &str| runs.get(id).map_or(0, Vec::len);
    let twice: Vec<_> = ends.iter().filter(|(id, _)| count(id) > 1).collect();
    let refused: Vec<_> = ends
        .iter()
        .filter(|(id, end)| matches!(end, End::Answer(429 | 503)) && count(id) > 0)
        .collect();
    let answered = ends.iter().filter(|(_, end)| *end == End::Answer(200)).count();
    world.record.say(&format!(
        "requests: {}, served: {answered}, run more than once: {}, refused though run: {}",
        ends.len(),
        twice.len(),
        refused.len()
    ));
    world.record.line(&format!("run more than once: {twice:?}, refused though run: {refused:?}"));
    Ok(twice.is_empty() && refused.is_empty())
}
