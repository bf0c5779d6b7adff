//! Another writer leaves large entries among those of the targets.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, End};
use crate::store::VALUE_BYTES;
use crate::world::{Size, World};

/// Entries of the other writer.
const ENTRIES: usize = 10;
const CLIENTS_PER_ENTRY: usize = 8;

/// A registration whose slots are a list in place of a number.
fn entry(address: &str) -> String {
    let (start, end) = (
        format!(
            "{{\"service\":\"lookup\",\"address\":\"{address}\",\"zone\":\"hcm-a\",\"slots\":["
        ),
        "{}],\"state\":\"ready\",\"sequence\":1}",
    );
    let item = "{\"t\":17,\"n\":3},";
    let count = (VALUE_BYTES - start.len() - end.len()) / item.len();
    format!("{start}{}{end}", item.repeat(count))
}

pub fn run(folder: PathBuf) -> Verdict {
    let world = World::start(folder, Size { lookup: 4, other: 0, packs: 3, entries: 3 })?;
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<BTreeMap<String, (bool, End)>>> = Arc::default();
    let mut clients = Vec::new();
    for (index, entry) in world.entries.iter().enumerate() {
        for number in 0..CLIENTS_PER_ENTRY {
            let mut client = Client::new(entry.callers, &world.record);
            let (stop, ends) = (Arc::clone(&stop), Arc::clone(&ends));
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("a{index}-{number}-{count}");
                    let is_kept = client.is_kept();
                    let end = match number % 2 {
                        0 => client.send("GET", "/look/1", &id, 2500, b""),
                        _ => client.send("POST", "/pay/1", &id, 3000, b"order"),
                    };
                    let has_failed = !matches!(end, End::Answer(_));
                    ends.lock().unwrap().insert(id, (is_kept, end));
                    count += 1;
                    thread::sleep(Duration::from_millis(if has_failed { 300 } else { 60 }));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let before: Vec<u64> = world.entries.iter().map(|entry| entry.peak_mb()).collect();
    world.record.say(&format!("peak memory in MB before: {before:?}"));
    if world.has_trouble {
        for number in 0..ENTRIES {
            world.store.put("servers", &format!("w-{number}"), &entry("127.0.0.1:9"));
            world.record.line(&format!("another writer puts the entry w-{number}"));
        }
    }
    thread::sleep(Duration::from_secs(14));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let after: Vec<u64> = world.entries.iter().map(|entry| entry.peak_mb()).collect();
    let restarts: Vec<u64> = world.entries.iter().map(|entry| entry.ends()).collect();
    let arrivals = world.arrivals.lock().unwrap();
    let ends = ends.lock().unwrap();
    let lost = ends.iter().filter(|(id, (is_kept, end))| {
        *is_kept && *end == End::Closed && arrivals.contains_key(*id)
    });
    let lost = lost.count();
    let answered = ends.values().filter(|(_, end)| *end == End::Answer(200)).count();
    world.record.say(&format!("peak memory in MB after: {after:?}, ends: {restarts:?}"));
    world.record.say(&format!("requests: {}, served: {answered}, on kept connections, passed on and closed without an answer: {lost}", ends.len()));
    let often = restarts.iter().filter(|count| **count >= 3).count();
    Ok(lost <= 3 && often < 2)
}
