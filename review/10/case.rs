//! Requesters that send further requests before the first is answered leave before any answer.

#[path = "../harness-2/standins.rs"]
#[allow(dead_code)]
mod standins;

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use standins::{
    Machine, MachineSettings, Random, Record, Store, Target, TargetSettings, loopback,
};

const ZONES: [&str; 3] = ["mty-a", "mty-b", "slt-c"];
/// Settings by the bounds of the sheet of `trevino-matdb-grown`.
const TERMS: &str = r#""repeats": { "ratio": 0.2, "extra": 337, "window": "10s" },
  "changes": { "config": "2500ms", "drain": "2500ms", "heartbeat": "1500ms" },
  "probes": { "max_per_second": 42 },"#;
const MACHINES_PER_ZONE: usize = 2;
const TARGETS: usize = 15;
/// Targets that are slow, four times as much as usual; the site file has 0.4 of them and 12 times.
const SLOW_TARGETS: usize = 6;
const WORK: Duration = Duration::from_millis(330);
const SLOW_WORK: Duration = Duration::from_millis(1320);
/// Requests that a requester sends on a connection before the first is answered.
const DEPTH: usize = 3;
/// Half of the objective, after which requesters leave.
const LEAVE_AFTER: Duration = Duration::from_millis(500);
/// Connections, and the time between two.
const CONNECTIONS: usize = 200;
const PAUSE: Duration = Duration::from_millis(50);
/// Time after the close from which requests count, and how many are more than a few.
const LATE: Duration = Duration::from_millis(500);
const FEW: usize = 10;
/// Time within which all work on the requests has ended, their time limit twice.
const WAIT: Duration = Duration::from_secs(6);

fn main() {
    // 0: nobody leaves; "single": each connection has one request, to compare.
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let (leaves, depth) = (trouble != "0", if trouble == "single" { 1 } else { DEPTH });
    let (folder, output) = (std::env::var("FOLDER").unwrap(), std::env::var("RECORD").unwrap());
    let record = Record::new();
    let store_address = format!("{}:8642", loopback(10));
    let store = Store::serve(&store_address);
    let config = r#"{"version":"r7","routes":{"columns":["name","host","pathPrefix","kind","timeout","aim","priority","service","maxAttempts","backends"],"rows":[["r-sheets","hulo84.example","/leny950/","safe","2000ms","1000ms",2,"huvo11a",2,null]]},"services":{"columns":["name","healthCheck","maxConnections","protocol","tls"],"rows":[["huvo11a","/health",1827,"h1",false]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}"#;
    store.put("config", "main", config);
    let mut targets = Vec::new();
    for index in 0..TARGETS {
        let settings = TargetSettings {
            name: format!("i-{index:04x}"),
            service: "huvo11a".to_owned(),
            zone: ZONES[index % ZONES.len()].to_owned(),
            address: format!("{}:{}", loopback(11), 8100 + index),
            slots: 6,
            work: if index < SLOW_TARGETS { SLOW_WORK } else { WORK },
        };
        let target = Target::start(settings, &store, &record);
        target.drop_requests();
        targets.push(target);
    }
    let mut fleet = Vec::new();
    for number in 0..ZONES.len() * MACHINES_PER_ZONE {
        let zone = ZONES[number % ZONES.len()];
        let mut machine = Machine::new(MachineSettings {
            name: format!("front-{zone}-{number}"),
            zone,
            part: (20 + number) as u8,
            store: &store_address,
            zones: &ZONES,
            folder: &folder,
            terms: TERMS,
        });
        machine.start();
        fleet.push(machine);
    }
    let began = Instant::now();
    while !fleet.iter().all(Machine::is_ready) {
        if began.elapsed() > Duration::from_secs(20) {
            record.say("the machines don't become ready".to_owned());
            record.write(&output);
            exit(2);
        }
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(8));
    let entries: Vec<SocketAddr> = fleet.iter().map(|machine| machine.callers).collect();
    let mut threads = Vec::new();
    for number in 0..CONNECTIONS {
        let entry = entries[number % entries.len()];
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let mut random = Random::new(number as u64 + 1);
            let Ok(mut stream) = TcpStream::connect(entry) else { return };
            let _ = stream.set_nodelay(true);
            let mut text = String::new();
            let mut ids = Vec::new();
            for _ in 0..depth {
                let id = format!("{:016x}", random.bits());
                text.push_str(&format!(
                    "GET /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: 3000\r\n\r\n"
                ));
                record.add(format!("sent id={id} to={entry}"));
                ids.push(id);
            }
            let _ = stream.write_all(text.as_bytes());
            thread::sleep(if leaves { LEAVE_AFTER } else { WAIT });
            drop(stream);
            for id in &ids {
                record.add(format!("closed id={id}"));
            }
        }));
        thread::sleep(PAUSE);
    }
    for one in threads {
        let _ = one.join();
    }
    thread::sleep(WAIT);

    let late = LATE.as_millis();
    let mut closed: HashMap<String, u128> = HashMap::new();
    for (at, line) in record.lines() {
        if let Some(id) = line.strip_prefix("closed id=") {
            closed.insert(id.to_owned(), at);
        }
    }
    // When each run began, and ended.
    let mut runs: HashMap<(String, String), u128> = HashMap::new();
    let (mut reached, mut lasting, mut working) = (0, 0, 0);
    for (at, line) in record.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let [kind, id, target, ..] = words[..] else { continue };
        let named = id.strip_prefix("id=").zip(target.strip_prefix("target="));
        let Some((id, target)) = named else { continue };
        let Some(closed_at) = closed.get(id) else { continue };
        let key = (id.to_owned(), target.to_owned());
        match kind {
            "run" => {
                reached += usize::from(at > closed_at + late);
                runs.insert(key, at);
            }
            "done" | "dropped" => {
                let Some(began) = runs.get(&key) else { continue };
                let index = usize::from_str_radix(target.trim_start_matches("i-"), 16);
                let is_slow = index.is_ok_and(|index| index < SLOW_TARGETS);
                let work = if is_slow { SLOW_WORK } else { WORK }.as_millis();
                let would_last = began + work > closed_at + late;
                lasting += usize::from(would_last);
                working += usize::from(would_last && at > closed_at + late);
            }
            _ => {}
        }
    }
    record.say(format!("{reached} requests reached targets later than 0.5 s after the close"));
    record.say(format!("{working} of {lasting} requests that would have lasted so long were still worked at then"));
    drop(fleet);
    let code = i32::from(reached > FEW);
    record.say(format!("exit {code}"));
    record.write(&output);
    exit(code);
}
