//! The one test binary: a module a feature.

#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a test panics to fail")]

mod addresses;
mod answer_checks;
mod client;
mod compile;
mod connections;
mod control_plane;
mod drain_signal;
mod enrolment;
mod exchange;
mod exchange_state;
mod experiment;
mod fleet_faults;
mod fleet_peers;
mod fleet_store;
mod generations;
mod hostile_input;
mod kernel;
mod keyed_requests;
mod leases;
mod ledger;
mod ledger_race;
mod ledger_wire;
mod limits;
mod live_settings;
mod load;
mod load_check;
mod load_picker;
mod log_writer;
mod membership;
mod peer_calls;
mod probe_budget;
mod processes;
mod repeat_window;
mod request_story;
mod result_codes;
mod scenario_runner;
mod scenarios;
mod selectors;
mod settings;
mod support;
mod thin_path;
mod utility_picker;
mod whole_answers;
