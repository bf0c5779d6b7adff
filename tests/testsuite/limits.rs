//! Admission control under overload, with a paused clock.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use heatherfall::core::{Criticality, TenantId};
use heatherfall::limits::{
    AdaptiveLimit, AdmissionGate, AttemptWindow, FairQueue, GateRefusal, GateRequest, GateSettings,
    LimitUsage, QueueFlow,
};
use heatherfall::util::SeededRandom;
use tokio::sync::Semaphore;
use tokio::time::Instant;

const SEED: u64 = 41;
const RUN_TIME: Duration = Duration::from_secs(10);

/// Requests of one kind, with exponentially distributed interarrival and service times.
#[derive(Clone, Copy)]
struct Workload {
    tenant: &'static str,
    class: Criticality,
    per_second: f64,
    service: Duration,
    deadline: Duration,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Admission {
    /// Every request goes to the upstreams at once and waits in their queue.
    Direct,
    /// Requests wait for a permit of an admission gate.
    Gate,
}

#[derive(Debug)]
struct RequestStats {
    latency_us: Histogram<u64>,
    answered: u32,
    deadline_exceeded: u32,
    refused: u32,
    slowest_refusal: Duration,
}

impl RequestStats {
    fn new() -> Self {
        Self {
            latency_us: Histogram::new(3).unwrap(),
            answered: 0,
            deadline_exceeded: 0,
            refused: 0,
            slowest_refusal: Duration::ZERO,
        }
    }

    fn p99(&self) -> Duration {
        Duration::from_micros(self.latency_us.value_at_quantile(0.99))
    }

    fn answered_share(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.answered + self.deadline_exceeded + self.refused)
    }
}

/// Sends one request to upstreams that are modelled as a pool of slots with a FIFO queue.
async fn serve_one(
    gate: Arc<AdmissionGate>,
    slots: Arc<Semaphore>,
    workload: Workload,
    service: Duration,
    admission: Admission,
    stats: Arc<Mutex<RequestStats>>,
) {
    let started = Instant::now();
    let deadline = started + workload.deadline;
    let request =
        GateRequest { class: workload.class, tenant: TenantId::new(workload.tenant), deadline };
    let permit = match admission {
        Admission::Direct => None,
        Admission::Gate => match gate.acquire(&request).await {
            Ok(permit) => Some(permit),
            Err(_) => {
                let mut stats = stats.lock().unwrap();
                stats.refused += 1;
                stats.slowest_refusal = stats.slowest_refusal.max(started.elapsed());
                return;
            }
        },
    };
    let response = async {
        let _slot = slots.acquire().await.unwrap();
        tokio::time::sleep(service).await;
    };
    let is_answered = tokio::time::timeout_at(deadline, response).await.is_ok();
    drop(permit);
    let mut stats = stats.lock().unwrap();
    stats.answered += u32::from(is_answered);
    stats.deadline_exceeded += u32::from(!is_answered);
    stats.latency_us.record(started.elapsed().as_micros() as u64).unwrap();
}

async fn run_workloads(
    slots: u32,
    workloads: &[Workload],
    admission: Admission,
) -> Vec<RequestStats> {
    let gate = Arc::new(AdmissionGate::new(slots, GateSettings::default()));
    let semaphore = Arc::new(Semaphore::new(slots as usize));
    let mut all_stats = Vec::new();
    let mut tasks = tokio::task::JoinSet::new();
    for (index, workload) in workloads.iter().copied().enumerate() {
        let stats = Arc::new(Mutex::new(RequestStats::new()));
        all_stats.push(Arc::clone(&stats));
        let (gate, semaphore) = (Arc::clone(&gate), Arc::clone(&semaphore));
        tasks.spawn(async move {
            let mut random = SeededRandom::new(SEED + index as u64);
            let mut exponential = move || -(1.0 - random.unit()).ln();
            let started = Instant::now();
            let mut due = started;
            let mut calls = tokio::task::JoinSet::new();
            while due < started + RUN_TIME {
                tokio::time::sleep_until(due).await;
                let service = workload.service.mul_f64(exponential());
                calls.spawn(serve_one(
                    Arc::clone(&gate),
                    Arc::clone(&semaphore),
                    workload,
                    service,
                    admission,
                    Arc::clone(&stats),
                ));
                due += Duration::from_secs_f64(exponential() / workload.per_second);
            }
            while calls.join_next().await.is_some() {}
        });
    }
    while tasks.join_next().await.is_some() {}
    let mut results = Vec::new();
    for (workload, stats) in workloads.iter().zip(all_stats) {
        let stats = Arc::try_unwrap(stats).unwrap().into_inner().unwrap();
        println!(
            "{admission:?} {} {:?}: p50 {} us p99 {:?} answered {} deadline exceeded {} refused {}",
            workload.tenant,
            workload.class,
            stats.latency_us.value_at_quantile(0.5),
            stats.p99(),
            stats.answered,
            stats.deadline_exceeded,
            stats.refused,
        );
        results.push(stats);
    }
    results
}

#[tokio::test(start_paused = true)]
async fn a_noisy_tenant_does_not_delay_a_quiet_one() {
    let workload = |tenant, per_second| Workload {
        tenant,
        class: Criticality::Normal,
        per_second,
        service: Duration::from_millis(10),
        deadline: Duration::from_millis(500),
    };
    // 18 slots at 10 ms take 1,800 requests a second.
    let workloads = [workload("quiet", 300.0), workload("noisy", 3000.0)];
    let direct = run_workloads(18, &workloads, Admission::Direct).await;
    let gated = run_workloads(18, &workloads, Admission::Gate).await;
    assert!(gated[0].answered_share() > 0.999, "{:?}", gated[0]);
    assert!(gated[0].p99() * 4 < direct[0].p99(), "{:?}", gated[0].p99());
    let longest_wait = GateSettings::default().queue_timeout(workloads[1].deadline);
    assert!(gated[1].slowest_refusal <= longest_wait);
    // The noisy tenant gets the capacity that the quiet one leaves.
    assert!(gated[1].answered > 14_000, "{:?}", gated[1].answered);
}

#[tokio::test(start_paused = true)]
async fn lower_classes_are_shed_before_higher_ones() {
    let workload = |tenant, class, per_second, service_millis| Workload {
        tenant,
        class,
        per_second,
        service: Duration::from_millis(service_millis),
        deadline: Duration::from_secs(2),
    };
    let workloads = [
        workload("exam", Criticality::Critical, 400.0, 8),
        workload("lookup", Criticality::Normal, 1500.0, 5),
        workload("pack", Criticality::Deferrable, 200.0, 200),
    ];
    let direct = run_workloads(24, &workloads, Admission::Direct).await;
    let gated = run_workloads(24, &workloads, Admission::Gate).await;
    assert!(gated[0].answered_share() > 0.9999, "{:?}", gated[0].answered_share());
    assert!(gated[1].answered_share() > 0.999, "{:?}", gated[1].answered_share());
    assert!(gated[2].refused > 0);
    let longest_wait = GateSettings::default().queue_timeout(workloads[2].deadline);
    assert!(gated[2].slowest_refusal <= longest_wait);
    assert!(gated[0].p99() * 10 < direct[0].p99(), "{:?}", gated[0].p99());
    assert!(gated[1].p99() * 10 < direct[1].p99(), "{:?}", gated[1].p99());
    assert_eq!(gated[0].deadline_exceeded + gated[1].deadline_exceeded, 0);
}

fn request(class: Criticality, tenant: &str, millis: u64) -> GateRequest {
    let deadline = Instant::now() + Duration::from_millis(millis);
    GateRequest { class, tenant: TenantId::new(tenant), deadline }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let gate = Arc::new(AdmissionGate::new(1, GateSettings::default()));
    let permit = gate.acquire(&request(Criticality::Normal, "t", 1000)).await.unwrap();
    tokio::time::advance(Duration::from_millis(100)).await;
    drop(permit);
    let _held = gate.acquire(&request(Criticality::Normal, "t", 1000)).await.unwrap();
    let started = Instant::now();
    let refused = gate.acquire(&request(Criticality::Normal, "t", 90)).await;
    assert_eq!(refused.unwrap_err(), GateRefusal::DeadlineUnreachable);
    assert_eq!(started.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn cancelled_waiters_and_grants_leak_no_permit() {
    let gate = Arc::new(AdmissionGate::new(1, GateSettings::default()));
    let mut random = SeededRandom::new(SEED);
    let mut tasks = tokio::task::JoinSet::new();
    for index in 0..500 {
        let gate = Arc::clone(&gate);
        let caller_timeout = Duration::from_micros(random.below(4000) as u64);
        let start = Duration::from_micros(random.below(200_000) as u64);
        let class =
            [Criticality::Critical, Criticality::Normal, Criticality::Deferrable][index % 3];
        tasks.spawn(async move {
            tokio::time::sleep(start).await;
            let call = async {
                let Ok(_permit) = gate.acquire(&request(class, "t", 1000)).await else { return };
                tokio::time::sleep(Duration::from_millis(1)).await;
            };
            let _ = tokio::time::timeout(caller_timeout, call).await;
        });
    }
    while tasks.join_next().await.is_some() {}
    assert_eq!(gate.in_flight(), 0);
    let again = gate.acquire(&request(Criticality::Normal, "t", 1000)).await;
    assert!(again.is_ok());
}

#[test]
fn permits_are_shared_by_the_time_for_which_tenants_hold_them() {
    let mut queue = FairQueue::default();
    let flow = |tenant| QueueFlow { class: Criticality::Normal, tenant: TenantId::new(tenant) };
    for index in 0..40 {
        queue.push(&flow("long"), index);
        queue.push(&flow("short"), index);
    }
    let mut held_secs = [0.0, 0.0];
    for _ in 0..30 {
        let (tenant, _) = queue.pop(Criticality::Normal).unwrap();
        let secs = if tenant.as_str() == "long" { 0.04 } else { 0.01 };
        held_secs[usize::from(tenant.as_str() == "long")] += secs;
        queue.correct_charge(&flow(if secs == 0.04 { "long" } else { "short" }), secs);
    }
    let ratio: f64 = held_secs[1] / held_secs[0];
    assert!((0.8..1.25).contains(&ratio), "short {} long {}", held_secs[0], held_secs[1]);
}

#[test]
fn a_full_queue_sheds_from_the_longest_flow_of_the_lowest_class() {
    let mut queue = FairQueue::default();
    let flow = |class, tenant| QueueFlow { class, tenant: TenantId::new(tenant) };
    queue.push(&flow(Criticality::Deferrable, "packs"), "pack");
    for name in ["noisy-1", "noisy-2", "noisy-3"] {
        queue.push(&flow(Criticality::Normal, "noisy"), name);
    }
    assert_eq!(queue.evict_for(&flow(Criticality::Deferrable, "packs")), None);
    assert_eq!(queue.evict_for(&flow(Criticality::Critical, "exam")), Some("pack"));
    assert_eq!(queue.evict_for(&flow(Criticality::Normal, "noisy")), None);
    assert_eq!(queue.evict_for(&flow(Criticality::Normal, "quiet")), Some("noisy-3"));
    assert_eq!(queue.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn the_limit_falls_on_congestion_and_rises_only_while_it_is_reached() {
    let mut limit = AdaptiveLimit::new(20);
    let clear = AttemptWindow { attempts: 20, congested: 0 };
    let few_congested = AttemptWindow { attempts: 20, congested: 2 };
    let congested = AttemptWindow { attempts: 20, congested: 10 };
    limit.end_window(clear, LimitUsage::Below);
    assert_eq!(limit.limit(), 20);
    limit.end_window(few_congested, LimitUsage::Reached);
    assert_eq!(limit.limit(), 21);
    limit.end_window(congested, LimitUsage::Reached);
    assert_eq!(limit.limit(), 16);
    for _ in 0..50 {
        limit.end_window(congested, LimitUsage::Below);
    }
    assert_eq!(limit.limit(), 1);
    for _ in 0..100 {
        limit.end_window(clear, LimitUsage::Reached);
    }
    assert_eq!(limit.limit(), 40);
}
