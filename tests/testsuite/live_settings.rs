//! Reload of settings while an entry runs.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::core::{BudgetSpec, FailureDomain, RouteKey};
use heatherfall::fleet::directory::EntryDirectory;
use heatherfall::fleet::entry_settings::{EntrySettings, HedgeLimits};
use heatherfall::fleet::live_settings::{LiveSettings, ReloadOutcome};
use heatherfall::limits::{LimitTable, RouteLimitSettings};
use heatherfall::membership::SharedMembership;
use heatherfall::util::settings_file;
use serde_json::json;

use crate::support::three_upstream_snapshot;

fn settings() -> EntrySettings {
    let text = r#"{
        "vm": "vm-1", "failure_domain": "fd-a", "store": "10.0.0.1:1",
        "listen": { "callers": "10.0.0.2:1", "ready": "10.0.0.2:2", "directory": "10.0.0.2:3",
                    "control": "10.0.0.2:4", "peers": "10.0.0.2:5" },
        "repeats": { "ratio": 0.0, "extra": 10.0, "window": "10s" }
    }"#;
    settings_file::parse("node.jsonc", text).expect("valid")
}

fn start_settings(settings: &EntrySettings) -> (LiveSettings, Arc<LimitTable>) {
    let limit_settings = RouteLimitSettings {
        repeats: Some(settings.repeats.allowance()),
        is_gate_disabled: true,
        ..RouteLimitSettings::default()
    };
    let limits = Arc::new(LimitTable::new(limit_settings));
    (LiveSettings::new(settings.clone(), Arc::clone(&limits)), limits)
}

#[test]
fn reloaded_settings_take_effect_where_they_are_used() {
    let mut settings = settings();
    let (live_settings, _) = start_settings(&settings);
    let directory = EntryDirectory::new(
        SharedMembership::default(),
        FailureDomain::new("fd-a"),
        live_settings.clone(),
    );
    assert_eq!(live_settings.replace(&settings), ReloadOutcome::Unchanged);
    settings.directory.lifetime = Duration::from_secs(2);
    settings.shutdown.grace = Duration::from_secs(9);
    assert_eq!(live_settings.replace(&settings), ReloadOutcome::InForce);
    assert_eq!(directory.lifetime(), Duration::from_secs(2));
    assert_eq!(live_settings.load().shutdown.grace, Duration::from_secs(9));
}

#[test]
fn identity_and_addresses_are_fixed_at_the_start() {
    let mut settings = settings();
    let (live_settings, _) = start_settings(&settings);
    settings.vm = "vm-2".to_owned();
    settings.listen.callers = ([10, 0, 0, 9], 1).into();
    settings.directory.lifetime = Duration::from_secs(3);
    assert_eq!(live_settings.replace(&settings), ReloadOutcome::PartlyAtStart);
    let current = live_settings.load();
    assert_eq!((current.vm.as_str(), current.listen.callers), ("vm-1", ([10, 0, 0, 2], 1).into()));
    assert_eq!(current.directory.lifetime, Duration::from_secs(3), "other settings are active");
}

#[tokio::test(start_paused = true)]
async fn a_reloaded_allowance_counts_earlier_repeats() {
    let mut settings = settings();
    let (live_settings, limits) = start_settings(&settings);
    let snapshot =
        three_upstream_snapshot(json!({}), BudgetSpec::default()).load_full().expect("a snapshot");
    let window = limits.get(&snapshot, RouteKey(0)).and_then(|route| route.window_budget(None));
    let window = window.expect("an allowance");
    // Entries spend 80 % of an allowance: 8 of 10 before the reload, 4 of 5 after it.
    for _ in 0..4 {
        assert!(window.try_spend(1));
    }
    settings.repeats.extra = 5.0;
    live_settings.replace(&settings);
    assert!(!window.try_spend(1), "4 of 5 are already spent");
    settings.repeats.extra = 20.0;
    live_settings.replace(&settings);
    assert!(window.try_spend(1));
}

#[test]
fn a_reloaded_limit_on_hedges_is_in_force_at_once() {
    let mut settings = settings();
    let (live_settings, limits) = start_settings(&settings);
    let snapshot =
        three_upstream_snapshot(json!({}), BudgetSpec::default()).load_full().expect("a snapshot");
    // The limits of a request that is running during the reloads.
    let route = limits.get(&snapshot, RouteKey(0)).expect("a route");
    assert!(route.hedge_limits(None).is_none(), "no limit is set");
    settings.hedging = Some(HedgeLimits { max_share: 1.0, max_service_share: 1.0 });
    assert_eq!(live_settings.replace(&settings), ReloadOutcome::InForce);
    let hedge_limits = route.hedge_limits(None).expect("a limit");
    hedge_limits.record_request();
    hedge_limits.record_request();
    assert!(hedge_limits.can_spend());
    settings.hedging = Some(HedgeLimits { max_share: 0.1, max_service_share: 1.0 });
    live_settings.replace(&settings);
    assert!(!hedge_limits.can_spend());
    settings.hedging = None;
    live_settings.replace(&settings);
    assert!(route.hedge_limits(None).is_none());
}
