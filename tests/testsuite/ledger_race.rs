//! The same keys raced through all entries while nodes are frozen, killed and replaced, views
//! disagree and the platform fails: no key runs twice, and every "not run" is true.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::TwoChoicesPicker;
use heatherfall::core::{BudgetSpec, VmId};
use heatherfall::ledger::{
    ClaimDecision, ClaimGrant, ClaimIntent, ClaimLedger, ClaimOutcome, LedgerSettings,
};
use heatherfall::membership::ConfigFreshness;
use heatherfall::request::{DataPlane, ExecutionSettings};
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::FaultSettings;
use http::Request;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::support::{
    FakeClient, FakeStep, FreezePoint, LedgerNode, LedgerNodes, RunLedger, TEST_ORIGIN_MS,
    TestLedger, ledger_settings, plane_fixture, vm_names,
};

/// Seeded runs.
const RUNS: u64 = 1000;
/// Threads that share the runs.
const THREADS: usize = 4;
/// Nodes of a run.
const NODES: usize = 3;
/// Keys of a run.
const KEYS: usize = 4;
/// Requests of a run.
const REQUESTS: usize = 24;
/// Disturbances of a run.
const FAULTS: usize = 24;

/// Holds grants back before the plane sees them.
struct HeldGrantLedger {
    inner: TestLedger,
    is_held: watch::Sender<bool>,
}

impl ClaimLedger for HeldGrantLedger {
    async fn claim(&self, intent: ClaimIntent) -> ClaimDecision {
        let decision = self.inner.claim(intent).await;
        let _ = self.is_held.subscribe().wait_for(|is_held| !is_held).await;
        decision
    }

    async fn finish(&self, ticket: ClaimGrant, end: ClaimOutcome) {
        self.inner.finish(ticket, end).await;
    }
}

type RacePlane = DataPlane<FakeClient, TwoChoicesPicker, HeldGrantLedger>;

/// One entry with its request plane.
struct RaceEntry {
    node: LedgerNode,
    plane: Arc<RacePlane>,
    is_held: watch::Sender<bool>,
}

/// What a caller got.
struct RaceAnswer {
    key: usize,
    id: String,
    code: String,
    is_not_run: bool,
    is_whole: bool,
    body: Bytes,
}

struct RaceHarness {
    nodes: LedgerNodes,
    entries: Vec<RaceEntry>,
    runs: Arc<RunLedger>,
    random: SeededRandom,
    seed: u64,
}

impl RaceHarness {
    fn new(seed: u64) -> Self {
        let settings = LedgerSettings {
            ring_slots: 8,
            archive_bytes: 800,
            partitions: 1 + (seed % 2) as u32,
            ..ledger_settings()
        };
        let mut world = Self {
            nodes: LedgerNodes::new(settings),
            entries: Vec::new(),
            runs: Arc::default(),
            random: SeededRandom::new(seed),
            seed,
        };
        for vm in vm_names(NODES) {
            let entry = world.start(&vm);
            world.entries.push(entry);
        }
        world
    }

    fn start(&mut self, vm: &VmId) -> RaceEntry {
        let node = self.nodes.start(vm, &vm_names(NODES), self.seed);
        let steps = (0..6).map(|_| FakeStep::draw(&mut self.random)).collect();
        let mut client = FakeClient::new(steps);
        client.ledger = Arc::clone(&self.runs);
        let is_held = watch::Sender::new(false);
        let ledger = HeldGrantLedger { inner: node.ledger.clone(), is_held: is_held.clone() };
        let freshness = Arc::new(ConfigFreshness::default());
        let plane = DataPlane::new(
            plane_fixture(json!({ "deadline": "2s" }), BudgetSpec::default()),
            client,
            TwoChoicesPicker::new(SeededRandom::new(self.random.bits())),
            ledger,
            freshness,
            ExecutionSettings::default(),
        );
        RaceEntry { node, plane: Arc::new(plane), is_held }
    }

    async fn inject_fault(&mut self) {
        let index = self.random.below(self.entries.len());
        match self.random.below(12) {
            0 => self.entries[index].node.freeze(FreezePoint::BeforeWrite),
            1 => self.entries[index].node.freeze(FreezePoint::AfterWrite),
            2 | 3 => self.entries[index].node.freeze(FreezePoint::Nowhere),
            4 => drop(self.entries[index].is_held.send_replace(true)),
            5 => drop(self.entries[index].is_held.send_replace(false)),
            6 => self.replace(index),
            7 => {
                let lost = 1 + self.random.below(3) as u32;
                self.set_faults(FaultSettings { lose_write_answers: lost, ..Default::default() });
            }
            8 => self.set_faults(FaultSettings { down: true, ..Default::default() }),
            9 => {
                let delay = Duration::from_millis(self.random.below(400) as u64);
                self.set_faults(FaultSettings { delay, ..Default::default() });
            }
            10 => {
                let mut vms = vm_names(NODES);
                vms.retain(|_| self.random.below(2) == 0);
                self.entries[index].node.set_view(&vms);
            }
            _ => self.set_faults(FaultSettings::default()),
        }
        let pause = self.random.below(300) as u64;
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    /// Ends a node for good, in the middle of whatever it does, and starts another on its VM.
    fn replace(&mut self, index: usize) {
        let dead = &self.entries[index];
        dead.is_held.send_replace(true);
        self.nodes.kill(&dead.node);
        let vm = dead.node.vm.clone();
        let entry = self.start(&vm);
        // Its held grants must never wake up: the sender stays alive with the world.
        std::mem::forget(std::mem::replace(&mut self.entries[index], entry));
    }

    fn set_faults(&self, faults: FaultSettings) {
        self.nodes.platform.set_faults(faults);
    }

    async fn heal(&self) {
        self.set_faults(FaultSettings::default());
        for entry in &self.entries {
            entry.node.freeze(FreezePoint::Nowhere);
            entry.is_held.send_replace(false);
            entry.node.set_view(&vm_names(NODES));
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
}

async fn send(plane: Arc<RacePlane>, key: usize, id: String) -> RaceAnswer {
    let builder = Request::builder()
        .method("POST")
        .uri("/write")
        .header("x-request-id", &id)
        .header("idempotency-key", format!("{TEST_ORIGIN_MS}-{key}"));
    let (parts, ()) = builder.body(()).unwrap().into_parts();
    let admission = plane.admit(&parts).expect("route selects it");
    let response = plane.run(admission, parts, Bytes::new()).await;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes());
    let code = parts.headers.get("heatherfall-result").map(|code| code.to_str().unwrap());
    let code = code.unwrap_or_default().to_owned();
    let is_whole = body.is_ok() && code.is_empty();
    RaceAnswer {
        key,
        id,
        code,
        is_not_run: parts.headers.contains_key("heatherfall-not-run"),
        is_whole,
        body: body.unwrap_or_default(),
    }
}

async fn race(seed: u64) -> RaceTally {
    let mut world = RaceHarness::new(seed);
    let mut answers = JoinSet::new();
    for index in 0..REQUESTS.max(FAULTS) {
        if index < REQUESTS {
            let plane = Arc::clone(&world.entries[world.random.below(NODES)].plane);
            let key = world.random.below(KEYS);
            answers.spawn(send(plane, key, format!("{key}/{index}")));
        }
        if index < FAULTS {
            world.inject_fault().await;
        }
    }
    world.heal().await;
    let plane = Arc::clone(&world.entries[0].plane);
    let last = send(plane, KEYS, format!("{KEYS}/last")).await;
    let is_refused = last.code == "HF-1024" || last.code == "HF-1020";
    assert!(!is_refused, "seed {seed}: no service after recovery: {}", last.code);

    // Requests whose entry was killed never end.
    let mut seen = Vec::new();
    while let Some(answer) = answers.try_join_next() {
        seen.push(answer.expect("no panic"));
    }
    check(seed, &world.runs, &seen)
}

/// What a run has shown.
#[derive(Clone, Copy, Debug, Default)]
struct RaceTally {
    ran: u32,
    not_run: usize,
    replayed: usize,
}

fn check(seed: u64, runs: &RunLedger, answers: &[RaceAnswer]) -> RaceTally {
    let mut tally = RaceTally::default();
    for key in 0..KEYS {
        let ran: u32 = (0..REQUESTS).map(|index| runs.runs_of(&format!("{key}/{index}"))).sum();
        assert!(ran <= 1, "seed {seed}: key {key} ran {ran} times");
        tally.ran += ran;
    }
    for answer in answers {
        if answer.is_not_run {
            tally.not_run += 1;
            assert_eq!(runs.runs_of(&answer.id), 0, "seed {seed}: false not run {}", answer.id);
        }
        if answer.is_whole {
            let from = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(from.starts_with(&format!("{}/", answer.key)), "seed {seed}: {from}");
            assert_eq!(runs.runs_of(&from), 1, "seed {seed}: answer of a request that did not run");
            tally.replayed += usize::from(from != answer.id);
        }
    }
    tally
}

/// Races the seeds from `first` on, every `step`th.
fn race_seeds(first: u64, step: usize, end: u64) -> RaceTally {
    let mut total = RaceTally::default();
    for seed in (first..end).step_by(step) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let tally = runtime.block_on(race(seed));
        total.ran += tally.ran;
        total.not_run += tally.not_run;
        total.replayed += tally.replayed;
    }
    total
}

fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_key_runs_twice_and_every_not_run_is_true_whatever_fails() {
    let first = number_from("LEDGER_SEED", 0);
    let end = first + number_from("LEDGER_RUNS", RUNS);
    let mut threads = Vec::new();
    for offset in 0..THREADS as u64 {
        threads.push(std::thread::spawn(move || race_seeds(first + offset, THREADS, end)));
    }
    let mut total = RaceTally::default();
    for thread in threads {
        let tally = thread.join().expect("a seed failed");
        total.ran += tally.ran;
        total.not_run += tally.not_run;
        total.replayed += tally.replayed;
    }
    println!("{total:?}");
    // The runs reach what they are there for.
    let reached = total.ran > 0 && total.not_run > 0 && total.replayed > 0;
    assert!(reached || end - first < RUNS, "{total:?}");
}
