//! Comparison of load balancing policies by discrete-event simulation on Tokio's paused clock.
//!
//! Each simulated entry has a picker of its own, called through the daemon's
//! [`UpstreamPicker`](crate::balance::UpstreamPicker) trait: it picks for each attempt, and records
//! the result, with the load report of the response, after the network delay of the response.
//! Hedges are simulated by [`hedging`] alone; a shed, a refused connection or an error leads to another attempt, as
//! for idempotent requests.

pub mod hedging;

mod arrivals;
mod baseline;
mod entry;
mod probing;
mod report;
mod run;
mod scenario;
mod settings;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use miette::IntoDiagnostic;

use crate::balance::LoadPicker;
use crate::core::FailureDomain;
use crate::ops::experiment::baseline::{
    OraclePicker, PowerOfTwoPicker, RoundRobinPicker, TrueLoad, UniformPicker,
};
use crate::ops::experiment::entry::domain_name;
use crate::ops::experiment::probing::{ProbePoolPicker, ProbingPicker};
use crate::ops::experiment::run::{PolicySimulation, SimulationStats};
use crate::util::SeededRandom;

pub use self::report::{ExperimentReport, PolicyStats};
pub use self::settings::{
    ALL_POLICIES, ALL_SCENARIOS, ExperimentSettings, PolicyKind, ScenarioKind, ServiceSettings,
};

/// One combination to simulate.
#[derive(Clone, Debug)]
struct RunPlan {
    service: ServiceSettings,
    scenario: ScenarioKind,
    policy: PolicyKind,
}

/// Simulates every combination of service, scenario and policy of `settings`, `threads` of them in
/// parallel; the results don't depend on `threads`.
///
/// # Errors
///
/// Returns an error if a runtime or histogram cannot be created, or a simulation panics.
pub fn compare(settings: &ExperimentSettings, threads: usize) -> miette::Result<ExperimentReport> {
    let mut plans = Vec::new();
    for service in &settings.services {
        for scenario in &settings.scenarios {
            for policy in &settings.policies {
                plans.push(RunPlan {
                    service: service.clone(),
                    scenario: *scenario,
                    policy: *policy,
                });
            }
        }
    }
    let mut stats = Vec::with_capacity(plans.len());
    for batch in plans.chunks(threads.max(1)) {
        let results: Vec<miette::Result<SimulationStats>> = std::thread::scope(|scope| {
            let mut handles = Vec::with_capacity(batch.len());
            for plan in batch {
                handles.push(scope.spawn(move || run_plan(settings, plan)));
            }
            let mut results = Vec::with_capacity(handles.len());
            for handle in handles {
                let panicked = |_| Err(miette::miette!("a simulation panicked"));
                results.push(handle.join().unwrap_or_else(panicked));
            }
            results
        });
        for (plan, result) in batch.iter().zip(results) {
            stats.push(PolicyStats::new(plan, &result?));
        }
    }
    Ok(ExperimentReport::new(settings.clone(), stats))
}

fn run_plan(settings: &ExperimentSettings, plan: &RunPlan) -> miette::Result<SimulationStats> {
    let random = |entry: usize| SeededRandom::new(settings.seed.wrapping_add(entry as u64 + 1));
    match plan.policy {
        PolicyKind::Random => {
            run_with(settings, plan, |entry, _| UniformPicker::new(random(entry)))
        }
        PolicyKind::RoundRobin => run_with(settings, plan, |entry, _| RoundRobinPicker::new(entry)),
        PolicyKind::PowerOfTwo => {
            run_with(settings, plan, |entry, _| PowerOfTwoPicker::new(random(entry)))
        }
        PolicyKind::ProbePool => run_with(settings, plan, |entry, _| {
            ProbePoolPicker::new(random(entry), settings.pool_probes_per_request)
        }),
        PolicyKind::Oracle => {
            run_with(settings, plan, |entry, load| OraclePicker::new(random(entry), load.clone()))
        }
        PolicyKind::Heatherfall => run_with(settings, plan, |entry, _| {
            let domain = FailureDomain::new(&domain_name(entry % settings.failure_domains));
            LoadPicker::new(domain, settings.picker.clone(), random(entry))
        }),
    }
}

fn run_with<P: ProbingPicker>(
    settings: &ExperimentSettings,
    plan: &RunPlan,
    make_picker: impl Fn(usize, &TrueLoad) -> P,
) -> miette::Result<SimulationStats> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .into_diagnostic()?;
    runtime.block_on(async {
        let mut true_load = Vec::new();
        true_load.resize_with(plan.service.targets, AtomicU32::default);
        let true_load = Arc::new(true_load);
        let mut pickers = Vec::with_capacity(settings.entries);
        for entry in 0..settings.entries {
            pickers.push(make_picker(entry, &true_load));
        }
        let simulation =
            PolicySimulation::new(settings, &plan.service, plan.scenario, pickers, true_load)?;
        simulation.run(plan.service.slots).await
    })
}
