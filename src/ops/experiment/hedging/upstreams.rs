//! Simulated upstreams of a hedging trial: slots with a queue, on machines that become slow at random.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::balance::LoadReport;
use crate::core::{UPSTREAM_NOT_RUN_HEADER, UpstreamState};
use crate::ops::experiment::hedging::HedgeTrialSettings;
use crate::request::{AttemptOutcome, AttemptRequest, UpstreamClient, UpstreamResponse};
use crate::util::SeededRandom;

/// Header of the load report.
pub(super) const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");
/// Path of load checks.
pub(super) const HEALTH_PATH: &str = "/health";
/// Header of a simulated request: its service time on a machine at full speed, in microseconds.
pub(super) const WORK_HEADER: HeaderName = HeaderName::from_static("x-work-us");
/// One-way network delay between an entry and an upstream.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// One upstream.
#[derive(Debug)]
struct SimulatedUpstream {
    slots: Semaphore,
    running: AtomicU32,
    waiting: AtomicU32,
    /// Whether the machine is slow, by period.
    slow_periods: Vec<bool>,
}

/// Client of the simulated upstreams; clones share them. The port of an address selects the upstream.
#[derive(Clone, Debug)]
pub(super) struct SimulatedClient {
    shared: Arc<SharedUpstreams>,
}

#[derive(Debug)]
struct SharedUpstreams {
    settings: HedgeTrialSettings,
    began: Instant,
    upstreams: Vec<SimulatedUpstream>,
    attempts: AtomicU64,
    /// Time for which slots were in use, in microseconds.
    busy_micros: AtomicU64,
    /// Attempts that were refused because the queue was full.
    sheds: AtomicU64,
}

/// An attempt that waits for a slot or uses one; ends when it is dropped, also by cancellation.
struct CountGuard<'a> {
    count: &'a AtomicU32,
    busy_micros: Option<&'a AtomicU64>,
    began: Instant,
}

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicU32, busy_micros: Option<&'a AtomicU64>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self { count, busy_micros, began: Instant::now() }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
        if let Some(busy_micros) = self.busy_micros {
            let busy = self.began.elapsed().as_micros() as u64;
            busy_micros.fetch_add(busy, Ordering::Relaxed);
        }
    }
}

impl SimulatedClient {
    pub(super) fn new(settings: &HedgeTrialSettings) -> Self {
        // Differs from the seed of the arrivals.
        let mut random = SeededRandom::new(settings.seed ^ u64::MAX);
        let periods = settings.duration.div_duration_f64(settings.slow_period) as usize + 2;
        let mut upstreams = Vec::with_capacity(settings.upstreams);
        for _ in 0..settings.upstreams {
            let slow_periods = (0..periods).map(|_| random.unit() < settings.slow_share).collect();
            upstreams.push(SimulatedUpstream {
                slots: Semaphore::new(settings.slots as usize),
                running: AtomicU32::new(0),
                waiting: AtomicU32::new(0),
                slow_periods,
            });
        }
        let shared = SharedUpstreams {
            settings: settings.clone(),
            began: Instant::now(),
            upstreams,
            attempts: AtomicU64::new(0),
            busy_micros: AtomicU64::new(0),
            sheds: AtomicU64::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Current load report of an upstream.
    pub(super) fn load_report(&self, index: usize) -> LoadReport {
        let upstream = &self.shared.upstreams[index];
        let waiting = upstream.waiting.load(Ordering::Relaxed);
        LoadReport {
            inflight: upstream.running.load(Ordering::Relaxed) + waiting,
            work_percent: Some((100.0 * self.slowdown(index)) as u32),
        }
    }

    /// Attempts so far, without load checks.
    pub(super) fn attempts(&self) -> u64 {
        self.shared.attempts.load(Ordering::Relaxed)
    }

    /// Time for which slots were in use so far, summed over the slots.
    pub(super) fn busy_time(&self) -> Duration {
        Duration::from_micros(self.shared.busy_micros.load(Ordering::Relaxed))
    }

    /// Attempts that found the queue full so far.
    pub(super) fn sheds(&self) -> u64 {
        self.shared.sheds.load(Ordering::Relaxed)
    }

    /// Service time of a request that begins now, as a multiple of the usual one.
    fn slowdown(&self, index: usize) -> f64 {
        let settings = &self.shared.settings;
        // Machines change their speed at different times.
        let offset = settings.slow_period.mul_f64(index as f64 / settings.upstreams as f64);
        let elapsed = self.shared.began.elapsed() + offset;
        let period = elapsed.div_duration_f64(settings.slow_period) as usize;
        let slow_periods = &self.shared.upstreams[index].slow_periods;
        if slow_periods[period % slow_periods.len()] { settings.slow_factor } else { 1.0 }
    }

    fn respond(&self, index: usize, status: StatusCode) -> AttemptOutcome<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        let LoadReport { inflight, work_percent } = self.load_report(index);
        let (slots, percent) = (self.shared.settings.slots, work_percent.unwrap_or(100));
        let running = inflight.min(slots);
        let load = format!("{running},{},{slots},{percent}", inflight - running);
        if let Ok(load) = HeaderValue::try_from(load) {
            response.headers_mut().insert(LOAD_HEADER, load);
        }
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let not_run = HeaderName::from_static(UPSTREAM_NOT_RUN_HEADER);
            response.headers_mut().insert(not_run, HeaderValue::from_static("1"));
        }
        AttemptOutcome::Answered(UpstreamResponse { response })
    }

    async fn serve(&self, index: usize, work: Duration) -> StatusCode {
        let (shared, upstream) = (&self.shared, &self.shared.upstreams[index]);
        shared.attempts.fetch_add(1, Ordering::Relaxed);
        if upstream.waiting.load(Ordering::Relaxed) >= shared.settings.queue {
            shared.sheds.fetch_add(1, Ordering::Relaxed);
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        let waiting = CountGuard::new(&upstream.waiting, None);
        let Ok(_slot) = upstream.slots.acquire().await else {
            return StatusCode::SERVICE_UNAVAILABLE;
        };
        drop(waiting);
        let _running = CountGuard::new(&upstream.running, Some(&shared.busy_micros));
        tokio::time::sleep(work.mul_f64(self.slowdown(index))).await;
        StatusCode::OK
    }
}

impl UpstreamClient for SimulatedClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        let index = usize::from(upstream.spec.address.port()) - 1;
        tokio::time::sleep(NETWORK_DELAY).await;
        let mut status = StatusCode::OK;
        if request.uri.path() != HEALTH_PATH {
            let work = request.headers.get(&WORK_HEADER).and_then(|work| work.to_str().ok());
            let work_us = work.and_then(|work| work.parse().ok()).unwrap_or_default();
            status = self.serve(index, Duration::from_micros(work_us)).await;
        }
        let outcome = self.respond(index, status);
        tokio::time::sleep(NETWORK_DELAY).await;
        outcome
    }
}
