//! End-to-end scenarios with golden transcripts, from the files in `tests/testsuite/scenarios/`.

use std::collections::BTreeSet;

use crate::scenario_runner;

/// Defines one test for each scenario file, named by the property that the scenario checks.
macro_rules! scenarios {
    ($($name:ident: $file:literal;)+) => {
        const FILES: &[&str] = &[$($file),+];
        $(
            #[test]
            fn $name() {
                scenario_runner::run($file);
            }
        )+
    };
}

scenarios! {
    every_caller_gets_its_own_complete_response: "answers_whole.txt";
    a_truncated_response_is_truncated_for_the_caller: "answers_cut.txt";
    not_run_is_reported_only_of_requests_that_did_not_run: "not_run.txt";
    at_most_once_requests_are_not_retried_after_an_unknown_outcome: "at_most_once.txt";
    idempotent_requests_are_retried_after_failures: "idempotent_retries.txt";
    at_most_once_requests_avoid_unresponsive_connections: "silent_connections.txt";
    idempotent_requests_are_served_through_a_platform_outage: "platform_outage.txt";
    an_unresponsive_watch_and_a_missed_delete_are_detected: "silent_watch.txt";
    a_stale_list_does_not_revert_the_configuration: "stale_list.txt";
    concurrent_operator_changes_report_the_conflict: "operators_race.txt";
    a_draining_upstream_gets_no_new_requests: "upstream_drain.txt";
    an_accepted_configuration_becomes_active_on_every_node_and_stays: "configuration_in_force.txt";
    a_resumed_lease_holder_does_not_revert_the_configuration: "paused_holder.txt";
    a_leaving_entry_completes_its_requests_in_flight: "entry_leaves.txt";
    a_repeated_key_runs_once_across_entries: "keyed_repeats.txt";
    an_outage_rejects_keyed_requests_as_not_dispatched_and_serves_the_rest: "keyed_outage.txt";
    a_repeat_in_an_outage_does_not_report_the_first_send_as_not_run: "keyed_repeat_in_outage.txt";
    a_resumed_key_owner_runs_no_request_twice: "paused_owner.txt";
    a_resumed_node_runs_no_request_twice: "paused_node.txt";
}

#[test]
fn every_scenario_file_is_run() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/testsuite/scenarios");
    let mut found = BTreeSet::new();
    for entry in std::fs::read_dir(directory).expect("scenario directory is readable") {
        found.insert(entry.expect("entry").file_name().to_string_lossy().into_owned());
    }
    let listed: BTreeSet<String> = FILES.iter().map(|file| (*file).to_owned()).collect();
    assert_eq!(found, listed);
}
