//! Limits of routes, created at their first use and kept across configuration changes.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::core::{BudgetSpec, ConfigSnapshot, RouteKey};
use heatherfall::limits::{HedgeAllowance, LimitTable, RouteLimitSettings, WindowAllowance};
use serde_json::json;

use crate::support::three_upstream_snapshot;

/// A snapshot with routes of these names to one service.
fn snapshot_with(names: &[&str]) -> Arc<ConfigSnapshot> {
    let shared = three_upstream_snapshot(json!({}), BudgetSpec::default());
    let mut snapshot = (*shared.load_full().unwrap()).clone();
    let mut route = snapshot.routes[0].clone();
    snapshot.routes = Default::default();
    for name in names {
        route.name = (*name).to_owned();
        snapshot.routes.push(route.clone());
    }
    Arc::new(snapshot)
}

fn used_names(table: &LimitTable) -> Vec<String> {
    let mut names: Vec<String> = table.routes().into_iter().map(|route| route.name).collect();
    names.sort();
    names
}

/// Guards against budgets that a configuration change refills because no route of the new one has
/// been used yet, and against limits of routes that get no requests.
#[tokio::test(start_paused = true)]
async fn limits_are_created_at_first_use_and_those_of_a_service_outlive_the_used_route() {
    let settings = RouteLimitSettings {
        repeats: Some(WindowAllowance { ratio: 0.2, extra: 6.0, window: Duration::from_secs(10) }),
        hedging: Some(HedgeAllowance { max_share: 0.1, max_service_share: 0.1 }),
        ..Default::default()
    };
    let table = LimitTable::new(settings);
    let first = snapshot_with(&["a", "b", "c"]);
    let used = table.get(&first, RouteKey(1)).unwrap();
    assert_eq!(used_names(&table), ["b"]);

    let second = snapshot_with(&["a", "b"]);
    let other = table.get(&second, RouteKey(0)).unwrap();
    assert_eq!(used_names(&table), ["a", "b"], "the route in use is no longer listed");
    assert!(Arc::ptr_eq(&table.get(&second, RouteKey(1)).unwrap(), &used));
    assert!(Arc::ptr_eq(&other.gate, &used.gate), "the group has two gates");

    // Both used routes are removed; `c` was never used under this table's later snapshots.
    let third = snapshot_with(&["c"]);
    assert!(table.get(&third, RouteKey(9)).is_none());
    assert_eq!(used_names(&table), [""; 0]);
    let last = table.get(&third, RouteKey(0)).unwrap();
    let budgets = [&last, &used].map(|limits| limits.window_budget(None).unwrap());
    assert!(Arc::ptr_eq(&budgets[0], &budgets[1]), "the budget of the service was refilled");
    let hedges = [&last, &used].map(|limits| limits.hedge_limits(None).unwrap().service);
    assert!(Arc::ptr_eq(&hedges[0], &hedges[1]), "the hedge limit of the service was refilled");
    assert!(!Arc::ptr_eq(&last.gate, &used.gate), "the group has another name");
    table.set_hedge_allowance(None);
    assert!(last.hedge_limits(None).is_none(), "not in force for a request that is running");
}

/// How the configuration stops sending requests to the service, until it does so again.
#[derive(Clone, Copy, Debug)]
enum ServiceAbsence {
    /// The route moves to another service.
    RouteMoves,
    /// No route is left.
    RouteRemoved,
    /// A request that was admitted under an older configuration asks for its limits.
    OlderConfigAsks,
}

/// Guards against a service that gets repeats of a new budget while those of the old one are in the window,
/// because no route led to it for a moment; and against a gate that forgets the requests behind it.
#[tokio::test(start_paused = true)]
async fn what_a_window_or_a_gate_counts_outlives_the_configuration_that_named_it() {
    const WINDOW: Duration = Duration::from_secs(10);
    let repeats = WindowAllowance { ratio: 0.0, extra: 10.0, window: WINDOW };
    for absence in
        [ServiceAbsence::RouteMoves, ServiceAbsence::RouteRemoved, ServiceAbsence::OlderConfigAsks]
    {
        let settings = RouteLimitSettings { repeats: Some(repeats), ..Default::default() };
        let table = LimitTable::new(settings);
        let home = snapshot_with(&["a"]);
        let mut away = (*home).clone();
        match absence {
            ServiceAbsence::RouteRemoved => away.routes = Default::default(),
            _ => {
                let mut route = away.routes[0].clone();
                Arc::make_mut(&mut route.spec).upstreams = "service=other".parse().unwrap();
                away.routes = Default::default();
                away.routes.push(route);
            }
        }
        let away = Arc::new(away);
        let leave = || drop(table.get(&away, RouteKey(0)));
        let budget = || table.get(&home, RouteKey(0)).unwrap().window_budget(None).unwrap();
        let mut spent = 0;
        let running = table.get(&home, RouteKey(0)).unwrap();
        for _ in 0..4 {
            spent += (0..20).filter(|_| budget().try_spend(1)).count();
            // A budget without counts is not enough to be kept, and one in use is kept without any.
            leave();
            leave();
            tokio::time::advance(WINDOW / 10).await;
        }
        assert_eq!(spent, 8, "{absence:?}: repeats within one window");
        let held = budget();
        leave();
        tokio::time::advance(WINDOW * 2).await;
        leave();
        assert!(Arc::ptr_eq(&held, &budget()), "{absence:?}: a running request counts elsewhere");
        let gate = Arc::clone(&table.get(&home, RouteKey(0)).unwrap().gate);
        assert!(Arc::ptr_eq(&running.gate, &gate), "{absence:?}: the group has two gates");
        drop((held, running, gate));
        leave();
        leave();
        tokio::time::advance(WINDOW * 2).await;
        assert!(budget().try_spend(1), "{absence:?}: the window is over");
    }
}
