//! Runs whose upstreams fall silent: when that counts as a crash, on the paused clock.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::TwoChoicesPicker;
use heatherfall::core::{BudgetSpec, ConfigSnapshot, UpstreamState};
use heatherfall::limits::{QuarantineTable, RequestFingerprint, RequestTraits};
use heatherfall::membership::ConfigFreshness;
use heatherfall::request::{DataPlane, ExecutionSettings, RunCheck, RunWatch, WatchedRun};
use heatherfall::util::SeededRandom;
use http::Request;
use serde_json::json;
use tokio::time::{Instant, advance};

use crate::support::{
    FakeBehaviour, FakeUpstreamClient, single_node_ledger, three_upstream_snapshot,
};

const REQUEST: RequestFingerprint = RequestFingerprint {
    target: 1,
    content: 1,
    traits: RequestTraits { query: 1, caller: 1, headers: 1 },
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn upstream(started_ms: u64) -> Arc<UpstreamState> {
    let spec = json!({ "address": "127.0.0.1:1", "failure_domain": "fd-a",
                       "started_ms": started_ms, "health_path": "/health" });
    let spec = serde_json::from_value(spec).unwrap();
    Arc::new(UpstreamState::new("u0", spec, Default::default()))
}

fn hear(upstream: &UpstreamState) {
    let stats = upstream.stats();
    stats.last_exchange_at.set(stats.nanos_at(Instant::now()));
}

fn snapshot_of(upstream: &Arc<UpstreamState>) -> ConfigSnapshot {
    let mut snapshot = ConfigSnapshot::default();
    let key = snapshot.upstreams.insert(Arc::clone(upstream));
    snapshot.upstream_names.insert(upstream.name.clone(), key);
    snapshot
}

/// A run of 600 ms at an upstream that was heard just before it.
async fn silent_run(watch: &RunWatch, upstream: &Arc<UpstreamState>) {
    advance(ms(10)).await;
    hear(upstream);
    let began = Instant::now();
    advance(ms(600)).await;
    let (upstream, ended_at) = (Arc::clone(upstream), Some(Instant::now()));
    let run = WatchedRun { request: REQUEST, upstream, began, ended_at };
    assert!(watch.insert(run).is_some());
}

/// Asks the upstreams that are due, all of which respond with `check`; returns their number.
fn ask(watch: &RunWatch, check: RunCheck) -> usize {
    let upstreams = watch.upstreams_to_check(Instant::now());
    for upstream in &upstreams {
        watch.record_check(&upstream.name, check, Instant::now());
    }
    upstreams.len()
}

fn crashes(watch: &RunWatch, snapshot: &ConfigSnapshot) -> usize {
    watch.take_crashes(snapshot, Instant::now()).len()
}

/// Guards against an entry that blames a request for its own lost path: all upstreams were silent for it.
#[tokio::test(start_paused = true)]
async fn silence_while_the_path_was_lost_is_no_crash_and_later_silence_is_one() {
    for check in [RunCheck::Silent, RunCheck::Ended] {
        let (watch, upstream) = (RunWatch::default(), upstream(1));
        let snapshot = snapshot_of(&upstream);
        silent_run(&watch, &upstream).await;
        for _ in 0..40 {
            ask(&watch, check);
            watch.disregard_silence(Instant::now());
            advance(ms(100)).await;
        }
        assert_eq!(crashes(&watch, &snapshot), 0, "{check:?}: the path is back");
        assert_eq!(ask(&watch, RunCheck::Silent), 1, "it is asked again");
        advance(ms(300)).await;
        ask(&watch, RunCheck::Silent);
        assert_eq!(crashes(&watch, &snapshot), 0, "{check:?}: silent for 400 ms");
        advance(ms(400)).await;
        assert_eq!(crashes(&watch, &snapshot), 1, "{check:?}: silent for 800 ms");
    }
}

/// Guards against a crash that is forgotten because the path was lost meanwhile.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_restarts_while_the_path_is_lost_has_ended_with_the_run() {
    let (watch, upstream_before) = (RunWatch::default(), upstream(1));
    silent_run(&watch, &upstream_before).await;
    watch.disregard_silence(Instant::now());
    advance(ms(100)).await;
    assert_eq!(crashes(&watch, &snapshot_of(&upstream_before)), 0);
    assert_eq!(crashes(&watch, &snapshot_of(&upstream(2))), 1);
}

/// Guards against crashes that go unnoticed because no connection breaks.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_stays_silent_has_ended_with_the_run() {
    let (watch, upstream) = (RunWatch::default(), upstream(1));
    let snapshot = snapshot_of(&upstream);
    silent_run(&watch, &upstream).await;
    advance(ms(100)).await;
    assert_eq!(ask(&watch, RunCheck::Silent), 1);
    assert_eq!(crashes(&watch, &snapshot), 0, "one check may be lost");
    advance(ms(100)).await;
    assert_eq!(ask(&watch, RunCheck::Silent), 1);
    assert_eq!(crashes(&watch, &snapshot), 1);
    assert_eq!(crashes(&watch, &snapshot), 0, "taken twice");
}

/// Guards against a request that is blamed because it is slow, or was cancelled.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_responds_or_is_heard_by_others_has_not_ended() {
    for is_asked in [true, false] {
        let (watch, upstream) = (RunWatch::default(), upstream(1));
        let snapshot = snapshot_of(&upstream);
        silent_run(&watch, &upstream).await;
        advance(ms(100)).await;
        if is_asked {
            assert_eq!(ask(&watch, RunCheck::Running), 1);
        } else {
            hear(&upstream);
        }
        advance(ms(2000)).await;
        assert_eq!(ask(&watch, RunCheck::Silent), 0);
        assert_eq!(crashes(&watch, &snapshot), 0);
        assert!(watch.is_idle());
    }
}

/// Guards against requests that are blamed for an upstream which was lost before them.
#[tokio::test(start_paused = true)]
async fn a_run_at_an_upstream_that_was_silent_before_is_not_watched() {
    let (watch, upstream) = (RunWatch::default(), upstream(1));
    let run = |began, upstream: &Arc<UpstreamState>| WatchedRun {
        request: REQUEST,
        upstream: Arc::clone(upstream),
        began,
        ended_at: Some(began),
    };
    assert!(watch.insert(run(Instant::now(), &upstream)).is_none(), "never heard");
    hear(&upstream);
    advance(ms(3500)).await;
    assert!(watch.insert(run(Instant::now(), &upstream)).is_none(), "silent for long");
    hear(&upstream);
    upstream.record_drain_signal(true, Duration::ZERO);
    assert!(watch.insert(run(Instant::now(), &upstream)).is_none(), "leaving");
}

/// Guards against an upstream that is back before its silence is noticed.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_registers_another_start_has_ended_with_the_run() {
    let (watch, old) = (RunWatch::default(), upstream(1));
    silent_run(&watch, &old).await;
    let spec = upstream(2).spec.clone();
    let restarted = Arc::new(old.with_spec(spec, Default::default()));
    assert_eq!(crashes(&watch, &snapshot_of(&old)), 0);
    assert_eq!(crashes(&watch, &snapshot_of(&restarted)), 1);
    let now = Instant::now();
    assert!(watch.take_withdrawn(&snapshot_of(&restarted), Some(now), now).is_empty());
    assert!(watch.is_idle());
}

/// Guards against a pause that counts as a crash for good, and against a crash that is withdrawn
/// because the restart of the upstream cannot be known while the store is away.
#[tokio::test(start_paused = true)]
async fn a_crash_by_silence_is_withdrawn_only_if_the_same_process_is_heard_again() {
    for (is_view_read, is_restarted) in [(true, false), (false, false), (true, true)] {
        let (watch, upstream_1) = (RunWatch::default(), upstream(1));
        let snapshot = snapshot_of(&upstream_1);
        silent_run(&watch, &upstream_1).await;
        for _ in 0..2 {
            advance(ms(100)).await;
            ask(&watch, RunCheck::Silent);
        }
        assert_eq!(crashes(&watch, &snapshot), 1);
        let table = QuarantineTable::default();
        table.record_crash(REQUEST, 1, Instant::now());
        advance(ms(2000)).await;
        hear(&upstream_1);
        let restarted =
            Arc::new(upstream_1.with_spec(upstream(2).spec.clone(), Default::default()));
        let snapshot = if is_restarted { snapshot_of(&restarted) } else { snapshot };
        let first_read = Some(Instant::now());
        assert!(watch.take_withdrawn(&snapshot, first_read, Instant::now()).is_empty());
        advance(ms(3000)).await;
        let read_at = if is_view_read { Some(Instant::now()) } else { first_read };
        let withdrawn = watch.take_withdrawn(&snapshot, read_at, Instant::now());
        let is_withdrawn = is_view_read && !is_restarted;
        assert_eq!(withdrawn.len(), usize::from(is_withdrawn));
        assert!(table.is_suspect(REQUEST));
        for run in withdrawn {
            table.withdraw(run.request, 1, Instant::now());
            assert!(!table.is_suspect(REQUEST));
            assert_eq!(table.take_unshared(Instant::now()).len(), 0, "shared though withdrawn");
        }
    }
}

/// Runs a request whose attempts behave like this, and drops it after `time`; returns whether a run is
/// watched then.
async fn is_watched(behaviours: Vec<FakeBehaviour>, time: Duration) -> bool {
    let client = FakeUpstreamClient::new(behaviours);
    let snapshot = three_upstream_snapshot(json!({ "deadline": "2s" }), BudgetSpec::default());
    for upstream in snapshot.load().as_ref().unwrap().upstreams.values() {
        hear(upstream);
    }
    advance(ms(1)).await;
    let freshness = Arc::new(ConfigFreshness::default());
    freshness.confirm(Duration::ZERO);
    let plane = DataPlane::new(
        snapshot,
        client,
        TwoChoicesPicker::new(SeededRandom::new(7)),
        single_node_ledger(),
        freshness,
        ExecutionSettings::default(),
    );
    let request = Request::builder().uri("/read").header("x-request-id", "r").body(()).unwrap();
    let (parts, ()) = request.into_parts();
    let admitted = plane.admit(&parts).unwrap();
    let _ = tokio::time::timeout(time, plane.run(admitted, parts, Bytes::new())).await;
    !plane.runs().is_idle()
}

/// Guards against a crash that is missed because the attempt was cancelled, has timed out or is still
/// running when the upstream is silent.
#[tokio::test(start_paused = true)]
async fn runs_without_a_response_are_watched_however_they_end() {
    let silent = vec![FakeBehaviour::NeverRespond];
    assert!(is_watched(silent.clone(), ms(300)).await, "the caller has gone");
    assert!(is_watched(silent.clone(), ms(5000)).await, "timed out");
    let answered = vec![FakeBehaviour::respond_after_ms(100)];
    assert!(!is_watched(answered, ms(5000)).await, "answered");
    let late = vec![FakeBehaviour::respond_after_ms(700)];
    assert!(!is_watched(late, ms(5000)).await, "answered late");
}
