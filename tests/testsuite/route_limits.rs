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
