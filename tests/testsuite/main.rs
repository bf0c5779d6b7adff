//! Integration tests of heatherfall, one module for each feature, linked into one binary.

#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a test panics to fail")]

mod addresses;
mod client;
mod compile;
mod connections;
mod control_plane;
mod drain_signal;
mod end_to_end;
mod enrolment;
mod execution_state;
mod experiment;
mod fleet_faults;
mod fleet_peers;
mod fleet_store;
mod generations;
mod hostile_input;
mod http_framing;
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
mod request_execution;
mod request_timeline;
mod response_validation;
mod result_codes;
mod scenario_runner;
mod scenarios;
mod selectors;
mod settings;
mod store_restore;
mod support;
mod utility_picker;
