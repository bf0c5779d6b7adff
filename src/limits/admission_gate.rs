//! Admits requests to a group of upstreams.
//!
//! ```text
//! acquire -> below the limit ------------------------> permit -> ... -> dropped
//!         -> short queue: class, then fair share -> permit           |
//!         -> cannot meet its deadline, or queue full -> refused      +-> next waiter
//! ```
//!
//! While the limit is not reached, admission costs one atomic operation. A request is refused at
//! once if it cannot meet its deadline or the queue is full, and refused requests have not run.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::core::{Criticality, TenantId};
use crate::limits::adaptive_limit::{AdaptiveLimit, AttemptWindow, CongestionSignal, LimitUsage};
use crate::limits::fair_queue::{CLASSES, FairQueue, QueueFlow, class_index};

/// Weight of the latest sample in the mean time that permits are held.
const MEAN_WEIGHT: f64 = 0.05;
/// Share of the limit up to which each class is admitted, in the order of [`CLASSES`].
///
/// Requests in flight cannot be preempted, so deferrable ones leave headroom for the rest and
/// critical ones may exceed the limit.
const CLASS_LIMIT_SHARES: [f64; 3] = [1.25, 1.0, 0.7];

/// Bounds of the queue.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// Requests that may wait, as a multiple of the limit.
    pub queue_per_permit: u32,
    /// Shortest queue timeout.
    pub min_queue_timeout: Duration,
    /// Queue timeout as a share of the time left to the request's deadline.
    pub queue_timeout_share: f64,
}

impl GateSettings {
    /// Longest wait of a request with `left` until its deadline.
    pub fn queue_timeout(&self, left: Duration) -> Duration {
        left.mul_f64(self.queue_timeout_share).max(self.min_queue_timeout)
    }
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            queue_per_permit: 4,
            min_queue_timeout: Duration::from_millis(250),
            queue_timeout_share: 0.25,
        }
    }
}

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct GateRequest {
    /// Decides the order of admission, higher classes first.
    pub class: Criticality,
    /// Tenant whose fair share of its class the request counts against.
    pub tenant: TenantId,
    /// Time by which the response must be complete.
    pub deadline: Instant,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum GateRefusal {
    /// The requests ahead leave too little time before its deadline.
    #[error("cannot be answered before its deadline")]
    DeadlineUnreachable,
    /// The queue was full and this request was the one to shed, on arrival or while it waited.
    #[error("admission queue is full")]
    QueueFull,
    /// No permit was granted within the queue timeout.
    #[error("no permit granted within the queue timeout")]
    QueueTimeout,
}

type Waiter = oneshot::Sender<GatePermit>;

/// Admission control for a group of upstreams: an adaptive concurrency limit with a fair queue.
#[derive(Debug)]
pub struct AdmissionGate {
    settings: GateSettings,
    limit: AtomicU32,
    in_flight: AtomicU32,
    /// Requests in the queue, by class; readable without its lock.
    waiting: [AtomicU32; 3],
    /// Mean time that a permit is held, in nanoseconds.
    mean_held_nanos: AtomicU64,
    /// Most requests in flight in the current window.
    peak_in_flight: AtomicU32,
    attempts: AtomicU32,
    congested: AtomicU32,
    adaptive: Mutex<AdaptiveLimit>,
    queue: Mutex<FairQueue<Waiter>>,
}

/// Permission to have one request in flight; returned when dropped.
#[derive(Debug)]
pub struct GatePermit {
    gate: Arc<AdmissionGate>,
    /// Flow to charge. Only requests that have waited are charged.
    flow: Option<QueueFlow>,
    started: Instant,
    /// Whether dropping the permit releases it.
    is_granted: bool,
}

impl AdmissionGate {
    /// Creates the gate of upstreams that have `slots` slots together.
    pub fn new(slots: u32, settings: GateSettings) -> Self {
        let adaptive = AdaptiveLimit::new(slots);
        Self {
            settings,
            limit: AtomicU32::new(adaptive.limit()),
            in_flight: AtomicU32::new(0),
            waiting: [const { AtomicU32::new(0) }; 3],
            mean_held_nanos: AtomicU64::new(0),
            peak_in_flight: AtomicU32::new(0),
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

    /// Scales the limit to a changed number of slots and admits waiting requests below it.
    pub fn set_slots(self: &Arc<Self>, slots: u32) {
        let mut adaptive = lock(&self.adaptive);
        adaptive.set_slots(slots);
        self.limit.store(adaptive.limit(), Ordering::Relaxed);
        drop(adaptive);
        self.dispatch_waiting();
    }

    /// Records whether an attempt found its upstream congested.
    pub fn record(self: &Arc<Self>, signal: CongestionSignal) {
        if signal == CongestionSignal::Congested {
            self.congested.fetch_add(1, Ordering::Relaxed);
        }
        let attempts = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let congested = self.congested.load(Ordering::Relaxed);
        let window = AttemptWindow { attempts, congested };
        if window.is_full() && self.end_window(window) {
            self.dispatch_waiting();
        }
    }

    /// Adjusts the limit if the window is due; false if it is not or another thread is doing so.
    fn end_window(&self, window: AttemptWindow) -> bool {
        let Ok(mut adaptive) = self.adaptive.try_lock() else { return false };
        if !adaptive.is_due() {
            return false;
        }
        self.attempts.store(0, Ordering::Relaxed);
        self.congested.store(0, Ordering::Relaxed);
        let peak_in_flight = self.peak_in_flight.swap(self.in_flight(), Ordering::Relaxed);
        let usage =
            if peak_in_flight >= self.limit() { LimitUsage::Reached } else { LimitUsage::Below };
        adaptive.end_window(window, usage);
        self.limit.store(adaptive.limit(), Ordering::Relaxed);
        true
    }

    /// Waits for a permit.
    ///
    /// # Errors
    ///
    /// Returns why the request was refused; it did not run.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &GateRequest,
    ) -> Result<GatePermit, GateRefusal> {
        if self.is_first_in_line(request.class) && self.try_acquire(request.class) {
            return Ok(self.permit(None));
        }
        let granted = self.enqueue(request)?;
        let now = Instant::now();
        let service = Duration::from_nanos(self.mean_held_nanos.load(Ordering::Relaxed));
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
        let flow = QueueFlow { class: request.class, tenant: request.tenant.clone() };
        let mut queue = lock(&self.queue);
        let capacity = (self.limit() * self.settings.queue_per_permit) as usize;
        if queue.len() >= capacity {
            queue.purge(oneshot::Sender::is_closed);
        }
        if !self.can_meet_deadline(&queue, request) {
            self.count_waiting(&queue);
            return Err(GateRefusal::DeadlineUnreachable);
        }
        if queue.len() >= capacity && queue.evict_for(&flow).is_none() {
            self.count_waiting(&queue);
            return Err(GateRefusal::QueueFull);
        }
        let (grant, granted) = oneshot::channel();
        queue.push(&flow, grant);
        self.count_waiting(&queue);
        // A permit may have been returned since the first try to acquire one.
        self.dispatch(&mut queue);
        Ok(granted)
    }

    /// Whether the requests ahead leave enough time before the deadline. All waiting requests of
    /// the same class count as ahead, since the tenant's share of the class is not known in
    /// advance.
    fn can_meet_deadline(&self, queue: &FairQueue<Waiter>, request: &GateRequest) -> bool {
        let index = class_index(request.class);
        let ahead: usize = CLASSES[..=index].iter().map(|class| queue.class_len(*class)).sum();
        let service = Duration::from_nanos(self.mean_held_nanos.load(Ordering::Relaxed));
        let rounds = ahead as f64 / f64::from(self.limit().max(1)) + 1.0;
        Instant::now() + service.mul_f64(rounds) <= request.deadline
    }

    /// Whether no request of the same or a higher class is waiting.
    fn is_first_in_line(&self, class: Criticality) -> bool {
        let ahead = &self.waiting[..=class_index(class)];
        ahead.iter().all(|count| count.load(Ordering::SeqCst) == 0)
    }

    fn try_acquire(&self, class: Criticality) -> bool {
        let share = CLASS_LIMIT_SHARES[class_index(class)];
        let class_limit = ((f64::from(self.limit()) * share) as u32).max(1);
        let update = |count: u32| (count < class_limit).then_some(count + 1);
        match self.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, update) {
            Ok(before) => {
                self.peak_in_flight.fetch_max(before + 1, Ordering::Relaxed);
                true
            }
            Err(_) => false,
        }
    }

    fn permit(self: &Arc<Self>, flow: Option<QueueFlow>) -> GatePermit {
        let gate = Arc::clone(self);
        GatePermit { gate, flow, started: Instant::now(), is_granted: true }
    }

    fn dispatch_waiting(self: &Arc<Self>) {
        if self.waiting() > 0 {
            self.dispatch(&mut lock(&self.queue));
        }
    }

    /// Grants permits to waiting requests up to the limits of their classes.
    fn dispatch(self: &Arc<Self>, queue: &mut FairQueue<Waiter>) {
        for class in CLASSES {
            while queue.class_len(class) > 0 && self.try_acquire(class) {
                let Some((tenant, waiter)) = queue.pop(class) else { break };
                let permit = self.permit(Some(QueueFlow { class, tenant }));
                if let Err(mut returned) = waiter.send(permit) {
                    // The waiter is gone. Dropping the permit normally would lock the queue, which
                    // is locked already.
                    returned.is_granted = false;
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

    fn release(self: &Arc<Self>, flow: Option<&QueueFlow>, held: Duration) {
        let mean = self.mean_held_nanos.load(Ordering::Relaxed) as f64;
        let latest = held.as_nanos() as f64;
        let mean = if mean == 0.0 { latest } else { mean + (latest - mean) * MEAN_WEIGHT };
        self.mean_held_nanos.store(mean as u64, Ordering::Relaxed);
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        if flow.is_none() && self.waiting() == 0 {
            return;
        }
        let mut queue = lock(&self.queue);
        if let Some(flow) = flow {
            queue.correct_charge(flow, held.as_secs_f64());
        }
        self.dispatch(&mut queue);
    }
}

impl Drop for GatePermit {
    fn drop(&mut self) {
        if self.is_granted {
            self.gate.release(self.flow.as_ref(), self.started.elapsed());
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
