//! A zone whose machines lose the path to all targets, as `PROTOCOL.md` and the news describe it: their
//! connections to targets are reset, while requesters, the store and the other machines reach them.

use std::net::SocketAddr;
use std::process::exit;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::standins::{
    CAUNOI_TERMS, Machine, MachineSettings, Record, Requester, Sent, Stop, Store, Target,
    TargetSettings, ZonePath, loopback,
};

const ZONES: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];
/// Zone whose machines lose their path.
const CUT_ZONE: usize = 0;
const MACHINES_PER_ZONE: usize = 3;
const TARGETS: usize = 9;
/// Requests a second that each zone's requesters send.
const SENT_PER_SECOND: u64 = 20;
/// `grace` and `stableWindow` of the sheet.
const GRACE: Duration = Duration::from_secs(6);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time between the replacements of two zones, and before the cut.
const PAUSE: Duration = Duration::from_secs(6);

/// What happens in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// Whether all machines are replaced before, zone after zone.
    pub replaces: bool,
    /// Time for which the machines of the first zone are cut off from all targets, if they are.
    pub cut: Duration,
    /// Whether desired states come in quick succession while the rule is judged.
    pub storms: bool,
}

/// Time between two desired states, and for how long they come.
const STORM_GAP: Duration = Duration::from_millis(190);
const STORM: Duration = Duration::from_millis(4300);

type Addresses = Arc<Mutex<Vec<Vec<SocketAddr>>>>;

fn machines(zone: usize, first: usize, store: &str, folder: &str) -> Vec<Machine> {
    let mut machines = Vec::new();
    for number in first..first + MACHINES_PER_ZONE {
        machines.push(Machine::new(MachineSettings {
            name: format!("front-{}-{number}", ZONES[zone]),
            zone: ZONES[zone],
            part: (20 + 20 * zone + number) as u8,
            store,
            zones: &ZONES,
            folder,
            terms: CAUNOI_TERMS,
        }));
    }
    machines
}

fn wait_until_ready(machines: &[Machine], limit: Duration) -> bool {
    let began = Instant::now();
    while !machines.iter().all(Machine::is_ready) {
        if began.elapsed() > limit {
            return false;
        }
        thread::sleep(Duration::from_millis(200));
    }
    true
}

/// Number of first tries at these entries, and of those that were served.
fn tries(sent: &[&Sent], entries: &[SocketAddr], is_at: bool) -> (usize, usize) {
    let tries: Vec<_> = sent.iter().filter(|one| entries.contains(&one.first.0) == is_at).collect();
    (tries.len(), tries.iter().filter(|one| one.first.1 == 200).count())
}

/// Plays the plan, judges RECOVER, writes the record and ends the process with the result.
pub fn run(plan: Plan) -> ! {
    let Plan { replaces, cut, storms } = plan;
    let is_cut = !cut.is_zero();
    // Without a cut the same is judged for as long.
    let cut = if is_cut { cut } else { Duration::from_secs(8) };
    let (folder, output) = (std::env::var("FOLDER").unwrap(), std::env::var("RECORD").unwrap());
    let (record, path) = (Record::new(), ZonePath::new(12));
    let store_address = format!("{}:8642", loopback(10));
    let store = Store::serve(&store_address);
    // The store as the machines of the cut zone reach it.
    let cut_store_address = format!("{}:8642", loopback(13));
    store.serve_with(&cut_store_address, loopback(11), path.ip.clone());
    let store_of = |zone| if zone == CUT_ZONE { &cut_store_address } else { &store_address };
    let config = r#"{"version":"r7","routes":{"columns":["name","host","pathPrefix","kind","timeout","aim","priority","service","maxAttempts","backends"],"rows":[["r-lookups","hulo84.example","/leny950/","safe","1200ms","600ms",2,"huvo11a",2,null]]},"services":{"columns":["name","healthCheck","maxConnections","protocol","tls"],"rows":[["huvo11a","/health",260,"h1",false]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}"#;
    store.put("config", "main", config);
    for index in 0..TARGETS {
        let settings = TargetSettings {
            name: format!("i-{index:04x}"),
            service: "huvo11a".to_owned(),
            zone: ZONES[index % ZONES.len()].to_owned(),
            address: format!("{}:{}", loopback(11), 8100 + index),
            slots: 4,
            work: Duration::from_millis(40),
        };
        Target::start(settings, &store, &record).serve_path(&path);
    }
    let mut fleet: Vec<Vec<Machine>> = Vec::new();
    for zone in 0..ZONES.len() {
        fleet.push(machines(zone, 1, store_of(zone), &folder));
    }
    let addresses: Addresses = Arc::default();
    for zone in &mut fleet {
        zone.iter_mut().for_each(Machine::start);
        let callers = zone.iter().map(|machine| machine.callers).collect();
        addresses.lock().unwrap().push(callers);
    }
    if !fleet.iter().all(|zone| wait_until_ready(zone, Duration::from_secs(20))) {
        record.say("the machines don't become ready".to_owned());
        record.write(&output);
        exit(2);
    }
    // Traffic starts 8 s after the machines do.
    thread::sleep(Duration::from_secs(8));

    let (sent, stop) = (Arc::<Mutex<Vec<Sent>>>::default(), Stop::default());
    for zone in 0..ZONES.len() {
        let (addresses, sent, stop) = (addresses.clone(), sent.clone(), stop.clone());
        let record = record.clone();
        thread::spawn(move || {
            let mut number = zone as u64 * 1_000_000;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let entries = addresses.lock().unwrap()[zone].clone();
                let (sent, record, seed) = (sent.clone(), record.clone(), number);
                thread::spawn(move || {
                    let requester = Requester {
                        method: "GET",
                        host: "hulo84.example".to_owned(),
                        path: "/leny950/2f".to_owned(),
                        key: String::new(),
                        time_limit: Duration::from_millis(2500),
                        retries: 1,
                    };
                    let one = requester.send(&entries, seed, &record);
                    sent.lock().unwrap().push(one);
                });
                thread::sleep(Duration::from_millis(1000 / SENT_PER_SECOND));
            }
        });
    }
    thread::sleep(Duration::from_secs(2));
    for zone in (0..ZONES.len()).filter(|_| replaces) {
        let mut new = machines(zone, 1 + MACHINES_PER_ZONE, store_of(zone), &folder);
        new.iter_mut().for_each(Machine::start);
        let is_ready = wait_until_ready(&new, Duration::from_secs(10));
        thread::sleep(PAUSE);
        addresses.lock().unwrap()[zone] = new.iter().map(|machine| machine.callers).collect();
        let mut old = std::mem::replace(&mut fleet[zone], new);
        old.iter().for_each(|machine| machine.signal("TERM"));
        old.iter_mut().for_each(|machine| machine.wait_until_ended(GRACE));
        record.say(format!("{}: others take the places, ready {is_ready}", ZONES[zone]));
    }
    thread::sleep(PAUSE);
    let cut_entries: Vec<SocketAddr> = fleet[CUT_ZONE].iter().map(|machine| machine.callers).collect();
    if is_cut {
        path.is_cut.store(true, Ordering::Relaxed);
        record.say(format!("{}: all machines are cut off from all targets", ZONES[CUT_ZONE]));
    }
    let began = Instant::now();
    thread::sleep(STABLE_WINDOW);
    for version in (8..).take_while(|_| storms && began.elapsed() < STABLE_WINDOW + STORM) {
        // Each changes the time-out of the route a little.
        let text = config.replace("r7", &format!("r{version}"));
        store.put("config", "main", &text.replace("1200ms", &format!("{}ms", 1200 + version)));
        record.add(format!("desired state r{version}"));
        thread::sleep(STORM_GAP);
    }
    thread::sleep(cut.saturating_sub(began.elapsed()));
    path.is_cut.store(false, Ordering::Relaxed);
    let end = Instant::now();
    record.say("the cut has ended".to_owned());
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));

    let sent = sent.lock().unwrap();
    // Those of the last moment may still be on their way.
    let until = end - Duration::from_secs(1);
    let judged = |one: &&Sent| one.at >= began + STABLE_WINDOW && one.at < until;
    let judged: Vec<&Sent> = sent.iter().filter(judged).collect();
    let (at_cut, served_at_cut) = tries(&judged, &cut_entries, true);
    let (elsewhere, served_elsewhere) = tries(&judged, &cut_entries, false);
    let before: Vec<&Sent> = sent.iter().filter(|one| one.at < began).collect();
    let (all_before, served_before) = tries(&before, &[], false);
    record.say(format!("before: {served_before} of {all_before} first tries served"));
    record.say(format!("{}: {served_at_cut} of {at_cut} first tries served", ZONES[CUT_ZONE]));
    record.say(format!("elsewhere: {served_elsewhere} of {elsewhere} first tries served"));
    let failed = at_cut - served_at_cut;
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let is_unequal = share(served_at_cut, at_cut) < share(served_elsewhere, elsewhere) * 2.0 / 3.0;
    let is_many = failed > 10 + (at_cut + elsewhere) / 50;
    drop(fleet);
    let code = if at_cut == 0 || share(served_elsewhere, elsewhere) < 0.9 {
        2
    } else {
        i32::from(is_unequal && is_many)
    };
    record.say(format!("exit {code}"));
    record.write(&output);
    exit(code);
}
