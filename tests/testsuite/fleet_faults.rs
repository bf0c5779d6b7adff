//! Random faults on whole fleets, reproducible by seed.

use std::collections::BTreeMap;
use std::time::Duration;

use heatherfall::config::{GENERATION_KIND, GENERATION_NAME};
use heatherfall::membership::MAX_CONFIRMED_AGE;
use heatherfall::platform::PlatformStore;
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::{FaultSettings, StandinPlatform};
use tokio::time::Instant;

use crate::support::ControlFleet;

/// Number of nodes of the fleet, in three failure domains.
const NODES: usize = 9;
/// One run is made for each seed.
const SEEDS: std::ops::Range<u64> = 0..24;
/// Number of random steps in one run.
const STEPS: usize = 30;
/// Interval at which the fleet is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Records when generations were published and what each node applied, and checks the invariants.
#[derive(Default)]
struct InvariantChecker {
    published: Vec<(u64, Instant)>,
    applied: BTreeMap<usize, u64>,
}

impl InvariantChecker {
    async fn check(&mut self, fleet: &ControlFleet, seed: u64) {
        // Reads without injected faults, so that the newest generation is the store's.
        let faults = fleet.platform.faults();
        fleet.platform.set_faults(FaultSettings::default());
        let newest = fleet.platform.get(GENERATION_KIND, GENERATION_NAME).await;
        fleet.platform.set_faults(faults);
        let newest = newest.map_or(0, |object| object.spec["number"].as_u64().unwrap_or(0));
        let last = self.published.last().map_or(0, |last| last.0);
        assert!(newest >= last, "seed {seed}: generation {newest} after {last}");
        if newest > last {
            self.published.push((newest, Instant::now()));
        }
        let mut required = 0;
        for (number, seen) in &self.published {
            if seen.elapsed() > MAX_CONFIRMED_AGE {
                required = *number;
            }
        }
        for (index, node) in &fleet.nodes {
            let applied = node.generation();
            let before = self.applied.insert(*index, applied).unwrap_or(0);
            assert!(applied >= before, "seed {seed}: node {index} from {before} to {applied}");
            if node.freshness.is_confirmed() {
                assert!(
                    applied >= required,
                    "seed {seed}: node {index} treats {applied} as the newest, {required} is due"
                );
            }
        }
    }

    async fn watch(&mut self, fleet: &ControlFleet, time: Duration, seed: u64) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.check(fleet, seed).await;
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

fn random_faults(random: &mut SeededRandom) -> FaultSettings {
    let none = FaultSettings::default();
    match random.below(7) {
        0 => FaultSettings { down: true, ..none },
        1 => FaultSettings { delay: Duration::from_millis(400), ..none },
        2 => FaultSettings { lose_write_answers: 5, ..none },
        3 => FaultSettings { silent_watches: true, ..none },
        4 => FaultSettings { stale_revisions: 3, ..none },
        5 => FaultSettings { freeze_vm_list: true, ..none },
        _ => none,
    }
}

async fn apply_step(
    fleet: &mut ControlFleet,
    checker: &mut InvariantChecker,
    random: &mut SeededRandom,
    changes: &mut u32,
) {
    let index = random.below(NODES);
    match random.below(8) {
        0 if fleet.nodes.len() > 3 && fleet.nodes.contains_key(&index) => {
            fleet.kill(index, random.below(2) == 0);
            checker.applied.remove(&index);
        }
        1 | 2 if !fleet.nodes.contains_key(&index) => {
            fleet.start(index, vec![ControlFleet::address_of(random.below(NODES))]);
        }
        3 => fleet.isolate(index),
        4 => fleet.heal(index),
        5 => fleet.platform.set_faults(random_faults(random)),
        _ => {
            *changes += 1;
            write(&fleet.platform, *changes).await;
        }
    }
}

/// Writes as an operator whose own calls have no injected faults.
async fn write(platform: &StandinPlatform, change: u32) {
    let faults = platform.faults();
    platform.set_faults(FaultSettings::default());
    let fleet = ControlFleet::with_platform(platform.clone());
    fleet.apply_upstream("lookups-0", change).await;
    platform.set_faults(faults);
}

async fn run(seed: u64) {
    let mut random = SeededRandom::new(seed);
    let mut fleet = ControlFleet::started(NODES, 3).await;
    let mut checker = InvariantChecker::default();
    let mut changes = 1;
    for _ in 0..STEPS {
        apply_step(&mut fleet, &mut checker, &mut random, &mut changes).await;
        let watch_time = Duration::from_millis(50 + random.below(4000) as u64);
        checker.watch(&fleet, watch_time, seed).await;
    }
    fleet.platform.set_faults(FaultSettings::default());
    for index in 0..NODES {
        fleet.heal(index);
    }
    changes += 1;
    write(&fleet.platform, changes).await;
    checker.watch(&fleet, Duration::from_secs(15), seed).await;
    let live = fleet.nodes.len();
    fleet
        .wait_until(&format!("seed {seed}"), |node| {
            let snapshot = node.snapshot.load();
            let slots = snapshot.as_ref().and_then(|one| one.upstreams.values().next());
            slots.is_some_and(|upstream| upstream.spec.slots == changes)
                && node.ready_entries() == live
                && node.freshness.is_confirmed()
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn no_node_goes_back_or_treats_a_replaced_generation_as_the_newest_under_faults() {
    for seed in SEEDS {
        run(seed).await;
    }
}
