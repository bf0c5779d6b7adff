//! One run: a service, a scenario and a policy.
//!
//! Events are taken in order of time and the runtime's paused clock is advanced to each, so that
//! a picker that reads the clock sees the time of the event. Arrivals and service times depend on
//! the seed alone and are the same for every policy.

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
use crate::ops::experiment::entry::EntryFake;
use crate::ops::experiment::probing::ComparedPicker;
use crate::ops::experiment::scenario::ScenarioScript;
use crate::ops::experiment::settings::{ExperimentSettings, ScenarioKind, ServiceSettings};

/// Significant digits of recorded latencies.
const HISTOGRAM_DIGITS: u8 = 3;
/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Time that a failing target or a refused connection takes to answer.
const REFUSAL_TIME: Duration = Duration::from_micros(50);

/// What one run measured.
#[derive(Clone, Debug)]
pub(super) struct RunTally {
    pub(super) latency_us: Histogram<u64>,
    /// What the latencies would be without any queue and within one failure domain.
    pub(super) floor_us: Histogram<u64>,
    pub(super) answered: u64,
    pub(super) errors: u64,
    pub(super) probes: u64,
}

/// One run.
pub(super) struct PolicyRun<'a, P> {
    settings: &'a ExperimentSettings,
    script: ScenarioScript,
    entries: Vec<EntryFake<P>>,
    targets: Vec<TargetFake>,
    arrivals: ArrivalProcess,
    true_load: TrueLoad,
    requests: Vec<RequestFake>,
    probes: Vec<ProbeFake>,
    events: BinaryHeap<Reverse<TimedEvent>>,
    sequence: u64,
    now: Duration,
    tally: RunTally,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct TimedEvent {
    at: Duration,
    sequence: u64,
    event: RunEvent,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RunEvent {
    Arrive,
    ReachTarget { request: u32 },
    Finish { request: u32 },
    ReachEntry { request: u32, result: ReturnedResult },
    Replace { target: u32 },
    ReachTargetProbe { probe: u32 },
    ReachEntryProbe { probe: u32, result: ReturnedResult },
}

/// What comes back from a target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ReturnedResult {
    kind: ReturnedKind,
    inflight: Option<u32>,
    is_draining: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ReturnedKind {
    Answered,
    Failed,
    Shed,
    Refused,
}

/// A target with slots and a first-in-first-out queue.
#[derive(Debug, Default)]
struct TargetFake {
    busy: u32,
    queue: VecDeque<u32>,
}

#[derive(Debug)]
struct ProbeFake {
    entry: usize,
    key: UpstreamKey,
    target: usize,
    sent: Duration,
}

#[derive(Debug)]
struct RequestFake {
    entry: usize,
    work: Duration,
    started: Duration,
    attempt_started: Duration,
    target: usize,
    tried: Vec<UpstreamKey>,
    inflight: Option<InflightGuard>,
}

impl<'a, P: ComparedPicker> PolicyRun<'a, P> {
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
            entries.push(EntryFake::new(picker, settings, service)?);
        }
        let mut targets = Vec::new();
        targets.resize_with(service.targets, TargetFake::default);
        Ok(Self {
            settings,
            script: ScenarioScript::new(scenario, settings, service),
            entries,
            targets,
            arrivals: ArrivalProcess::new(settings, service),
            true_load,
            requests: Vec::new(),
            probes: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: Duration::ZERO,
            tally: RunTally {
                floor_us: histogram.clone(),
                latency_us: histogram,
                answered: 0,
                errors: 0,
                probes: 0,
            },
        })
    }

    /// Runs to the end of the arrivals and of everything that is in flight then.
    pub(super) async fn run(mut self, slots: u32) -> miette::Result<RunTally> {
        for replacement in self.script.replacements() {
            let event = RunEvent::Replace { target: replacement.target as u32 };
            self.schedule(replacement.at, event);
        }
        self.schedule(Duration::ZERO, RunEvent::Arrive);
        while let Some(Reverse(next)) = self.events.pop() {
            if next.at > self.now {
                tokio::time::advance(next.at - self.now).await;
                self.now = next.at;
            }
            match next.event {
                RunEvent::Arrive => self.arrive(),
                RunEvent::ReachTarget { request } => self.reach_target(request, slots),
                RunEvent::Finish { request } => self.finish(request),
                RunEvent::ReachEntry { request, result } => self.reach_entry(request, result),
                RunEvent::ReachTargetProbe { probe } => self.reach_target_probe(probe),
                RunEvent::ReachEntryProbe { probe, result } => {
                    self.reach_entry_probe(probe, result)
                }
                RunEvent::Replace { target } => self.replace(target as usize)?,
            }
        }
        Ok(self.tally)
    }

    fn schedule(&mut self, at: Duration, event: RunEvent) {
        self.sequence += 1;
        self.events.push(Reverse(TimedEvent { at, sequence: self.sequence, event }));
    }

    fn arrive(&mut self) {
        let arrival = self.arrivals.next(self.now);
        if arrival.next_at < self.settings.duration {
            self.schedule(arrival.next_at, RunEvent::Arrive);
        }
        let index = self.requests.len() as u32;
        self.requests.push(RequestFake {
            entry: arrival.entry,
            work: arrival.work,
            started: self.now,
            attempt_started: self.now,
            target: 0,
            tried: Vec::new(),
            inflight: None,
        });
        self.attempt(index);
        self.send_probes(arrival.entry);
    }

    fn send_probes(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let tokens = entry.refill(self.now, self.settings);
        let keys = entry.picker.probes(&entry.snapshot, tokens);
        entry.spend(keys.len());
        for key in keys {
            let target = self.entries[index].target_of(key);
            let probe = self.probes.len() as u32;
            self.probes.push(ProbeFake { entry: index, key, target, sent: self.now });
            if self.now >= self.settings.warm_up {
                self.tally.probes += 1;
            }
            let at = self.now + self.delay_between(index, target);
            self.schedule(at, RunEvent::ReachTargetProbe { probe });
        }
    }

    fn reach_target_probe(&mut self, index: u32) {
        let probe = &self.probes[index as usize];
        let (entry, target) = (probe.entry, probe.target);
        let condition = self.script.condition(target, self.now);
        let kind = if condition.is_gone { ReturnedKind::Refused } else { ReturnedKind::Answered };
        let inflight = if condition.is_lying { 0 } else { self.targets[target].inflight() };
        let result =
            ReturnedResult { kind, inflight: Some(inflight), is_draining: condition.is_draining };
        let at = self.now + REFUSAL_TIME + self.delay_between(entry, target);
        self.schedule(at, RunEvent::ReachEntryProbe { probe: index, result });
    }

    fn reach_entry_probe(&mut self, index: u32, result: ReturnedResult) {
        let probe = &self.probes[index as usize];
        let entry = &self.entries[probe.entry];
        if let Some(upstream) = entry.snapshot.upstreams.get(probe.key) {
            entry.picker.observe_probe(probe.key, upstream, result.report(self.now - probe.sent));
        }
    }

    fn attempt(&mut self, index: u32) {
        let request = &mut self.requests[index as usize];
        let entry = &self.entries[request.entry];
        let Some(route) = entry.snapshot.routes.first() else { return };
        let pick = PickRequest::new(&entry.snapshot, route, &request.tried);
        let Ok(key) = entry.picker.pick(pick) else { return self.end(index, false) };
        let Some(upstream) = entry.snapshot.upstreams.get(key) else {
            return self.end(index, false);
        };
        request.tried.push(key);
        request.target = entry.target_of(key);
        request.attempt_started = self.now;
        request.inflight = Some(upstream.start_request());
        self.true_load[request.target].fetch_add(1, Ordering::Relaxed);
        let delay = self.delay(index);
        self.schedule(self.now + delay, RunEvent::ReachTarget { request: index });
    }

    fn reach_target(&mut self, index: u32, slots: u32) {
        let target = self.requests[index as usize].target;
        let condition = self.script.condition(target, self.now);
        let inflight = self.targets[target].inflight();
        let refusal = if condition.is_gone {
            Some(ReturnedKind::Refused)
        } else if condition.is_failing {
            Some(ReturnedKind::Failed)
        } else if condition.shed_at.is_some_and(|limit| inflight >= limit) {
            Some(ReturnedKind::Shed)
        } else {
            None
        };
        if let Some(kind) = refusal {
            self.true_load[target].fetch_sub(1, Ordering::Relaxed);
            let reports = kind == ReturnedKind::Failed;
            let result = ReturnedResult {
                kind,
                inflight: reports.then_some(inflight),
                is_draining: condition.is_draining,
            };
            let at = self.now + REFUSAL_TIME + self.delay(index);
            return self.schedule(at, RunEvent::ReachEntry { request: index, result });
        }
        if self.targets[target].busy < slots {
            self.targets[target].busy += 1;
            self.begin(index);
        } else {
            self.targets[target].queue.push_back(index);
        }
    }

    fn begin(&mut self, index: u32) {
        let request = &self.requests[index as usize];
        let speed = self.script.condition(request.target, self.now).speed;
        let end = self.now + request.work.div_f64(speed);
        self.schedule(end, RunEvent::Finish { request: index });
    }

    fn finish(&mut self, index: u32) {
        let target = self.requests[index as usize].target;
        self.targets[target].busy -= 1;
        self.true_load[target].fetch_sub(1, Ordering::Relaxed);
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.targets[target].busy += 1;
            self.begin(next);
        }
        let condition = self.script.condition(target, self.now);
        let inflight = if condition.is_lying { 0 } else { self.targets[target].inflight() };
        let result = ReturnedResult {
            kind: ReturnedKind::Answered,
            inflight: Some(inflight),
            is_draining: condition.is_draining,
        };
        let at = self.now + self.delay(index);
        self.schedule(at, RunEvent::ReachEntry { request: index, result });
    }

    fn reach_entry(&mut self, index: u32, result: ReturnedResult) {
        let request = &mut self.requests[index as usize];
        let entry = &self.entries[request.entry];
        let key = request.tried.last().copied();
        if let Some(upstream) = key.and_then(|key| entry.snapshot.upstreams.get(key)) {
            entry
                .picker
                .record_attempt(upstream, result.report(self.now - request.attempt_started));
        }
        request.inflight = None;
        let is_answered = result.kind == ReturnedKind::Answered;
        if !is_answered && request.tried.len() < self.settings.max_attempts {
            return self.attempt(index);
        }
        self.end(index, is_answered);
    }

    fn end(&mut self, index: u32, is_answered: bool) {
        let request = &mut self.requests[index as usize];
        request.tried = Vec::new();
        if request.started < self.settings.warm_up {
            return;
        }
        if !is_answered {
            self.tally.errors += 1;
            return;
        }
        self.tally.answered += 1;
        let elapsed = self.now - request.started;
        self.tally.latency_us.saturating_record(elapsed.as_micros() as u64);
        let floor = request.work + 2 * self.settings.local_delay;
        self.tally.floor_us.saturating_record(floor.as_micros() as u64);
    }

    fn replace(&mut self, target: usize) -> miette::Result<()> {
        for entry in &mut self.entries {
            entry.replace(target)?;
        }
        Ok(())
    }

    fn delay(&self, index: u32) -> Duration {
        let request = &self.requests[index as usize];
        self.delay_between(request.entry, request.target)
    }

    fn delay_between(&self, entry: usize, target: usize) -> Duration {
        let domains = self.settings.failure_domains;
        let is_local = entry % domains == target % domains;
        if is_local { self.settings.local_delay } else { self.settings.remote_delay }
    }
}

impl TargetFake {
    fn inflight(&self) -> u32 {
        self.busy + self.queue.len() as u32
    }
}

impl ReturnedResult {
    fn report(self, latency: Duration) -> AttemptReport {
        let result = match self.kind {
            ReturnedKind::Answered => AttemptResult::Answered,
            ReturnedKind::Failed => AttemptResult::ServerError,
            ReturnedKind::Shed => AttemptResult::Shed,
            ReturnedKind::Refused => AttemptResult::ConnectFailed,
        };
        AttemptReport {
            latency,
            result,
            load: self.inflight.map(LoadReport::from_inflight),
            is_draining: self.is_draining,
        }
    }
}
