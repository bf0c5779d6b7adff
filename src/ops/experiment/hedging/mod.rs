//! Simulation of hedging: entries with the data plane and picker of the daemon, upstreams on machines
//! that become slow at random, on Tokio's paused clock.
//!
//! Arrivals, service times and slow machines depend on the seed alone, so that runs with different
//! rules for hedges are comparable.

mod trial_picker;
mod upstreams;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{HeaderValue, Request, StatusCode};
use miette::IntoDiagnostic;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::balance::{
    LimitedHedgeSettings, ObserveSettings, UtilityPicker, UtilityPickerSettings,
    record_shared_report,
};
use crate::core::{
    ConfigSnapshot, FailureDomain, HeaderNames, IdempotenceMode, IdempotenceRule, LabelSet,
    LoadReportFormat, RouteRecord, SharedSnapshot, UpstreamState,
};
use crate::fleet::entry_node::KeylessLedger;
use crate::limits::{
    HEDGE_EVENTS, HedgeAllowance, HedgeEvent, LatencyWindow, RouteLimitSettings, WindowAllowance,
};
use crate::membership::ConfigFreshness;
use crate::ops::experiment::arrivals::ArrivalProcess;
use crate::ops::experiment::hedging::trial_picker::TrialPicker;
use crate::ops::experiment::hedging::upstreams::{
    HEALTH_PATH, LOAD_HEADER, SimulatedClient, WORK_HEADER,
};
use crate::ops::experiment::{ExperimentSettings, ServiceSettings};
use crate::request::{DataPlane, ExecutionSettings, LoadCheckSettings};
use crate::util::SeededRandom;

/// Interval at which every entry gets the load reports that entries share.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Failure domain of all entries and upstreams.
const DOMAIN: &str = "fd-a";

type TrialPlane = DataPlane<SimulatedClient, TrialPicker, KeylessLedger>;

/// When a trial hedges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HedgeTrigger {
    /// By the expected gain, as the daemon does.
    Gain,
    /// After a fixed time.
    Delay(Duration),
    /// After a quantile of the recent latency, between 0 and 1.
    Quantile(f64),
    /// If the upstream reported at least this slowdown factor when the attempt began.
    Slowdown(f32),
}

/// Settings of one trial.
#[derive(Clone, Debug)]
pub struct HedgeTrialSettings {
    /// Seed of the arrivals, service times, slow machines and pickers.
    pub seed: u64,
    /// Entry VMs.
    pub entries: usize,
    /// Upstreams of the service.
    pub upstreams: usize,
    /// Requests that an upstream runs at a time.
    pub slots: u32,
    /// Requests that an upstream queues; further ones are refused.
    pub queue: u32,
    /// Mean arrival rate as a share of the upstreams' capacity on machines that are slow for
    /// `slow_share` of the time.
    pub load: f64,
    /// Mean service time at full speed.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Latency goal of the route.
    pub goal: Duration,
    /// Deadline of the route.
    pub deadline: Duration,
    /// Share of the machines that are slow at a time.
    pub slow_share: f64,
    /// Service time on a slow machine as a multiple of the usual one.
    pub slow_factor: f64,
    /// Time for which a machine keeps its speed.
    pub slow_period: Duration,
    /// Simulated time in which requests arrive.
    pub duration: Duration,
    /// Time at the start whose requests are left out of the results.
    pub warm_up: Duration,
    /// Shared budget for repeats.
    pub repeats: WindowAllowance,
    /// Operators' limit on hedges, if any.
    pub hedging: Option<HedgeAllowance>,
    /// When to hedge.
    pub trigger: HedgeTrigger,
    /// Settings of hedges under a limit.
    pub limited_hedge: LimitedHedgeSettings,
}

impl Default for HedgeTrialSettings {
    /// A service of the size that the platform's deployments have, with the budget for repeats of
    /// `docs/design/zones-tenants-latency.md`.
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 24,
            upstreams: 12,
            slots: 2,
            queue: 8,
            load: 0.6,
            service_time: Duration::from_millis(100),
            sigma: 0.3,
            goal: Duration::from_millis(300),
            deadline: Duration::from_millis(1500),
            slow_share: 0.3,
            slow_factor: 7.0,
            slow_period: Duration::from_millis(500),
            duration: Duration::from_secs(60),
            warm_up: Duration::from_secs(3),
            repeats: WindowAllowance { ratio: 0.2, extra: 20.0, window: Duration::from_secs(10) },
            hedging: None,
            trigger: HedgeTrigger::Gain,
            limited_hedge: LimitedHedgeSettings::default(),
        }
    }
}

/// Results of one trial.
#[derive(Clone, Debug)]
pub struct HedgeTrialStats {
    /// Latencies of answered requests in microseconds.
    pub latency_us: Histogram<u64>,
    /// Requests after the warm-up.
    pub requests: u64,
    /// Requests that were answered within the goal.
    pub within_goal: u64,
    /// Requests that were refused or failed.
    pub refused: u64,
    /// All requests, those of the warm-up included.
    pub all_requests: u64,
    /// Attempts at upstreams, for all requests.
    pub attempts: u64,
    /// Attempts that found the queue of an upstream full.
    pub sheds: u64,
    /// Time for which slots were in use, summed over the slots.
    pub busy: Duration,
    /// Hedges of all entries in the order of [`HEDGE_EVENTS`].
    pub hedges: [u64; HEDGE_EVENTS.len()],
}

impl HedgeTrialStats {
    /// Latency at a quantile between 0 and 1, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Number of hedges with this outcome.
    pub fn hedge_count(&self, event: HedgeEvent) -> u64 {
        self.hedges[event as usize]
    }

    /// Hedges started as a share of all requests.
    pub fn hedge_share(&self) -> f64 {
        self.hedge_count(HedgeEvent::Started) as f64 / self.all_requests.max(1) as f64
    }

    /// Adds the results of another trial.
    pub fn add(&mut self, other: &Self) {
        self.latency_us += &other.latency_us;
        self.requests += other.requests;
        self.within_goal += other.within_goal;
        self.refused += other.refused;
        self.all_requests += other.all_requests;
        self.attempts += other.attempts;
        self.sheds += other.sheds;
        self.busy += other.busy;
        for (count, added) in self.hedges.iter_mut().zip(other.hedges) {
            *count += added;
        }
    }
}

/// Runs one trial.
///
/// # Errors
///
/// Returns an error if the runtime or the configuration cannot be created.
pub fn run_trial(settings: &HedgeTrialSettings) -> miette::Result<HedgeTrialStats> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .into_diagnostic()?;
    runtime.block_on(simulate(settings))
}

async fn simulate(settings: &HedgeTrialSettings) -> miette::Result<HedgeTrialStats> {
    let client = SimulatedClient::new(settings);
    let entries = create_entries(settings, &client)?;
    let mut reports = JoinSet::new();
    reports.spawn(share_reports(entries.clone(), client.clone(), settings.upstreams));
    let mut arrivals = arrival_process(settings);
    let stats = Arc::new(Mutex::new(empty_stats()?));
    let began = Instant::now();
    let mut requests = JoinSet::new();
    loop {
        let now = began.elapsed();
        if now >= settings.duration {
            break;
        }
        let arrival = arrivals.next(now);
        let plane = Arc::clone(&entries[arrival.entry].plane);
        let stats = Arc::clone(&stats);
        let (is_counted, goal) = (now >= settings.warm_up, settings.goal);
        requests.spawn(async move {
            let (status, latency) = send(&plane, arrival.service_time).await;
            let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
            stats.all_requests += 1;
            if is_counted {
                stats.record(status, latency, goal);
            }
        });
        tokio::time::sleep_until(began + arrival.next_at).await;
    }
    while requests.join_next().await.is_some() {}
    reports.shutdown().await;
    let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner).clone();
    stats.attempts = client.attempts();
    stats.sheds = client.sheds();
    stats.busy = client.busy_time();
    for entry in &entries {
        for route in entry.plane.limits().routes() {
            for (count, event) in stats.hedges.iter_mut().zip(HEDGE_EVENTS) {
                *count += route.limits.hedge_counts.get(event);
            }
        }
    }
    Ok(stats)
}

impl HedgeTrialStats {
    fn record(&mut self, status: StatusCode, latency: Duration, goal: Duration) {
        self.requests += 1;
        if !status.is_success() {
            self.refused += 1;
            return;
        }
        self.within_goal += u64::from(latency <= goal);
        self.latency_us.saturating_record(latency.as_micros() as u64);
    }
}

fn empty_stats() -> miette::Result<HedgeTrialStats> {
    Ok(HedgeTrialStats {
        latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3).into_diagnostic()?,
        requests: 0,
        within_goal: 0,
        refused: 0,
        all_requests: 0,
        attempts: 0,
        sheds: 0,
        busy: Duration::ZERO,
        hedges: Default::default(),
    })
}

fn arrival_process(settings: &HedgeTrialSettings) -> ArrivalProcess {
    let service = ServiceSettings {
        name: "hedged".to_owned(),
        targets: settings.upstreams,
        slots: settings.slots,
        mean_service: settings.service_time,
        sigma: settings.sigma,
    };
    let speed = 1.0 - settings.slow_share + settings.slow_share / settings.slow_factor;
    let experiment = ExperimentSettings {
        seed: settings.seed,
        load: settings.load * speed,
        entries: settings.entries,
        ..ExperimentSettings::default()
    };
    ArrivalProcess::new(&experiment, &service)
}

/// One entry, with its own view of the upstreams.
#[derive(Clone, Debug)]
struct TrialEntry {
    plane: Arc<TrialPlane>,
    upstreams: Vec<Arc<UpstreamState>>,
    freshness: Arc<ConfigFreshness>,
}

fn create_entries(
    settings: &HedgeTrialSettings,
    client: &SimulatedClient,
) -> miette::Result<Vec<TrialEntry>> {
    let latency = Arc::new(LatencyWindow::default());
    let mut entries = Vec::with_capacity(settings.entries);
    for index in 0..settings.entries {
        let weights = UtilityPickerSettings {
            limited_hedge: settings.limited_hedge.clone(),
            ..UtilityPickerSettings::default()
        };
        let random = SeededRandom::new(settings.seed.wrapping_add(index as u64 + 1));
        let picker = TrialPicker {
            inner: UtilityPicker::new(FailureDomain::new(DOMAIN), weights, random),
            trigger: settings.trigger,
            latency: Arc::clone(&latency),
        };
        let snapshot = create_snapshot(settings)?;
        let upstreams = snapshot.upstreams.values().cloned().collect();
        let shared = SharedSnapshot::default();
        shared.store(Some(Arc::new(snapshot)));
        let freshness = Arc::new(ConfigFreshness::default());
        let headers =
            HeaderNames { load: LoadReportFormat::Counts(LOAD_HEADER), ..Default::default() };
        let execution = ExecutionSettings {
            headers,
            hedge_trigger: crate::request::HedgeTrigger::ExpectedGain,
            first_attempt_ratio: 1.0,
            load_checks: Some(LoadCheckSettings::default()),
            ..ExecutionSettings::default()
        };
        let plane = DataPlane::new(
            shared,
            client.clone(),
            picker,
            KeylessLedger,
            Arc::clone(&freshness),
            execution,
        );
        let plane = plane.with_limits(RouteLimitSettings {
            repeats: Some(settings.repeats),
            hedging: settings.hedging,
            is_gate_disabled: true,
            part_seed: settings.seed,
        });
        plane.limits().set_entries(settings.entries as u32);
        entries.push(TrialEntry { plane: Arc::new(plane), upstreams, freshness });
    }
    Ok(entries)
}

fn create_snapshot(settings: &HedgeTrialSettings) -> miette::Result<ConfigSnapshot> {
    let mut snapshot = ConfigSnapshot::default();
    let mut keys = Vec::with_capacity(settings.upstreams);
    for index in 0..settings.upstreams {
        let spec = json!({
            "address": format!("127.0.0.1:{}", index + 1),
            "failure_domain": DOMAIN,
            "slots": settings.slots,
            "health_path": HEALTH_PATH,
        });
        let spec = serde_json::from_value(spec).into_diagnostic()?;
        let state = UpstreamState::new(&format!("u{index}"), spec, LabelSet::default());
        keys.push(snapshot.upstreams.insert(Arc::new(state)));
    }
    let spec = json!({
        "requests": "",
        "upstreams": "",
        "rank": 1,
        "goal": format!("{}ms", settings.goal.as_millis()),
        "deadline": format!("{}ms", settings.deadline.as_millis()),
    });
    snapshot.routes.push(RouteRecord {
        name: "hedged".to_owned(),
        spec: serde_json::from_value(spec).into_diagnostic()?,
        upstreams: keys.into(),
        parts: Vec::new(),
    });
    snapshot.idempotence_rules.push(IdempotenceRule {
        name: "all".to_owned(),
        requests: serde_json::from_value(json!("")).into_diagnostic()?,
        mode: IdempotenceMode::Idempotent,
    });
    Ok(snapshot)
}

/// Gives every entry the upstreams' load reports, and confirms its configuration.
async fn share_reports(entries: Vec<TrialEntry>, client: SimulatedClient, upstreams: usize) {
    let observe = ObserveSettings::default();
    loop {
        for index in 0..upstreams {
            let report = client.load_report(index);
            for entry in &entries {
                let upstream = &entry.upstreams[index];
                record_shared_report(upstream, report, Duration::ZERO, &observe);
            }
        }
        for entry in &entries {
            entry.freshness.confirm(Duration::ZERO);
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Sends one request; returns the status of the response and the time that it took.
async fn send(plane: &TrialPlane, service_time: Duration) -> (StatusCode, Duration) {
    let began = Instant::now();
    let mut request = Request::new(());
    let work = HeaderValue::from(service_time.as_micros() as u64);
    request.headers_mut().insert(WORK_HEADER, work);
    let (parts, ()) = request.into_parts();
    let Ok(admitted) = plane.admit(&parts) else {
        return (StatusCode::SERVICE_UNAVAILABLE, began.elapsed());
    };
    let response = plane.run(admitted, parts, Bytes::new()).await;
    (response.status(), began.elapsed())
}
