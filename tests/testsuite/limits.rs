//! Admission under overload, on the paused clock.

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

/// One kind of requests, with arrivals and service times drawn from exponential distributions.
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
    Gate,
}

#[derive(Debug)]
struct Tally {
    latency_us: Histogram<u64>,
    answered: u32,
    late: u32,
    refused: u32,
    slowest_refusal: Duration,
}

impl Tally {
    fn new() -> Self {
        Self {
            latency_us: Histogram::new(3).unwrap(),
            answered: 0,
            late: 0,
            refused: 0,
            slowest_refusal: Duration::ZERO,
        }
    }

    fn p99(&self) -> Duration {
        Duration::from_micros(self.latency_us.value_at_quantile(0.99))
    }

    fn answered_share(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.answered + self.late + self.refused)
    }
}

/// Upstreams as one pool of slots with a first-come queue.
async fn serve_one(
    gate: Arc<AdmissionGate>,
    slots: Arc<Semaphore>,
    work: Workload,
    service: Duration,
    admission: Admission,
    tally: Arc<Mutex<Tally>>,
) {
    let started = Instant::now();
    let deadline = started + work.deadline;
    let asked = GateRequest { class: work.class, tenant: TenantId::new(work.tenant), deadline };
    let permit = match admission {
        Admission::Direct => None,
        Admission::Gate => match gate.acquire(&asked).await {
            Ok(permit) => Some(permit),
            Err(_) => {
                let mut tally = tally.lock().unwrap();
                tally.refused += 1;
                tally.slowest_refusal = tally.slowest_refusal.max(started.elapsed());
                return;
            }
        },
    };
    let answer = async {
        let _slot = slots.acquire().await.unwrap();
        tokio::time::sleep(service).await;
    };
    let is_answered = tokio::time::timeout_at(deadline, answer).await.is_ok();
    drop(permit);
    let mut tally = tally.lock().unwrap();
    tally.answered += u32::from(is_answered);
    tally.late += u32::from(!is_answered);
    tally.latency_us.record(started.elapsed().as_micros() as u64).unwrap();
}

async fn trial(slots: u32, workloads: &[Workload], admission: Admission) -> Vec<Tally> {
    let gate = Arc::new(AdmissionGate::new(slots, GateSettings::default()));
    let semaphore = Arc::new(Semaphore::new(slots as usize));
    let mut tallies = Vec::new();
    let mut tasks = tokio::task::JoinSet::new();
    for (index, work) in workloads.iter().copied().enumerate() {
        let tally = Arc::new(Mutex::new(Tally::new()));
        tallies.push(Arc::clone(&tally));
        let (gate, semaphore) = (Arc::clone(&gate), Arc::clone(&semaphore));
        tasks.spawn(async move {
            let mut random = SeededRandom::new(SEED + index as u64);
            let mut exponential = move || -(1.0 - random.unit()).ln();
            let started = Instant::now();
            let mut due = started;
            let mut calls = tokio::task::JoinSet::new();
            while due < started + RUN_TIME {
                tokio::time::sleep_until(due).await;
                let service = work.service.mul_f64(exponential());
                calls.spawn(serve_one(
                    Arc::clone(&gate),
                    Arc::clone(&semaphore),
                    work,
                    service,
                    admission,
                    Arc::clone(&tally),
                ));
                due += Duration::from_secs_f64(exponential() / work.per_second);
            }
            while calls.join_next().await.is_some() {}
        });
    }
    while tasks.join_next().await.is_some() {}
    let mut results = Vec::new();
    for (work, tally) in workloads.iter().zip(tallies) {
        let tally = Arc::try_unwrap(tally).unwrap().into_inner().unwrap();
        println!(
            "{admission:?} {} {:?}: p50 {} us p99 {:?} answered {} late {} refused {}",
            work.tenant,
            work.class,
            tally.latency_us.value_at_quantile(0.5),
            tally.p99(),
            tally.answered,
            tally.late,
            tally.refused,
        );
        results.push(tally);
    }
    results
}

#[tokio::test(start_paused = true)]
async fn a_noisy_tenant_does_not_delay_a_quiet_one() {
    let work = |tenant, per_second| Workload {
        tenant,
        class: Criticality::Normal,
        per_second,
        service: Duration::from_millis(10),
        deadline: Duration::from_millis(500),
    };
    // 18 slots at 10 ms take 1,800 requests a second.
    let workloads = [work("quiet", 300.0), work("noisy", 3000.0)];
    let direct = trial(18, &workloads, Admission::Direct).await;
    let gated = trial(18, &workloads, Admission::Gate).await;
    assert!(gated[0].answered_share() > 0.999, "{:?}", gated[0]);
    assert!(gated[0].p99() * 4 < direct[0].p99(), "{:?}", gated[0].p99());
    let longest_wait = GateSettings::default().queue_timeout(workloads[1].deadline);
    assert!(gated[1].slowest_refusal <= longest_wait);
    // What the quiet tenant leaves is not wasted.
    assert!(gated[1].answered > 14_000, "{:?}", gated[1].answered);
}

#[tokio::test(start_paused = true)]
async fn pack_downloads_are_shed_before_lookups_and_lookups_before_exam_release() {
    let work = |tenant, class, per_second, service_millis| Workload {
        tenant,
        class,
        per_second,
        service: Duration::from_millis(service_millis),
        deadline: Duration::from_secs(2),
    };
    let workloads = [
        work("exam", Criticality::Critical, 400.0, 8),
        work("lookup", Criticality::Normal, 1500.0, 5),
        work("pack", Criticality::Deferrable, 200.0, 200),
    ];
    let direct = trial(24, &workloads, Admission::Direct).await;
    let gated = trial(24, &workloads, Admission::Gate).await;
    assert!(gated[0].answered_share() > 0.9999, "{:?}", gated[0].answered_share());
    assert!(gated[1].answered_share() > 0.999, "{:?}", gated[1].answered_share());
    assert!(gated[2].refused > 0);
    let longest_wait = GateSettings::default().queue_timeout(workloads[2].deadline);
    assert!(gated[2].slowest_refusal <= longest_wait);
    assert!(gated[0].p99() * 10 < direct[0].p99(), "{:?}", gated[0].p99());
    assert!(gated[1].p99() * 10 < direct[1].p99(), "{:?}", gated[1].p99());
    assert_eq!(gated[0].late + gated[1].late, 0);
}

fn request(class: Criticality, tenant: &str, millis: u64) -> GateRequest {
    let deadline = Instant::now() + Duration::from_millis(millis);
    GateRequest { class, tenant: TenantId::new(tenant), deadline }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_cannot_make_its_deadline_is_refused_at_once() {
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
async fn a_cancelled_wait_and_a_cancelled_grant_lose_no_place() {
    let gate = Arc::new(AdmissionGate::new(1, GateSettings::default()));
    let mut random = SeededRandom::new(SEED);
    let mut tasks = tokio::task::JoinSet::new();
    for index in 0..500 {
        let gate = Arc::clone(&gate);
        let patience = Duration::from_micros(random.below(4000) as u64);
        let start = Duration::from_micros(random.below(200_000) as u64);
        let class =
            [Criticality::Critical, Criticality::Normal, Criticality::Deferrable][index % 3];
        tasks.spawn(async move {
            tokio::time::sleep(start).await;
            let call = async {
                let Ok(_permit) = gate.acquire(&request(class, "t", 1000)).await else { return };
                tokio::time::sleep(Duration::from_millis(1)).await;
            };
            let _ = tokio::time::timeout(patience, call).await;
        });
    }
    while tasks.join_next().await.is_some() {}
    assert_eq!(gate.in_flight(), 0);
    let again = gate.acquire(&request(Criticality::Normal, "t", 1000)).await;
    assert!(again.is_ok());
}

#[test]
fn places_go_round_the_tenants_by_what_they_have_occupied() {
    let mut queue = FairQueue::default();
    let share = |tenant| QueueFlow { class: Criticality::Normal, tenant: TenantId::new(tenant) };
    for index in 0..40 {
        queue.push(&share("long"), index);
        queue.push(&share("short"), index);
    }
    let mut occupied = [0.0, 0.0];
    for _ in 0..30 {
        let (tenant, _) = queue.pop(Criticality::Normal).unwrap();
        let secs = if tenant.as_str() == "long" { 0.04 } else { 0.01 };
        occupied[usize::from(tenant.as_str() == "long")] += secs;
        queue.correct_charge(&share(if secs == 0.04 { "long" } else { "short" }), secs);
    }
    let ratio: f64 = occupied[1] / occupied[0];
    assert!((0.8..1.25).contains(&ratio), "short {} long {}", occupied[0], occupied[1]);
}

#[test]
fn a_full_queue_sheds_the_lowest_class_and_the_longest_line() {
    let mut queue = FairQueue::default();
    let share = |class, tenant| QueueFlow { class, tenant: TenantId::new(tenant) };
    queue.push(&share(Criticality::Deferrable, "packs"), "pack");
    for name in ["noisy-1", "noisy-2", "noisy-3"] {
        queue.push(&share(Criticality::Normal, "noisy"), name);
    }
    assert_eq!(queue.evict_for(&share(Criticality::Deferrable, "packs")), None);
    assert_eq!(queue.evict_for(&share(Criticality::Critical, "exam")), Some("pack"));
    assert_eq!(queue.evict_for(&share(Criticality::Normal, "noisy")), None);
    assert_eq!(queue.evict_for(&share(Criticality::Normal, "quiet")), Some("noisy-3"));
    assert_eq!(queue.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn the_limit_falls_on_congestion_and_rises_only_while_it_is_reached() {
    let mut limit = AdaptiveLimit::new(20);
    let clear = AttemptWindow { attempts: 20, congested: 0 };
    let one_liar = AttemptWindow { attempts: 20, congested: 2 };
    let congested = AttemptWindow { attempts: 20, congested: 10 };
    limit.end_window(clear, LimitUsage::Below);
    assert_eq!(limit.limit(), 20);
    limit.end_window(one_liar, LimitUsage::Reached);
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
