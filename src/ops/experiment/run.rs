//! Discrete-event simulation of one service, scenario and policy.
//!
//! Events are processed in order of time, and Tokio's paused clock is advanced to each, so that a
//! picker that reads the clock sees the time of the event. Arrivals and service times depend on the
//! seed alone and are the same for every policy.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::atomic::Ordering;
use std::time::Duration;

use hdrhistogram::Histogram;
use miette::IntoDiagnostic;

use crate::balance::{AttemptReport, AttemptResult, LoadReport, PickRequest};
use crate::core::{InflightGuard, UpstreamKey};
use crate::ops::experiment::arrivals::ArrivalProcess;
use crate::ops::experiment::baseline::TrueLoad;
use crate::ops::experiment::entry::SimulatedEntry;
use crate::ops::experiment::probing::ProbingPicker;
use crate::ops::experiment::scenario::FaultSchedule;
use crate::ops::experiment::settings::{ExperimentSettings, ScenarioKind, ServiceSettings};

/// Significant decimal digits of recorded latencies.
const HISTOGRAM_DIGITS: u8 = 3;
/// Longest latency that the histograms record, in microseconds; longer ones count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Time at the target of a probe, an immediate error, a shed request or a refused connection.
const FAST_RESPONSE_TIME: Duration = Duration::from_micros(50);

/// Outcomes and latencies of one simulation, without requests that arrived in the warm-up.
#[derive(Clone, Debug)]
pub(super) struct SimulationStats {
    pub(super) latency_us: Histogram<u64>,
    /// Lower bounds of the latencies: service time at full speed without queueing, and the network
    /// delay within one failure domain.
    pub(super) floor_us: Histogram<u64>,
    pub(super) answered: u64,
    pub(super) errors: u64,
    pub(super) probes: u64,
}

/// State of one simulation.
pub(super) struct PolicySimulation<'a, P> {
    settings: &'a ExperimentSettings,
    faults: FaultSchedule,
    entries: Vec<SimulatedEntry<P>>,
    targets: Vec<SimulatedTarget>,
    arrivals: ArrivalProcess,
    true_load: TrueLoad,
    requests: Vec<SimulatedRequest>,
    probes: Vec<SimulatedProbe>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    now: Duration,
    stats: SimulationStats,
}

/// An event in the queue; `sequence` keeps events of the same time in the order of scheduling.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ScheduledEvent {
    at: Duration,
    sequence: u64,
    event: SimulationEvent,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimulationEvent {
    Arrive,
    ReachTarget { request: u32 },
    Finish { request: u32 },
    ReachEntry { request: u32, result: TargetResponse },
    Replace { target: u32 },
    ReachTargetProbe { probe: u32 },
    ReachEntryProbe { probe: u32, result: TargetResponse },
}

/// A target's response to an attempt or a probe.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct TargetResponse {
    kind: TargetResponseKind,
    inflight: Option<u32>,
    is_draining: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum TargetResponseKind {
    Answered,
    Failed,
    Shed,
    Refused,
}

/// A target with a fixed number of slots and an unbounded FIFO queue.
#[derive(Debug, Default)]
struct SimulatedTarget {
    busy: u32,
    queue: VecDeque<u32>,
}

#[derive(Debug)]
struct SimulatedProbe {
    entry: usize,
    key: UpstreamKey,
    target: usize,
    sent: Duration,
}

#[derive(Debug)]
struct SimulatedRequest {
    entry: usize,
    service_time: Duration,
    started: Duration,
    attempt_started: Duration,
    target: usize,
    tried: Vec<UpstreamKey>,
    inflight: Option<InflightGuard>,
}

impl<'a, P: ProbingPicker> PolicySimulation<'a, P> {
    pub(super) fn new(
        settings: &'a ExperimentSettings,
        service: &ServiceSettings,
        scenario: ScenarioKind,
        pickers: Vec<P>,
        true_load: TrueLoad,
    ) -> miette::Result<Self> {
        let histogram =
            Histogram::new_with_max(MAX_LATENCY_US, HISTOGRAM_DIGITS).into_diagnostic()?;
        let mut entries = Vec::with_capacity(settings.entries);
        for picker in pickers {
            entries.push(SimulatedEntry::new(picker, settings, service)?);
        }
        let mut targets = Vec::new();
        targets.resize_with(service.targets, SimulatedTarget::default);
        Ok(Self {
            settings,
            faults: FaultSchedule::new(scenario, settings, service),
            entries,
            targets,
            arrivals: ArrivalProcess::new(settings, service),
            true_load,
            requests: Vec::new(),
            probes: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: Duration::ZERO,
            stats: SimulationStats {
                floor_us: histogram.clone(),
                latency_us: histogram,
                answered: 0,
                errors: 0,
                probes: 0,
            },
        })
    }

    /// Processes events until no more requests arrive and none is in flight.
    pub(super) async fn run(mut self, slots: u32) -> miette::Result<SimulationStats> {
        for replacement in self.faults.replacements() {
            let event = SimulationEvent::Replace { target: replacement.target as u32 };
            self.schedule(replacement.at, event);
        }
        self.schedule(Duration::ZERO, SimulationEvent::Arrive);
        while let Some(Reverse(next)) = self.events.pop() {
            if next.at > self.now {
                tokio::time::advance(next.at - self.now).await;
                self.now = next.at;
            }
            match next.event {
                SimulationEvent::Arrive => self.handle_arrival(),
                SimulationEvent::ReachTarget { request } => {
                    self.request_reaches_target(request, slots)
                }
                SimulationEvent::Finish { request } => self.finish_service(request),
                SimulationEvent::ReachEntry { request, result } => {
                    self.response_reaches_entry(request, result)
                }
                SimulationEvent::ReachTargetProbe { probe } => self.probe_reaches_target(probe),
                SimulationEvent::ReachEntryProbe { probe, result } => {
                    self.probe_reaches_entry(probe, result)
                }
                SimulationEvent::Replace { target } => self.replace_target(target as usize)?,
            }
        }
        Ok(self.stats)
    }

    fn schedule(&mut self, at: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.sequence, event }));
    }

    fn handle_arrival(&mut self) {
        let arrival = self.arrivals.next(self.now);
        if arrival.next_at < self.settings.duration {
            self.schedule(arrival.next_at, SimulationEvent::Arrive);
        }
        let index = self.requests.len() as u32;
        self.requests.push(SimulatedRequest {
            entry: arrival.entry,
            service_time: arrival.service_time,
            started: self.now,
            attempt_started: self.now,
            target: 0,
            tried: Vec::new(),
            inflight: None,
        });
        self.start_attempt(index);
        self.send_probes(arrival.entry);
    }

    fn send_probes(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let tokens = entry.refill_probe_tokens(self.now, self.settings);
        let keys = entry.picker.probes(&entry.snapshot, tokens);
        entry.spend_probe_tokens(keys.len());
        for key in keys {
            let target = self.entries[index].target_of(key);
            let probe = self.probes.len() as u32;
            self.probes.push(SimulatedProbe { entry: index, key, target, sent: self.now });
            if self.now >= self.settings.warm_up {
                self.stats.probes += 1;
            }
            let at = self.now + self.network_delay_between(index, target);
            self.schedule(at, SimulationEvent::ReachTargetProbe { probe });
        }
    }

    fn probe_reaches_target(&mut self, index: u32) {
        let probe = &self.probes[index as usize];
        let (entry, target) = (probe.entry, probe.target);
        let condition = self.faults.condition(target, self.now);
        let kind = if condition.is_down {
            TargetResponseKind::Refused
        } else {
            TargetResponseKind::Answered
        };
        let inflight =
            if condition.is_underreporting { 0 } else { self.targets[target].inflight() };
        let result =
            TargetResponse { kind, inflight: Some(inflight), is_draining: condition.is_draining };
        let at = self.now + FAST_RESPONSE_TIME + self.network_delay_between(entry, target);
        self.schedule(at, SimulationEvent::ReachEntryProbe { probe: index, result });
    }

    fn probe_reaches_entry(&mut self, index: u32, result: TargetResponse) {
        let probe = &self.probes[index as usize];
        let entry = &self.entries[probe.entry];
        if let Some(upstream) = entry.snapshot.upstreams.get(probe.key) {
            entry.picker.record_probe(
                probe.key,
                upstream,
                result.to_attempt_report(self.now - probe.sent),
            );
        }
    }

    fn start_attempt(&mut self, index: u32) {
        let request = &mut self.requests[index as usize];
        let entry = &self.entries[request.entry];
        let Some(route) = entry.snapshot.routes.first() else { return };
        let pick = PickRequest::new(&entry.snapshot, route, &request.tried);
        let Ok(key) = entry.picker.pick(pick) else { return self.finish_request(index, false) };
        let Some(upstream) = entry.snapshot.upstreams.get(key) else {
            return self.finish_request(index, false);
        };
        request.tried.push(key);
        request.target = entry.target_of(key);
        request.attempt_started = self.now;
        request.inflight = Some(upstream.start_request());
        self.true_load[request.target].fetch_add(1, Ordering::Relaxed);
        let delay = self.network_delay(index);
        self.schedule(self.now + delay, SimulationEvent::ReachTarget { request: index });
    }

    fn request_reaches_target(&mut self, index: u32, slots: u32) {
        let target = self.requests[index as usize].target;
        let condition = self.faults.condition(target, self.now);
        let inflight = self.targets[target].inflight();
        let immediate_response = if condition.is_down {
            Some(TargetResponseKind::Refused)
        } else if condition.is_failing {
            Some(TargetResponseKind::Failed)
        } else if condition.shed_at.is_some_and(|limit| inflight >= limit) {
            Some(TargetResponseKind::Shed)
        } else {
            None
        };
        if let Some(kind) = immediate_response {
            self.true_load[target].fetch_sub(1, Ordering::Relaxed);
            let has_load_report = kind == TargetResponseKind::Failed;
            let result = TargetResponse {
                kind,
                inflight: has_load_report.then_some(inflight),
                is_draining: condition.is_draining,
            };
            let at = self.now + FAST_RESPONSE_TIME + self.network_delay(index);
            return self.schedule(at, SimulationEvent::ReachEntry { request: index, result });
        }
        if self.targets[target].busy < slots {
            self.targets[target].busy += 1;
            self.start_service(index);
        } else {
            self.targets[target].queue.push_back(index);
        }
    }

    fn start_service(&mut self, index: u32) {
        let request = &self.requests[index as usize];
        let speed = self.faults.condition(request.target, self.now).speed;
        let end = self.now + request.service_time.div_f64(speed);
        self.schedule(end, SimulationEvent::Finish { request: index });
    }

    fn finish_service(&mut self, index: u32) {
        let target = self.requests[index as usize].target;
        self.targets[target].busy -= 1;
        self.true_load[target].fetch_sub(1, Ordering::Relaxed);
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.targets[target].busy += 1;
            self.start_service(next);
        }
        let condition = self.faults.condition(target, self.now);
        let inflight =
            if condition.is_underreporting { 0 } else { self.targets[target].inflight() };
        let result = TargetResponse {
            kind: TargetResponseKind::Answered,
            inflight: Some(inflight),
            is_draining: condition.is_draining,
        };
        let at = self.now + self.network_delay(index);
        self.schedule(at, SimulationEvent::ReachEntry { request: index, result });
    }

    fn response_reaches_entry(&mut self, index: u32, result: TargetResponse) {
        let request = &mut self.requests[index as usize];
        let entry = &self.entries[request.entry];
        let key = request.tried.last().copied();
        if let Some(upstream) = key.and_then(|key| entry.snapshot.upstreams.get(key)) {
            entry.picker.record_attempt(
                upstream,
                result.to_attempt_report(self.now - request.attempt_started),
            );
        }
        request.inflight = None;
        let is_answered = result.kind == TargetResponseKind::Answered;
        if !is_answered && request.tried.len() < self.settings.max_attempts {
            return self.start_attempt(index);
        }
        self.finish_request(index, is_answered);
    }

    fn finish_request(&mut self, index: u32, is_answered: bool) {
        let request = &mut self.requests[index as usize];
        request.tried = Vec::new();
        if request.started < self.settings.warm_up {
            return;
        }
        if !is_answered {
            self.stats.errors += 1;
            return;
        }
        self.stats.answered += 1;
        let elapsed = self.now - request.started;
        self.stats.latency_us.saturating_record(elapsed.as_micros() as u64);
        let floor = request.service_time + 2 * self.settings.local_delay;
        self.stats.floor_us.saturating_record(floor.as_micros() as u64);
    }

    fn replace_target(&mut self, target: usize) -> miette::Result<()> {
        for entry in &mut self.entries {
            entry.replace(target)?;
        }
        Ok(())
    }

    fn network_delay(&self, index: u32) -> Duration {
        let request = &self.requests[index as usize];
        self.network_delay_between(request.entry, request.target)
    }

    fn network_delay_between(&self, entry: usize, target: usize) -> Duration {
        let domains = self.settings.failure_domains;
        let is_local = entry % domains == target % domains;
        if is_local { self.settings.local_delay } else { self.settings.remote_delay }
    }
}

impl SimulatedTarget {
    fn inflight(&self) -> u32 {
        self.busy + self.queue.len() as u32
    }
}

impl TargetResponse {
    fn to_attempt_report(self, latency: Duration) -> AttemptReport {
        let result = match self.kind {
            TargetResponseKind::Answered => AttemptResult::Answered,
            TargetResponseKind::Failed => AttemptResult::ServerError,
            TargetResponseKind::Shed => AttemptResult::Shed,
            TargetResponseKind::Refused => AttemptResult::ConnectFailed,
        };
        AttemptReport {
            latency,
            result,
            load: self.inflight.map(LoadReport::from_inflight),
            is_draining: self.is_draining,
        }
    }
}
