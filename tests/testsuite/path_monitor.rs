//! When an entry takes its path to the upstreams for cut, on the paused clock.

use std::net::SocketAddr;
use std::time::Duration;

use heatherfall::balance::{PathChange, PathMonitor, PathResult, PathTrial, PathVerdict};
use tokio::time::{Instant, advance, timeout};

const TRIALS: [PathTrial; 2] = [PathTrial::Connection, PathTrial::Exchange];

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index))
}

async fn is_suspected(monitor: &PathMonitor) -> bool {
    timeout(Duration::from_millis(1), monitor.suspected()).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn one_upstream_that_fails_once_raises_no_suspicion_and_two_do() {
    for trial in TRIALS {
        let monitor = PathMonitor::default();
        monitor.record(address(1), trial, PathResult::Unreached);
        monitor.record(address(1), trial, PathResult::Unreached);
        assert!(!is_suspected(&monitor).await, "{trial:?}");
        monitor.record(address(2), trial, PathResult::Unreached);
        assert!(is_suspected(&monitor).await, "{trial:?}");
        assert!(!monitor.is_cut(), "a suspicion alone changes nothing");
    }
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_is_reached_ends_the_doubt_but_an_open_connection_does_not_hide_refused_ones()
 {
    let monitor = PathMonitor::default();
    for trial in TRIALS {
        monitor.record(address(1), trial, PathResult::Unreached);
        monitor.record(address(3), trial, PathResult::Reached);
        monitor.record(address(2), trial, PathResult::Unreached);
        assert!(!is_suspected(&monitor).await, "{trial:?}");
    }
    monitor.record(address(4), PathTrial::Connection, PathResult::Unreached);
    monitor.record(address(3), PathTrial::Exchange, PathResult::Reached);
    assert!(is_suspected(&monitor).await);
}

#[tokio::test(start_paused = true)]
async fn a_deployment_with_one_upstream_is_suspected_after_some_failures() {
    let monitor = PathMonitor::default();
    for _ in 0..4 {
        monitor.record(address(1), PathTrial::Exchange, PathResult::Unreached);
    }
    assert!(is_suspected(&monitor).await);
}

#[tokio::test(start_paused = true)]
async fn a_cut_lasts_until_a_check_reaches_an_upstream_and_tells_since_when() {
    let monitor = PathMonitor::default();
    let first_failure_at = Instant::now();
    for index in [1, 2] {
        monitor.record(address(index), PathTrial::Exchange, PathResult::Unreached);
    }
    assert!(is_suspected(&monitor).await);
    advance(Duration::from_millis(200)).await;
    let change = monitor.conclude(PathVerdict::NoConnection, Instant::now());
    assert_eq!(change, PathChange::Cut { since: first_failure_at });
    // Old connections may live on while no new one can be opened.
    monitor.record(address(1), PathTrial::Exchange, PathResult::Reached);
    let change = monitor.conclude(PathVerdict::NoConnection, Instant::now());
    assert_eq!((change, monitor.is_cut()), (PathChange::Unchanged, true));
    let change = monitor.conclude(PathVerdict::Open, Instant::now());
    assert_eq!(change, PathChange::Restored { since: first_failure_at });
    assert!(!monitor.is_cut() && !is_suspected(&monitor).await);
}

/// Guards against busy upstreams that are taken for unreachable ones.
#[tokio::test(start_paused = true)]
async fn missing_responses_count_for_nothing_while_other_exchanges_succeed() {
    let monitor = PathMonitor::default();
    for index in [1, 2] {
        monitor.record(address(index), PathTrial::Exchange, PathResult::Unreached);
    }
    let began = Instant::now();
    advance(Duration::from_millis(100)).await;
    monitor.record(address(3), PathTrial::Exchange, PathResult::Reached);
    assert_eq!(monitor.conclude(PathVerdict::NoResponse, began), PathChange::Unchanged);
    assert!(!monitor.is_cut());
}

/// Guards against a pause of all upstreams, or of this process, that is taken for a lost path.
#[tokio::test(start_paused = true)]
async fn missing_responses_make_a_cut_only_twice_in_a_row_and_refused_connections_at_once() {
    let monitor = PathMonitor::default();
    monitor.conclude(PathVerdict::NoResponse, Instant::now());
    assert!(!monitor.is_cut());
    assert!(is_suspected(&monitor).await, "the check is repeated");
    monitor.conclude(PathVerdict::Open, Instant::now());
    monitor.conclude(PathVerdict::NoResponse, Instant::now());
    assert!(!monitor.is_cut(), "not in a row");
    monitor.conclude(PathVerdict::NoResponse, Instant::now());
    assert!(monitor.is_cut() && monitor.accepts_connections());
    monitor.conclude(PathVerdict::NoConnection, Instant::now());
    assert!(monitor.is_cut() && !monitor.accepts_connections());
    let refused = PathMonitor::default();
    refused.conclude(PathVerdict::NoConnection, Instant::now());
    assert!(refused.is_cut());
}
