//! Seeded race: requests with the same keys through all entries while nodes are paused, killed and
//! replaced, membership views disagree and the platform fails. No key may run twice, and no request
//! that ran may be reported as not run.

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
    AttemptRecorder, FakeBehaviour, FakeUpstreamClient, LedgerCluster, LedgerNode, NodePause,
    TEST_EPOCH_MS, TestLedger, ledger_settings, three_upstream_snapshot, vm_names,
};

/// Seeds of a test run.
const RUNS: u64 = 1000;
/// Threads that the seeds are divided among.
const THREADS: usize = 4;
/// Entry nodes per seed.
const NODES: usize = 3;
/// Idempotency keys per seed.
const KEYS: usize = 4;
/// Requests per seed.
const REQUESTS: usize = 24;
/// Injected faults per seed.
const FAULTS: usize = 24;

/// Delays decisions between the ledger and the data plane while `is_held` is set.
struct HeldDecisionLedger {
    inner: TestLedger,
    is_held: watch::Sender<bool>,
}

impl ClaimLedger for HeldDecisionLedger {
    async fn claim(&self, intent: ClaimIntent) -> ClaimDecision {
        let decision = self.inner.claim(intent).await;
        let _ = self.is_held.subscribe().wait_for(|is_held| !is_held).await;
        decision
    }

    async fn finish(&self, grant: ClaimGrant, outcome: ClaimOutcome) {
        self.inner.finish(grant, outcome).await;
    }
}

type RacePlane = DataPlane<FakeUpstreamClient, TwoChoicesPicker, HeldDecisionLedger>;

/// One entry: a ledger node and its data plane.
struct RaceEntry {
    node: LedgerNode,
    plane: Arc<RacePlane>,
    is_held: watch::Sender<bool>,
}

/// Response that a caller received.
struct RaceResponse {
    key: usize,
    id: String,
    code: String,
    is_not_run: bool,
    is_complete: bool,
    body: Bytes,
}

struct RaceHarness {
    nodes: LedgerCluster,
    entries: Vec<RaceEntry>,
    recorder: Arc<AttemptRecorder>,
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
        let mut harness = Self {
            nodes: LedgerCluster::new(settings),
            entries: Vec::new(),
            recorder: Arc::default(),
            random: SeededRandom::new(seed),
            seed,
        };
        for vm in vm_names(NODES) {
            let entry = harness.start(&vm);
            harness.entries.push(entry);
        }
        harness
    }

    fn start(&mut self, vm: &VmId) -> RaceEntry {
        let node = self.nodes.start(vm, &vm_names(NODES), self.seed);
        let steps = (0..6).map(|_| FakeBehaviour::random(&mut self.random)).collect();
        let mut client = FakeUpstreamClient::new(steps);
        client.recorder = Arc::clone(&self.recorder);
        let is_held = watch::Sender::new(false);
        let ledger = HeldDecisionLedger { inner: node.ledger.clone(), is_held: is_held.clone() };
        let freshness = Arc::new(ConfigFreshness::default());
        let plane = DataPlane::new(
            three_upstream_snapshot(json!({ "deadline": "2s" }), BudgetSpec::default()),
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
            0 => self.entries[index].node.set_pause(NodePause::BeforeWrite),
            1 => self.entries[index].node.set_pause(NodePause::AfterWrite),
            2 | 3 => self.entries[index].node.set_pause(NodePause::None),
            4 => drop(self.entries[index].is_held.send_replace(true)),
            5 => drop(self.entries[index].is_held.send_replace(false)),
            6 => self.kill_and_replace(index),
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

    /// Kills a node, in the middle of its calls, and starts another on its VM.
    fn kill_and_replace(&mut self, index: usize) {
        let dead = &self.entries[index];
        dead.is_held.send_replace(true);
        self.nodes.kill(&dead.node);
        let vm = dead.node.vm.clone();
        let entry = self.start(&vm);
        // Decisions held by the dead node must never be released. Dropping the sender would end
        // their wait, so the entry is leaked.
        std::mem::forget(std::mem::replace(&mut self.entries[index], entry));
    }

    fn set_faults(&self, faults: FaultSettings) {
        self.nodes.platform.set_faults(faults);
    }

    async fn clear_faults(&self) {
        self.set_faults(FaultSettings::default());
        for entry in &self.entries {
            entry.node.set_pause(NodePause::None);
            entry.is_held.send_replace(false);
            entry.node.set_view(&vm_names(NODES));
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
}

async fn send(plane: Arc<RacePlane>, key: usize, id: String) -> RaceResponse {
    let builder = Request::builder()
        .method("POST")
        .uri("/write")
        .header("x-request-id", &id)
        .header("idempotency-key", format!("{TEST_EPOCH_MS}-{key}"));
    let (parts, ()) = builder.body(()).unwrap().into_parts();
    let admitted = plane.admit(&parts).expect("route selects it");
    let response = plane.run(admitted, parts, Bytes::new()).await;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes());
    let code = parts.headers.get("heatherfall-result").map(|code| code.to_str().unwrap());
    let code = code.unwrap_or_default().to_owned();
    let is_complete = body.is_ok() && code.is_empty();
    RaceResponse {
        key,
        id,
        code,
        is_not_run: parts.headers.contains_key("heatherfall-not-run"),
        is_complete,
        body: body.unwrap_or_default(),
    }
}

async fn race(seed: u64) -> RaceTally {
    let mut harness = RaceHarness::new(seed);
    let mut responses = JoinSet::new();
    for index in 0..REQUESTS.max(FAULTS) {
        if index < REQUESTS {
            let plane = Arc::clone(&harness.entries[harness.random.below(NODES)].plane);
            let key = harness.random.below(KEYS);
            responses.spawn(send(plane, key, format!("{key}/{index}")));
        }
        if index < FAULTS {
            harness.inject_fault().await;
        }
    }
    harness.clear_faults().await;
    let plane = Arc::clone(&harness.entries[0].plane);
    let last = send(plane, KEYS, format!("{KEYS}/last")).await;
    let is_refused = last.code == "HF-1024" || last.code == "HF-1020";
    assert!(
        !is_refused,
        "seed {seed}: claims are still refused after the faults are cleared: {}",
        last.code
    );

    // Requests of a killed entry never end, so only finished ones are collected.
    let mut seen = Vec::new();
    while let Some(response) = responses.try_join_next() {
        seen.push(response.expect("no panic"));
    }
    check(seed, &harness.recorder, &seen)
}

/// Counts over the requests of one or more seeds.
#[derive(Clone, Copy, Debug, Default)]
struct RaceTally {
    ran: u32,
    not_run: usize,
    replayed: usize,
}

fn check(seed: u64, recorder: &AttemptRecorder, responses: &[RaceResponse]) -> RaceTally {
    let mut tally = RaceTally::default();
    for key in 0..KEYS {
        let ran: u32 = (0..REQUESTS).map(|index| recorder.runs_of(&format!("{key}/{index}"))).sum();
        assert!(ran <= 1, "seed {seed}: key {key} ran {ran} times");
        tally.ran += ran;
    }
    for response in responses {
        if response.is_not_run {
            tally.not_run += 1;
            assert_eq!(
                recorder.runs_of(&response.id),
                0,
                "seed {seed}: request {} ran but was reported as not run",
                response.id
            );
        }
        if response.is_complete {
            let from = String::from_utf8_lossy(&response.body).into_owned();
            assert!(from.starts_with(&format!("{}/", response.key)), "seed {seed}: {from}");
            assert_eq!(
                recorder.runs_of(&from),
                1,
                "seed {seed}: response of a request that did not run"
            );
            tally.replayed += usize::from(from != response.id);
        }
    }
    tally
}

/// Runs every `step`th seed from `first` up to `end`.
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
    // A full run has to reach all three cases; otherwise the checks above prove nothing.
    let reached = total.ran > 0 && total.not_run > 0 && total.replayed > 0;
    assert!(reached || end - first < RUNS, "{total:?}");
}
