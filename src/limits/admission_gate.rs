//! Admits requests to a group of upstreams.
//!
//! ```text
//! acquire -> a place is free ------------------------> permit -> ... -> dropped
//!         -> short queue: class, then fair share -> permit           |
//!         -> cannot make its deadline, or queue full -> refused      +-> next one
//! ```
//!
//! While places are free, a request costs one atomic operation. A refusal comes at once and
//! means that the request did not run.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::core::{Criticality, TenantId};
use crate::limits::adaptive_limit::{AdaptiveLimit, AttemptWindow, CongestionSignal, LimitUsage};
use crate::limits::fair_queue::{CLASSES, FairQueue, QueueFlow, class_index};

/// Weight of the latest occupancy in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Share of the limit up to which each class is admitted, in the order of [`CLASSES`].
///
/// Deferrable work leaves room for the rest, and critical work may go beyond the limit: a place
/// that is occupied cannot be taken back.
const CLASS_SHARES: [f64; 3] = [1.25, 1.0, 0.7];

/// Bounds of the queue.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// Requests that may wait for each one that may be in flight.
    pub queue_per_permit: u32,
    /// Time that any request may wait.
    pub min_queue_timeout: Duration,
    /// Share of the time to its deadline that a request may wait, if that is longer.
    pub max_queue_share: f64,
}

impl GateSettings {
    /// Longest wait of a request that has `left` to its deadline.
    pub fn queue_timeout(&self, left: Duration) -> Duration {
        left.mul_f64(self.max_queue_share).max(self.min_queue_timeout)
    }
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            queue_per_permit: 4,
            min_queue_timeout: Duration::from_millis(250),
            max_queue_share: 0.25,
        }
    }
}

/// A request that asks for a place.
#[derive(Clone, Debug)]
pub struct GateRequest {
    /// Class.
    pub class: Criticality,
    /// Tenant.
    pub tenant: TenantId,
    /// Time by which its answer must be whole.
    pub deadline: Instant,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum GateRefusal {
    /// It could not be answered before its deadline.
    #[error("cannot be answered before its deadline")]
    DeadlineUnreachable,
    /// More requests wait than are allowed to.
    #[error("too many requests wait")]
    QueueFull,
    /// It waited for the longest time allowed.
    #[error("no place became free")]
    QueueTimeout,
}

type Waiter = oneshot::Sender<GatePermit>;

/// Decides how many requests are in flight to a group of upstreams, and which ones wait.
#[derive(Debug)]
pub struct AdmissionGate {
    settings: GateSettings,
    limit: AtomicU32,
    in_flight: AtomicU32,
    waiting: [AtomicU32; 3],
    /// Mean time that a request occupies its place, in nanoseconds.
    mean_nanos: AtomicU64,
    peak: AtomicU32,
    attempts: AtomicU32,
    congested: AtomicU32,
    adaptive: Mutex<AdaptiveLimit>,
    queue: Mutex<FairQueue<Waiter>>,
}

/// A place; given back when dropped.
#[derive(Debug)]
pub struct GatePermit {
    gate: Arc<AdmissionGate>,
    /// Set if the request has waited; others are not charged to their tenant.
    share: Option<QueueFlow>,
    started: Instant,
    is_granted: bool,
}

impl AdmissionGate {
    /// Creates the gate to upstreams with `slots` slots in all.
    pub fn new(slots: u32, settings: GateSettings) -> Self {
        let adaptive = AdaptiveLimit::new(slots);
        Self {
            settings,
            limit: AtomicU32::new(adaptive.limit()),
            in_flight: AtomicU32::new(0),
            waiting: [const { AtomicU32::new(0) }; 3],
            mean_nanos: AtomicU64::new(0),
            peak: AtomicU32::new(0),
            attempts: AtomicU32::new(0),
            congested: AtomicU32::new(0),
            adaptive: Mutex::new(adaptive),
            queue: Mutex::default(),
        }
    }

    /// Requests that may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Requests that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> u32 {
        self.waiting.iter().map(|count| count.load(Ordering::SeqCst)).sum()
    }

    /// Follows a change of the upstreams.
    pub fn set_slots(self: &Arc<Self>, slots: u32) {
        let mut adaptive = lock(&self.adaptive);
        adaptive.set_slots(slots);
        self.limit.store(adaptive.limit(), Ordering::Relaxed);
        drop(adaptive);
        self.dispatch_waiting();
    }

    /// Learns from an attempt.
    pub fn record(self: &Arc<Self>, signal: CongestionSignal) {
        if signal == CongestionSignal::Congested {
            self.congested.fetch_add(1, Ordering::Relaxed);
        }
        let attempts = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let congested = self.congested.load(Ordering::Relaxed);
        let window = AttemptWindow { attempts, congested };
        if window.is_full() && self.turn(window) {
            self.dispatch_waiting();
        }
    }

    /// Moves the limit if it is time; false if it is not, or another thread does so.
    fn turn(&self, window: AttemptWindow) -> bool {
        let Ok(mut adaptive) = self.adaptive.try_lock() else { return false };
        if !adaptive.is_due() {
            return false;
        }
        self.attempts.store(0, Ordering::Relaxed);
        self.congested.store(0, Ordering::Relaxed);
        let peak = self.peak.swap(self.in_flight(), Ordering::Relaxed);
        let usage = if peak >= self.limit() { LimitUsage::Reached } else { LimitUsage::Below };
        adaptive.end_window(window, usage);
        self.limit.store(adaptive.limit(), Ordering::Relaxed);
        true
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// Returns the reason of a refusal; the request did not run.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &GateRequest,
    ) -> Result<GatePermit, GateRefusal> {
        if self.is_first_in_line(request.class) && self.try_enter(request.class) {
            return Ok(self.permit(None));
        }
        let granted = self.enqueue(request)?;
        let now = Instant::now();
        let service = Duration::from_nanos(self.mean_nanos.load(Ordering::Relaxed));
        let last_start = request.deadline.checked_sub(service).unwrap_or(now);
        let left = request.deadline.saturating_duration_since(now);
        let until = last_start.min(now + self.settings.queue_timeout(left));
        match tokio::time::timeout_at(until, granted).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(GateRefusal::QueueFull),
            Err(_) => Err(GateRefusal::QueueTimeout),
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        request: &GateRequest,
    ) -> Result<oneshot::Receiver<GatePermit>, GateRefusal> {
        let share = QueueFlow { class: request.class, tenant: request.tenant.clone() };
        let mut queue = lock(&self.queue);
        let capacity = (self.limit() * self.settings.queue_per_permit) as usize;
        if queue.len() >= capacity {
            queue.purge(oneshot::Sender::is_closed);
        }
        if !self.can_make_it(&queue, request) {
            self.count_waiting(&queue);
            return Err(GateRefusal::DeadlineUnreachable);
        }
        if queue.len() >= capacity && queue.evict_for(&share).is_none() {
            self.count_waiting(&queue);
            return Err(GateRefusal::QueueFull);
        }
        let (grant, granted) = oneshot::channel();
        queue.push(&share, grant);
        self.count_waiting(&queue);
        // A place may have become free since the attempt to take one.
        self.dispatch(&mut queue);
        Ok(granted)
    }

    /// Whether the requests ahead leave enough time; those of its own class are counted whole,
    /// since its tenant's share of them is not known in advance.
    fn can_make_it(&self, queue: &FairQueue<Waiter>, request: &GateRequest) -> bool {
        let index = class_index(request.class);
        let ahead: usize = CLASSES[..=index].iter().map(|class| queue.class_len(*class)).sum();
        let service = Duration::from_nanos(self.mean_nanos.load(Ordering::Relaxed));
        let rounds = ahead as f64 / f64::from(self.limit().max(1)) + 1.0;
        Instant::now() + service.mul_f64(rounds) <= request.deadline
    }

    /// Whether nobody of the same or a higher class waits.
    fn is_first_in_line(&self, class: Criticality) -> bool {
        let ahead = &self.waiting[..=class_index(class)];
        ahead.iter().all(|count| count.load(Ordering::SeqCst) == 0)
    }

    fn try_enter(&self, class: Criticality) -> bool {
        let share = CLASS_SHARES[class_index(class)];
        let places = ((f64::from(self.limit()) * share) as u32).max(1);
        let update = |count: u32| (count < places).then_some(count + 1);
        match self.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, update) {
            Ok(before) => {
                self.peak.fetch_max(before + 1, Ordering::Relaxed);
                true
            }
            Err(_) => false,
        }
    }

    fn permit(self: &Arc<Self>, share: Option<QueueFlow>) -> GatePermit {
        let gate = Arc::clone(self);
        GatePermit { gate, share, started: Instant::now(), is_granted: true }
    }

    fn dispatch_waiting(self: &Arc<Self>) {
        if self.waiting() > 0 {
            self.dispatch(&mut lock(&self.queue));
        }
    }

    /// Hands out places for as long as there are both places and requests that wait.
    fn dispatch(self: &Arc<Self>, queue: &mut FairQueue<Waiter>) {
        for class in CLASSES {
            while queue.class_len(class) > 0 && self.try_enter(class) {
                let Some((tenant, waiter)) = queue.pop(class) else { break };
                let permit = self.permit(Some(QueueFlow { class, tenant }));
                if let Err(mut unwanted) = waiter.send(permit) {
                    // Dropping it as it is would lock the queue again.
                    unwanted.is_granted = false;
                    self.in_flight.fetch_sub(1, Ordering::SeqCst);
                }
            }
        }
        self.count_waiting(queue);
    }

    fn count_waiting(&self, queue: &FairQueue<Waiter>) {
        for class in CLASSES {
            let count = queue.class_len(class) as u32;
            self.waiting[class_index(class)].store(count, Ordering::SeqCst);
        }
    }

    fn give_back(self: &Arc<Self>, share: Option<&QueueFlow>, occupied: Duration) {
        let mean = self.mean_nanos.load(Ordering::Relaxed) as f64;
        let latest = occupied.as_nanos() as f64;
        let mean = if mean == 0.0 { latest } else { mean + (latest - mean) * MEAN_WEIGHT };
        self.mean_nanos.store(mean as u64, Ordering::Relaxed);
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        if share.is_none() && self.waiting() == 0 {
            return;
        }
        let mut queue = lock(&self.queue);
        if let Some(share) = share {
            queue.correct_charge(share, occupied.as_secs_f64());
        }
        self.dispatch(&mut queue);
    }
}

impl Drop for GatePermit {
    fn drop(&mut self) {
        if self.is_granted {
            self.gate.give_back(self.share.as_ref(), self.started.elapsed());
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
