//! Whole stories with golden transcripts; `tests/testsuite/scenarios/` holds them.

use std::collections::BTreeSet;

use crate::scenario_runner;

/// One test a file; the test's name is the promise that the story guards.
macro_rules! scenarios {
    ($($promise:ident: $file:literal;)+) => {
        const FILES: &[&str] = &[$($file),+];
        $(
            #[test]
            fn $promise() {
                scenario_runner::run($file);
            }
        )+
    };
}

scenarios! {
    every_caller_gets_its_own_whole_answer: "answers_whole.txt";
    a_cut_answer_looks_cut: "answers_cut.txt";
    not_run_is_said_only_of_what_did_not_run: "not_run.txt";
    unrepeatable_work_is_not_sent_again_after_an_unknown_outcome: "at_most_once.txt";
    idempotent_work_goes_on_after_failures: "idempotent_retries.txt";
    unrepeatable_work_avoids_silent_connections: "silent_connections.txt";
    idempotent_service_goes_on_through_a_platform_outage: "platform_outage.txt";
    a_silent_watch_and_a_missed_delete_are_found: "silent_watch.txt";
    a_stale_list_does_not_turn_the_configuration_back: "stale_list.txt";
    racing_operators_see_the_conflict: "operators_race.txt";
    a_leaving_upstream_gets_no_new_work: "upstream_drain.txt";
    an_accepted_configuration_is_in_force_everywhere_and_stays: "configuration_in_force.txt";
    a_paused_lease_holder_takes_nobody_back: "paused_holder.txt";
    a_leaving_entry_cuts_off_nothing: "entry_leaves.txt";
    a_repeated_key_runs_once_at_whichever_entry: "keyed_repeats.txt";
    an_outage_refuses_keyed_work_as_not_run_and_serves_the_rest: "keyed_outage.txt";
    a_repeat_in_an_outage_is_not_told_that_the_first_send_did_not_run: "keyed_repeat_in_outage.txt";
    a_paused_owner_runs_nothing_twice: "paused_owner.txt";
    a_paused_node_goes_on_with_what_is_in_force: "paused_node.txt";
}

#[test]
fn every_scenario_file_is_run() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/testsuite/scenarios");
    let mut found = BTreeSet::new();
    for entry in std::fs::read_dir(directory).expect("scenarios are there") {
        found.insert(entry.expect("entry").file_name().to_string_lossy().into_owned());
    }
    let listed: BTreeSet<String> = FILES.iter().map(|file| (*file).to_owned()).collect();
    assert_eq!(found, listed);
}
