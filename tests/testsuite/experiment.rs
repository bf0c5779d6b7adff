//! Policy comparison by simulation.

use std::time::Duration;

use heatherfall::ops::experiment::{
    ALL_SCENARIOS, ExperimentReport, ExperimentSettings, PolicyKind, ScenarioKind, ServiceSettings,
    compare,
};

const SERVICE: &str = "lookups";

fn short_settings(scenarios: Vec<ScenarioKind>) -> ExperimentSettings {
    ExperimentSettings {
        duration: Duration::from_secs(3),
        warm_up: Duration::from_millis(200),
        entries: 5,
        services: vec![ServiceSettings::new(SERVICE, 6, 4, 5, 0.8)],
        scenarios,
        ..ExperimentSettings::default()
    }
}

fn json(report: &ExperimentReport) -> String {
    serde_json::to_string(&report.figures).unwrap()
}

#[test]
fn the_same_seed_gives_the_same_results_on_any_number_of_threads() {
    let settings = short_settings(vec![ScenarioKind::NoisyNeighbours, ScenarioKind::Drain]);
    let first = compare(&settings, 1).unwrap();
    let second = compare(&settings, 3).unwrap();
    assert_eq!(json(&first), json(&second));
    let other = compare(&ExperimentSettings { seed: 2, ..settings }, 3).unwrap();
    assert_ne!(json(&first), json(&other));
}

#[test]
fn every_policy_gets_the_same_arrivals() {
    let report = compare(&short_settings(vec![ScenarioKind::Steady]), 3).unwrap();
    let random = report.find(SERVICE, ScenarioKind::Steady, PolicyKind::Random).unwrap();
    for stats in &report.figures {
        assert_eq!(stats.answered, random.answered);
        assert_eq!(stats.errors, 0);
    }
    let baseline = report.find(SERVICE, ScenarioKind::Steady, PolicyKind::PowerOfTwo).unwrap();
    assert!(baseline.p999_us < random.p999_us);
}

#[test]
fn slow_targets_raise_p99_and_failing_targets_cause_errors() {
    let mut settings = short_settings(vec![
        ScenarioKind::Steady,
        ScenarioKind::SlowDown,
        ScenarioKind::FastFailure,
    ]);
    settings.max_attempts = 1;
    let report = compare(&settings, 3).unwrap();
    let find = |kind| report.find(SERVICE, kind, PolicyKind::RoundRobin).unwrap();
    assert!(find(ScenarioKind::SlowDown).p99_us > 2 * find(ScenarioKind::Steady).p99_us);
    assert!(find(ScenarioKind::FastFailure).errors > 100);
}

#[test]
fn the_daemons_picker_has_no_worse_p99_than_power_of_two_in_any_scenario() {
    let mut settings = short_settings(ALL_SCENARIOS.to_vec());
    settings.policies = vec![PolicyKind::PowerOfTwo, PolicyKind::Heatherfall];
    settings.services = vec![ServiceSettings::new(SERVICE, 12, 4, 5, 0.4)];
    settings.entries = 12;
    let report = compare(&settings, 2).unwrap();
    for scenario in ALL_SCENARIOS {
        let stats = report.find(SERVICE, scenario, PolicyKind::Heatherfall).unwrap();
        let ratios = stats.ratios.unwrap();
        assert!(ratios.p99 <= 1.05, "{scenario:?}: {ratios:?}");
        assert!(stats.probes_per_1000 <= 50.0, "{scenario:?}: {}", stats.probes_per_1000);
    }
}

#[test]
fn the_example_settings_parse() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/experiment.jsonc");
    let settings: ExperimentSettings =
        heatherfall::util::settings_file::load(path.as_ref()).unwrap();
    assert_eq!(settings.services.len(), 2);
}
