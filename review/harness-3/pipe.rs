//! Some targets break off a few of their answers, and clients send further requests before the first
//! one has been answered.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::{Connection, request};
use crate::target::Mode;
use crate::world::{Size, World};

const CLIENTS_PER_ENTRY: usize = 6;
/// Requests that a client sends at once.
const REQUESTS: usize = 4;
/// Targets that break answers off, of six: a share of 0.33.
const FAULTY: usize = 2;
/// One in so many of their answers: a share of 0.02.
const EVERY: u32 = 50;
const TROUBLE_TIME: Duration = Duration::from_millis(5500);
/// Requests that may be lost at any time.
const ALLOWED: usize = 3;

pub fn run(folder: PathBuf) -> Verdict {
    let world = World::start(folder, Size { lookup: 6, other: 0, packs: 2, entries: 2 })?;
    let targets = world.service("lookup");
    for target in &targets {
        target.set_mode(Mode::Sound(40));
    }
    let stop = Arc::new(AtomicBool::new(false));
    // Requests on kept connections that were closed before they were answered.
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for (index, entry) in world.entries.iter().enumerate() {
        for number in 0..CLIENTS_PER_ENTRY {
            let (address, record) = (entry.callers, world.record.clone());
            let (stop, unanswered) = (Arc::clone(&stop), Arc::clone(&unanswered));
            clients.push(thread::spawn(move || {
                let mut round = 0;
                let mut kept: Option<Connection> = None;
                while !stop.load(Ordering::SeqCst) {
                    let is_kept = kept.is_some();
                    let opened = kept.take().map(Ok);
                    let opened =
                        opened.unwrap_or_else(|| Connection::open(address, Duration::from_secs(3)));
                    let Ok(mut connection) = opened else { continue };
                    let mut bytes = Vec::new();
                    let mut ids = Vec::new();
                    for place in 0..REQUESTS {
                        let id = format!("a{index}-{number}-{round}-{place}");
                        bytes.extend_from_slice(&request("GET", "/look/1", &id, 2500, b""));
                        ids.push(id);
                    }
                    round += 1;
                    record.line(&format!("client sends {ids:?}"));
                    if connection.write(&bytes).is_err() {
                        continue;
                    }
                    let mut answered = 0;
                    while answered < ids.len()
                        && let Ok(message) = connection.read_message()
                    {
                        record.line(&format!("client gets {} {}", ids[answered], message.status()));
                        answered += 1;
                    }
                    if answered == ids.len() {
                        kept = Some(connection);
                        continue;
                    }
                    record.line(&format!(
                        "client: closed before {:?} were answered",
                        &ids[answered..]
                    ));
                    if is_kept {
                        unanswered.lock().unwrap().extend_from_slice(&ids[answered..]);
                    }
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    if world.has_trouble {
        for target in &targets[..FAULTY] {
            target.set_mode(Mode::BreaksOff(EVERY));
        }
        world.record.say("some targets break answers off");
    }
    thread::sleep(TROUBLE_TIME);
    for target in &targets {
        target.set_mode(Mode::Sound(40));
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let unanswered = unanswered.lock().unwrap();
    let runs = world.runs.lock().unwrap();
    // Sound targets are those that have broken no answer off.
    let sound: Vec<&str> = targets[FAULTY..].iter().map(|it| it.instance.as_str()).collect();
    let is_lost = |id: &&String| {
        let runs = runs.get(*id).map_or(&[][..], Vec::as_slice);
        !runs.is_empty() && runs.iter().all(|run| sound.contains(&run.instance.as_str()))
    };
    let lost: Vec<&String> = unanswered.iter().filter(is_lost).collect();
    world.record.say(&format!(
        "requests: {}, on kept connections without an answer: {}, of these passed on to sound targets only: {}",
        runs.len(),
        unanswered.len(),
        lost.len()
    ));
    world.record.line(&format!("lost: {lost:?}"));
    Ok(lost.len() <= ALLOWED)
}
